#include "testkit/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

// What proxies run while watchers, daemons and the store fail.

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

/// Short times, so that takeovers happen within a test.
constexpr const char* kQuick = "lease_ms = 900\nwatch_retry_ms = 200\n"
                               "watch_max_retry_ms = 1000\n"
                               "watch_ms = 2000\nmax_backoff_ms = 500\n"
                               "[membership]\nperiod_ms = 200\n"
                               "ack_timeout_ms = 80\n";

std::string
Patch(std::uint64_t aNumber)
{
  return fmt::format(R"({{"services":{{"s{}":{{}}}}}})", aNumber);
}

void
StartDaemons(Fleet& aFleet, int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    aFleet.Add({ .m_slot = fmt::format("d{:02}", i),
                 .m_service = "locker-app",
                 .m_domain = i % 2 == 0 ? "solna" : "kista",
                 .m_settings = kQuick,
                 .m_withBackend = false });
  }
  REQUIRE(aFleet.WaitForMembers());
}

/// Daemons that hold a lease to watch the store.
std::vector<std::string>
Watchers(const Fleet& aFleet, const std::vector<std::string>& aSlots)
{
  std::vector<std::string> watchers;
  for (const std::string& each : aSlots) {
    const auto status = aFleet.Status(each);
    if (status.is_object() && status.value("watching", false)) {
      watchers.push_back(each);
    }
  }
  return watchers;
}

}

TEST_CASE("a daemon restarted while the store is away comes back no older")
{
  // A daemon runs version 3, dies and comes back with nothing while the store
  // is away. It must not open for calls below 3; its peers know both the
  // versions and what its slot ran.
  Fleet fleet;
  StartDaemons(fleet, 4);
  for (std::uint64_t i = 0; i < 3; ++i) {
    REQUIRE(fleet.Accept("d00", fmt::format("p{}", i), i, Patch(i)));
  }
  REQUIRE(fleet.WaitForVersion(3));
  fleet.SetStoreFaults({ { "outage", "refuse" } });
  fleet.Restart("d02");
  std::uint64_t lowestReady = 3;
  const bool caughtUp = WaitUntil([&] {
    const auto status = fleet.Status("d02");
    if (status.is_object() && status.value("ready", false)) {
      lowestReady =
        std::min(lowestReady, status.value("version", std::uint64_t{ 0 }));
      return true;
    }
    return false;
  });
  CHECK(caughtUp);
  CHECK(lowestReady == 3);
}

TEST_CASE("an answer lost after the write took effect costs a read")
{
  // The store accepts the decision and its answer is lost. The operator must
  // not be told a guess, and asking again must give the one decision.
  Fleet fleet;
  StartDaemons(fleet, 2);
  fleet.SetStoreFaults({ { "lose_answers", 1 } });
  const CallResult told =
    fleet.Operate("d00", "POST", "/v1/patches?id=lost&base=0", Patch(1));
  fleet.SetStoreFaults({ { "lose_answers", 0 } });
  const CallResult again =
    fleet.Operate("d01", "POST", "/v1/patches?id=lost&base=0", Patch(1));
  CHECK(again.Status() == 200);
  CHECK(again.Json()["version"] == 1);
  const bool truthful = told.Status() == 200 || told.Status() == 503;
  CHECK(truthful);
  REQUIRE(fleet.WaitForVersion(1));
  CHECK(fleet.VersionAt("d00") == 1);
}

TEST_CASE("all watchers and a third of the daemons are killed at once")
{
  // Every daemon that watches the store dies, with others. The places are
  // taken over, and a version that is accepted afterwards by a process
  // outside this fleet's daemons is in force on all that are left.
  Fleet fleet;
  StartDaemons(fleet, 9);
  const auto slots = fleet.Slots();
  REQUIRE(fleet.Accept("d00", "p0", 0, Patch(0)));
  REQUIRE(fleet.WaitForVersion(1));
  REQUIRE(WaitUntil([&] { return Watchers(fleet, slots).size() == 4; }));
  std::vector<std::string> alive = slots;
  for (const std::string& each : Watchers(fleet, slots)) {
    fleet.Daemon(each).Kill();
    std::erase(alive, each);
  }
  CHECK(WaitUntil([&] { return Watchers(fleet, alive).size() >= 2; }));
  REQUIRE(fleet.Accept(alive.front(), "p1", 1, Patch(1)));
  CHECK(fleet.WaitForVersion(2));
  for (const std::string& each : slots) {
    if (!fleet.Daemon(each).IsRunning()) {
      fleet.Restart(each);
    }
  }
  CHECK(fleet.WaitForVersion(2));
}

