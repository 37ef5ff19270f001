#include "greengagehub/membership/seed_keeper.hpp"
#include "greengagehub/membership/watch_role.hpp"

#include "support/damage.hpp"

#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

/// One key-value store, and keepers that are asked every half second.
struct World
{
  struct Key
  {
    std::string m_value;
    Revision m_revision{ 0 };
  };
  std::map<std::string, Key> m_keys{};
  Revision m_last{ 0 };
  int m_writes{ 0 };

  StoreReply Carry(const StoreRequest& aRequest)
  {
    const Key now = m_keys[aRequest.m_key];
    if (aRequest.m_expected != now.m_revision) {
      return { .m_status = StoreReply::Status::Conflict,
               .m_revision = now.m_revision,
               .m_value = now.m_value };
    }
    if (aRequest.m_kind == StoreRequest::Kind::Put) {
      m_keys[aRequest.m_key] = { aRequest.m_value, ++m_last };
      ++m_writes;
    }
    return { .m_status = StoreReply::Status::Ok,
             .m_revision = m_keys[aRequest.m_key].m_revision };
  }

  void Run(SeedKeeper& aKeeper,
           TimePoint aFrom,
           Duration aFor,
           std::optional<std::size_t> aRank)
  {
    for (TimePoint now = aFrom; now < aFrom + aFor; now += 500ms) {
      if (const auto request = aKeeper.OnTick(now, aRank)) {
        aKeeper.OnReply(now, Carry(*request));
      }
    }
  }

  [[nodiscard]] std::string HostAt(std::uint32_t aPlace)
  {
    const auto address = ParseSeed(m_keys[SeedKey("solna", aPlace)].m_value);
    return address ? address->m_host : std::string{};
  }
};

MemberRecord
Self(const char* aHost)
{
  MemberRecord self;
  self.m_slot = aHost;
  self.m_domain = "solna";
  self.m_address = { aHost, 7140, 7141, 7142 };
  return self;
}

}

TEST_CASE("seeds outlive an outage of all daemons")
{
  // All daemons are killed at once while the store has just come back from an
  // outage in which leases ran out. With seeds under leases nobody finds
  // anybody for three seconds, and every call is refused for lack of a worker.
  World world;
  SeedKeeper first{ Self("10.0.0.1"), 1 };
  world.Run(first, kStart, 2s, 0);
  CHECK(world.HostAt(0) == "10.0.0.1");
  for (const auto& [key, value] : world.m_keys) {
    CHECK(value.m_revision > 0);
  }
  // Restarted, it finds its own address and writes nothing.
  SeedKeeper again{ Self("10.0.0.1"), 2 };
  world.Run(again, kStart + 10s, 5s, 0);
  CHECK(world.m_writes == 1);
}

TEST_CASE("the first two of a domain write, and those that follow them later")
{
  World world;
  SeedKeeper first{ Self("10.0.0.1"), 1 };
  SeedKeeper second{ Self("10.0.0.2"), 2 };
  SeedKeeper third{ Self("10.0.0.3"), 3 };
  world.Run(first, kStart, 3s, 0);
  world.Run(second, kStart, 3s, 1);
  world.Run(third, kStart, 3s, 2);
  CHECK(world.HostAt(0) == "10.0.0.1");
  CHECK(world.HostAt(1) == "10.0.0.2");
  // The second is gone; the third takes its place.
  world.Run(third, kStart + 3s, 5s, 1);
  CHECK(world.HostAt(1) == "10.0.0.3");
  CHECK(world.m_writes == 3);
}

TEST_CASE("a daemon that finds nobody writes its address, after a while")
{
  World world;
  SeedKeeper keeper{ Self("10.0.0.1"), 1 };
  world.Run(keeper, kStart, 2s, std::nullopt);
  CHECK(world.m_writes == 0);
  SUBCASE("others stand there: they are asked")
  {
    keeper.OnSeeds(kStart + 2s, true);
    world.Run(keeper, kStart + 2s, 2s, std::nullopt);
    CHECK(world.m_writes == 0);
  }
  SUBCASE("nobody does")
  {
    keeper.OnSeeds(kStart + 2s, false);
    CHECK_FALSE(keeper.OnTick(kStart + 2s, std::nullopt));
    world.Run(keeper, kStart + 2500ms, 2s, std::nullopt);
    CHECK(world.m_writes == 1);
  }
}

TEST_CASE("an address that was lost from the store is written again")
{
  World world;
  SeedKeeper keeper{ Self("10.0.0.1"), 1 };
  world.Run(keeper, kStart, 2s, 0);
  world.m_keys.clear();
  world.Run(keeper, kStart + 2s, 62s, 0);
  CHECK(world.HostAt(0) == "10.0.0.1");
}

TEST_CASE("an address of another writer names nobody")
{
  // A daemon that starts asks every address it finds; garbage taken for one
  // would count as a peer that is about to answer, and keep it waiting.
  const MemberAddress address{ "10.0.0.7", 1, 2, 3 };
  const nlohmann::json whole = nlohmann::json::parse(SeedToJson(address));
  REQUIRE(ParseSeed(whole.dump()) == address);
  const std::vector<nlohmann::json> wrong{
    nullptr, true, -1, 6.5, 1e30, 70'000, "", "a name", nlohmann::json::array()
  };
  for (auto field = whole.begin(); field != whole.end(); ++field) {
    const std::string& name = field.key();
    CAPTURE(name);
    nlohmann::json without = whole;
    without.erase(name);
    CHECK_FALSE(ParseSeed(without.dump()));
    for (const nlohmann::json& each : wrong) {
      CAPTURE(each);
      nlohmann::json changed = whole;
      changed[name] = each;
      CHECK_FALSE(ParseSeed(changed.dump()));
    }
  }
  for (const char* each : { "", "null", "[]", "{", "\xff", "7" }) {
    CHECK_FALSE(ParseSeed(each));
  }
}

TEST_CASE("damaged addresses are refused or read, and end nothing")
{
  Random random{ 29 };
  const std::string whole = SeedToJson({ "10.0.0.7", 1, 2, 3 });
  for (int i = 0; i < 50'000; ++i) {
    const auto address = ParseSeed(test::Damaged(whole, random));
    if (address) {
      CHECK(address->m_gossipPort > 0);
    }
  }
}
