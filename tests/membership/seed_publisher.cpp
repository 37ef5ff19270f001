#include "greengagehub/membership/seed_publisher.hpp"
#include "greengagehub/membership/watch_lease.hpp"

#include "support/damage.hpp"
#include "support/odd_entries.hpp"

#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

/// \brief In-memory key-value store that executes the requests under test.
struct FakeStore
{
  struct Key
  {
    std::string m_value;
    Revision m_revision{ 0 };
  };
  std::map<std::string, Key> m_keys{};
  Revision m_last{ 0 };
  int m_writes{ 0 };

  StoreReply Execute(const StoreRequest& aRequest)
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

  void Run(SeedPublisher& aPublisher,
           TimePoint aFrom,
           Duration aFor,
           std::optional<std::size_t> aRank)
  {
    for (TimePoint now = aFrom; now < aFrom + aFor; now += 500ms) {
      if (const auto request = aPublisher.OnTick(now, aRank)) {
        aPublisher.OnReply(now, Execute(*request));
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

TEST_CASE("seeds survive an outage of all daemons")
{
  // Seeds under leases would have expired, and restarted daemons could not
  // join.
  FakeStore store;
  SeedPublisher first{ Self("10.0.0.1"), 1 };
  store.Run(first, kStart, 2s, 0);
  CHECK(store.HostAt(0) == "10.0.0.1");
  for (const auto& [key, value] : store.m_keys) {
    CHECK(value.m_revision > 0);
  }
  // After a restart its own address is still there and is not written again.
  SeedPublisher again{ Self("10.0.0.1"), 2 };
  store.Run(again, kStart + 10s, 5s, 0);
  CHECK(store.m_writes == 1);
}

TEST_CASE("the first two daemons of a domain and their successors write seeds")
{
  FakeStore store;
  SeedPublisher first{ Self("10.0.0.1"), 1 };
  SeedPublisher second{ Self("10.0.0.2"), 2 };
  SeedPublisher third{ Self("10.0.0.3"), 3 };
  store.Run(first, kStart, 3s, 0);
  store.Run(second, kStart, 3s, 1);
  store.Run(third, kStart, 3s, 2);
  CHECK(store.HostAt(0) == "10.0.0.1");
  CHECK(store.HostAt(1) == "10.0.0.2");
  // The third takes the rank of the second.
  store.Run(third, kStart + 3s, 5s, 1);
  CHECK(store.HostAt(1) == "10.0.0.3");
  CHECK(store.m_writes == 3);
}

TEST_CASE("a daemon that finds no seed writes its address after a delay")
{
  FakeStore store;
  SeedPublisher publisher{ Self("10.0.0.1"), 1 };
  store.Run(publisher, kStart, 2s, std::nullopt);
  CHECK(store.m_writes == 0);
  SUBCASE("seeds of other daemons exist")
  {
    publisher.OnSeeds(kStart + 2s, true);
    store.Run(publisher, kStart + 2s, 2s, std::nullopt);
    CHECK(store.m_writes == 0);
  }
  SUBCASE("no seed exists")
  {
    publisher.OnSeeds(kStart + 2s, false);
    CHECK_FALSE(publisher.OnTick(kStart + 2s, std::nullopt));
    store.Run(publisher, kStart + 2500ms, 2s, std::nullopt);
    CHECK(store.m_writes == 1);
  }
}

TEST_CASE("an address that is missing from the store is written again")
{
  FakeStore store;
  SeedPublisher publisher{ Self("10.0.0.1"), 1 };
  store.Run(publisher, kStart, 2s, 0);
  store.m_keys.clear();
  store.Run(publisher, kStart + 2s, 62s, 0);
  CHECK(store.HostAt(0) == "10.0.0.1");
}

TEST_CASE("a daemon that wrote the first seed before it knew its rank writes "
          "the seed of its rank soon")
{
  // Guards against a second seed that is missing until the next verification.
  FakeStore store;
  SeedPublisher publisher{ Self("10.0.0.1"), 1 };
  publisher.OnSeeds(kStart, false);
  store.Run(publisher, kStart, 2s, std::nullopt);
  REQUIRE(store.HostAt(0) == "10.0.0.1");
  store.Run(publisher, kStart + 2s, 2s, 1);
  CHECK(store.HostAt(1) == "10.0.0.1");
}

TEST_CASE("a daemon whose rank alternates writes at most twice a second")
{
  // Guards against a burst of writes while a starting fleet learns its members.
  FakeStore store;
  SeedPublisher publisher{ Self("10.0.0.1"), 1 };
  for (int i = 0; i < 40; ++i) {
    store.Run(publisher, kStart + i * 100ms, 100ms, i % 2);
  }
  CHECK(store.m_writes >= 2);
  CHECK(store.m_writes <= 8);
}

TEST_CASE("malformed seeds are rejected")
{
  // A starting daemon would wait for an answer from a malformed address.
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

TEST_CASE("corrupted seeds are parsed or rejected without a crash")
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

TEST_CASE("odd seeds of another writer end no daemon")
{
  // Guards against values that are nested too deep or out of range, which end
  // the processes that read the list.
  const std::string seed = SeedToJson({ "10.0.0.1", 7660, 7661, 7662 });
  for (const std::string& each : test::OddVariantsOf(seed)) {
    const auto address = ParseSeed(each);
    CHECK((!address ||
           (address->m_host == "10.0.0.1" && address->m_gossipPort == 7660)));
  }
}
