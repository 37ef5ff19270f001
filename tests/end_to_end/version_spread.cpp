#include "platform_fleet.hpp"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr int kDaemons = 14;
constexpr int kPaused = 10;
constexpr std::uint64_t kFirstVersion = 12;
constexpr std::uint64_t kLastVersion = 20;
/// Probes are too rare to deliver a version within the test.
constexpr const char* kRareProbes = "[membership]\nperiod_ms = 60000\n";
constexpr const char* kCrashingTarget = "/status/crashing";

/// The rules of a version: one route for each version so far, and with a large
/// change many more.
Json
RulesOf(std::uint64_t aVersion, std::size_t aMoreRoutes)
{
  Json rules = kRules;
  for (std::uint64_t i = kFirstVersion + 1; i <= aVersion; ++i) {
    rules.push_back(Rule(fmt::format("added-{}", i).c_str(),
                         "safe",
                         fmt::format("/added-{}/", i).c_str()));
  }
  for (std::size_t i = 0; i < aMoreRoutes; ++i) {
    rules.push_back(Rule(fmt::format("more-{}", i).c_str(),
                         "safe",
                         fmt::format("/more-{}/", i).c_str()));
  }
  return rules;
}

void
PutVersion(const Fleet& aFleet, std::uint64_t aVersion, std::size_t aMoreRoutes)
{
  aFleet.PutPlatformConfig(Document(fmt::format("{:08x}", aVersion).c_str(),
                                    RulesOf(aVersion, aMoreRoutes)));
}

/// Has one backend server state a limit, one a leave, and one crash.
void
DisturbWorkers(const Fleet& aFleet)
{
  aFleet.ControlWorker("lockers-1", { { "limit", "20" } });
  aFleet.ControlWorker("lockers-2", { { "leaving", true } });
  aFleet.ControlWorker("lockers-3",
                       { { "ends_on", kCrashingTarget },
                         { "ends_after_ms", 5 },
                         { "back_after_ms", 200 } });
  for (int i = 0; i < kDaemons; ++i) {
    static_cast<void>(SendRequest(aFleet,
                                  "lockers-4",
                                  "GET",
                                  i % 2 == 0 ? "/status/1" : kCrashingTarget,
                                  fmt::format("d{}", i)));
  }
}

/// \returns Daemons that keep running: the readers of the store and others.
std::vector<std::string>
PauseMost(Fleet& aFleet)
{
  std::vector<std::string> running = aFleet.Slots();
  std::stable_partition(
    running.begin(), running.end(), [&](const std::string& aSlot) {
      const Json status = aFleet.Status(aSlot);
      return status.is_object() && status.value("watching", false);
    });
  for (int i = 0; i < kPaused; ++i) {
    aFleet.Daemon(running.back()).Signal(SIGSTOP);
    running.pop_back();
  }
  return running;
}

void
CheckVersion(const Fleet& aFleet,
             const std::vector<std::string>& aSlots,
             std::uint64_t aVersion)
{
  const std::string target = fmt::format("/added-{}/1", aVersion);
  for (const std::string& each : aSlots) {
    CAPTURE(each);
    CHECK(WaitUntil([&] { return aFleet.VersionAt(each) >= aVersion; }));
    CHECK(SendRequest(aFleet, each, "GET", target, each + target).Status() !=
          404);
  }
}

}

TEST_CASE("running daemons get each version while most of their domain is "
          "paused and workers leave, crash and state limits")
{
  // Guards against versions that are sent once, to members that do not answer.
  Fleet fleet;
  for (int i = 1; i <= kDaemons; ++i) {
    fleet.Add({ .m_slot = "lockers-" + std::to_string(i),
                .m_service = "lockers",
                .m_settings = kRareProbes,
                .m_onPlatform = true });
  }
  PutVersion(fleet, kFirstVersion, 0);
  WaitForLockers(fleet);
  DisturbWorkers(fleet);
  const std::vector<std::string> running = PauseMost(fleet);
  std::uint64_t version = kFirstVersion;
  SUBCASE("small changes, one at a time")
  {
    while (version < kLastVersion) {
      ++version;
      PutVersion(fleet, version, 0);
      CheckVersion(fleet, running, version);
    }
  }
  SUBCASE("large changes, one at a time")
  {
    while (version < kLastVersion) {
      ++version;
      PutVersion(fleet, version, 300 * (version - kFirstVersion));
      CheckVersion(fleet, running, version);
    }
  }
  SUBCASE("a storm of small and large changes")
  {
    while (version < kLastVersion) {
      ++version;
      PutVersion(fleet, version, 100 * (version % 3));
    }
    CheckVersion(fleet, running, version);
  }
}