TEST_CASE("a frozen daemon wakes up and catches up")
{
  Fleet fleet;
  StartDaemons(fleet, 4);
  REQUIRE(fleet.Accept("d00", "p0", 0, Patch(0)));
  REQUIRE(fleet.WaitForVersion(1));
  fleet.Daemon("d01").Signal(SIGSTOP);
  for (std::uint64_t i = 1; i < 6; ++i) {
    REQUIRE(fleet.Accept("d00", fmt::format("p{}", i), i, Patch(i)));
  }
  // The others hold it for gone, and must take it back.
  REQUIRE(WaitUntil([&] {
    return fleet.Operate("d00", "GET", "/v1/version").Json()["members"] == 3;
  }));
  fleet.Daemon("d01").Signal(SIGCONT);
  CHECK(fleet.WaitForVersion(6));
  CHECK(fleet.WaitForMembers());
}

TEST_CASE("a store restored from a backup is not followed backwards")
{
  // The operators' store comes back as it was two versions ago. Proxies keep
  // what they run, say so, and take no decision on it.
  Fleet fleet;
  StartDaemons(fleet, 3);
  REQUIRE(fleet.Accept("d00", "p0", 0, Patch(0)));
  REQUIRE(fleet.WaitForVersion(1));
  fleet.StoreAction("/backup");
  REQUIRE(fleet.Accept("d00", "p1", 1, Patch(1)));
  REQUIRE(fleet.Accept("d00", "p2", 2, Patch(2)));
  REQUIRE(fleet.WaitForVersion(3));
  fleet.StoreAction("/restore");
  const CallResult refused =
    fleet.Operate("d01", "POST", "/v1/patches?id=p3&base=3", Patch(3));
  CHECK(refused.Status() == 500);
  CHECK(refused.Json()["error"] == "store-behind");
  CHECK(WaitUntil([&] {
    const auto slots = fleet.Slots();
    return std::any_of(slots.begin(), slots.end(), [&](const auto& aSlot) {
      return fleet.Daemon(aSlot).Logged("store_behind");
    });
  }));
  for (const std::string& each : fleet.Slots()) {
    CHECK(fleet.VersionAt(each) == 3);
  }
}

TEST_CASE("the whole fleet restarts and starts again from the store")
{
  // Every daemon dies. Nothing is left but the store, whose log has been
  // packed, so that a snapshot has to be read as well.
  Fleet fleet;
  StartDaemons(fleet, 3);
  const std::string filler(480, 'x');
  for (std::uint64_t i = 0; i < 14; ++i) {
    std::string patch =
      fmt::format(R"({{"services":{{"s{}":{{}}}},"routes":{{)", i);
    for (int route = 0; route < 5; ++route) {
      patch += fmt::format(R"({}"r{}-{}":{{"service":"s{}","path":"/{}{}{}"}})",
                           route == 0 ? "" : ",",
                           i,
                           route,
                           i,
                           i,
                           route,
                           filler);
    }
    REQUIRE(fleet.Accept("d00", fmt::format("p{}", i), i, patch + "}}"));
  }
  REQUIRE(fleet.WaitForVersion(14));
  REQUIRE(WaitUntil([&] { return fleet.StoreStats()["keys"] > 10; }));
  for (const std::string& each : fleet.Slots()) {
    fleet.Daemon(each).Kill();
  }
  for (const std::string& each : fleet.Slots()) {
    fleet.Restart(each);
  }
  CHECK(fleet.WaitForVersion(14));
  const CallResult old = fleet.Operate("d02", "GET", "/v1/patches/p0");
  CHECK(old.Status() == 200);
  CHECK(old.Json()["version"] == 1);
}

TEST_CASE("store calls do not grow with the fleet")
{
  // Each daemon that watched, read or wrote the store by itself would take
  // the whole fleet's rates with it. Watches are held by a fixed few for each
  // failure domain, whatever the number of daemons.
  for (const int count : { 4, 16 }) {
    Fleet fleet;
    StartDaemons(fleet, count);
    REQUIRE(
      WaitUntil([&] { return Watchers(fleet, fleet.Slots()).size() == 4; }));
    for (std::uint64_t i = 0; i < 3; ++i) {
      REQUIRE(fleet.Accept("d00", fmt::format("p{}", i), i, Patch(i)));
    }
    REQUIRE(fleet.WaitForVersion(3));
    const auto stats = fleet.StoreStats();
    MESSAGE(count, " daemons: ", stats.dump());
    CHECK(stats["most_watching"] <= 5);
    // Three decisions, four places taken and kept; a few takers that raced.
    CHECK(stats["writes"] <= 20);
  }
}
