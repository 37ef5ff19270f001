#include "greengagehub/core/clock.hpp"
#include "platform_fleet.hpp"

#include <fmt/format.h>

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;

namespace {

/// Ranks after the lockers in its domain, so that it does not read the store.
constexpr const char* kBehind = "ledger-5";
constexpr std::uint64_t kMovedVersion = 13;
/// Daemons contact each other often while they join.
constexpr auto kJoiningTime = 3500ms;
/// No version is announced between daemons.
constexpr const char* kNoPushes = "[membership]\nperiod_ms = 60000\n"
                                  "[dissemination]\nfanout = 0\n";

/// \param aService of the route to /status/.
Json
RoutedTo(const char* aVersion, const char* aService)
{
  Json rule = Rule("status", "safe", "/status/");
  rule["action"]["service"] = aService;
  Json document = Document(aVersion, Json::array({ rule }));
  document["clusters"].push_back({ { "name", "ledger" },
                                   { "health_check_path", "/healthz" },
                                   { "max_connections", 50 } });
  return document;
}

}

TEST_CASE("a call routed by an outdated version is not run by the service that "
          "only this version selects")
{
  // Guards against a daemon that no version reaches and that goes on sending
  // calls by the one it has.
  Fleet fleet;
  for (const char* slot : { "lockers-1", "lockers-2", kBehind }) {
    fleet.Add({ .m_slot = slot,
                .m_service = slot == kBehind ? "ledger" : "lockers",
                .m_settings = kNoPushes,
                .m_onPlatform = true });
  }
  const TimePoint startedAt = Clock::now();
  fleet.PutPlatformConfig(RoutedTo("0000000c", "lockers"));
  WaitForLockers(fleet);
  CHECK(WaitUntil([&] {
    return SendRequest(fleet, kBehind, "GET", "/status/1", "before").Status() ==
           200;
  }));
  REQUIRE(WaitUntil([&] { return Clock::now() - startedAt > kJoiningTime; }));
  fleet.PutPlatformConfig(RoutedTo("0000000d", "ledger"));
  for (const char* slot : { "lockers-1", "lockers-2" }) {
    REQUIRE(WaitUntil([&] { return fleet.VersionAt(slot) == kMovedVersion; }));
  }
  REQUIRE(fleet.VersionAt(kBehind) < kMovedVersion);
  const TimePoint movedAt = Clock::now();
  REQUIRE(WaitUntil([&] { return Clock::now() - movedAt > 1200ms; }));
  REQUIRE(fleet.VersionAt(kBehind) < kMovedVersion);
  int sent = 0;
  CHECK(WaitUntil([&] {
    const auto result = SendRequest(
      fleet, kBehind, "GET", "/status/1", fmt::format("after-{}", ++sent));
    const bool isServed = result.Status() == 200;
    CHECK((isServed || result.Status() == 503));
    return isServed;
  }));
  for (const char* slot : { "lockers-1", "lockers-2" }) {
    const Json counts = fleet.WorkerCounts(slot);
    for (int i = 1; i <= sent; ++i) {
      CHECK(counts["runs"].value(fmt::format("after-{}", i), 0) == 0);
    }
  }
  CHECK(fleet.VersionAt(kBehind) == kMovedVersion);
}
