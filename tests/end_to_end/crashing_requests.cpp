#include "platform_fleet.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;

namespace {

constexpr const char* kCrashingTarget = "/status/crashing";
/// Crashes after which a request is quarantined.
constexpr int kCrashLimit = 3;
/// Copies in flight when the last of these crashes becomes known.
constexpr int kMaxCopiesInFlight = 2;
constexpr int kWorkers = 8;

void
CrashOnRequest(const Fleet& aFleet)
{
  for (const std::string& each : aFleet.Slots()) {
    aFleet.ControlWorker(each,
                         { { "ends_on", kCrashingTarget },
                           { "ends_after_ms", 30 },
                           { "back_after_ms", 400 } });
  }
}

/// Waits until each worker answers.
/// \returns The sum of a count over all workers.
int
SumOverWorkers(const Fleet& aFleet,
               const std::function<int(const Json&)>& aSelect)
{
  int sum = 0;
  for (const std::string& each : aFleet.Slots()) {
    Json counts;
    REQUIRE(WaitUntil([&] {
      counts = aFleet.WorkerCounts(each);
      return counts.is_object();
    }));
    sum += aSelect(counts);
  }
  return sum;
}

int
CrashCount(const Fleet& aFleet)
{
  return SumOverWorkers(
    aFleet, [](const Json& aCounts) { return aCounts.value("ends", 0); });
}

int
CrashingRuns(const Fleet& aFleet)
{
  return SumOverWorkers(aFleet, [](const Json& aCounts) {
    return aCounts["targets"].value(kCrashingTarget, 0);
  });
}

}

TEST_CASE("a request that crashes its workers is quarantined")
{
  // A caller retries a crashing request at any daemon and under new ids:
  // without a fleet-wide crash count it takes down every worker of the service.
  Fleet fleet;
  StartLockers(fleet, kWorkers);
  CrashOnRequest(fleet);
  for (int i = 0; i < 24; ++i) {
    const std::string slot = "lockers-" + std::to_string(i % kWorkers + 1);
    const auto status =
      SendRequest(fleet, slot, "GET", kCrashingTarget, "c" + std::to_string(i))
        .Status();
    CHECK(status >= 500);
    // Other requests of the same caller are still served.
    const auto other =
      SendRequest(fleet, slot, "GET", "/status/1", "o" + std::to_string(i));
    CHECK(other.Status() == 200);
  }
  CHECK(CrashCount(fleet) <= kCrashLimit + kMaxCopiesInFlight);
  CHECK(CrashingRuns(fleet) <= kCrashLimit + kMaxCopiesInFlight);
}

TEST_CASE("a quarantine outlasts a restart of all daemons")
{
  // All daemons restart while the workers keep running. If the crash counts
  // were lost, as many workers would crash again after each restart.
  Fleet fleet;
  StartLockers(fleet, kWorkers);
  CrashOnRequest(fleet);
  const auto ask = [&](int aNumber) {
    const std::string slot =
      "lockers-" + std::to_string(aNumber % kWorkers + 1);
    const std::string id = "c" + std::to_string(aNumber);
    return SendRequest(fleet, slot, "GET", kCrashingTarget, id).Status();
  };
  for (int i = 0; i < 12; ++i) {
    CHECK(ask(i) >= 500);
  }
  for (const std::string& each : fleet.Slots()) {
    fleet.Daemon(each).Kill();
  }
  for (const std::string& each : fleet.Slots()) {
    fleet.Restart(each);
  }
  WaitForLockers(fleet);
  const int before = CrashCount(fleet);
  for (int i = 12; i < 24; ++i) {
    CHECK(ask(i) >= 500);
  }
  CHECK(CrashCount(fleet) == before);
}

TEST_CASE("a daemon started during a store outage learns what is quarantined")
{
  // The store is unreachable: the daemon must take the quarantine, as the
  // configuration, from its peers.
  Fleet fleet;
  StartLockers(fleet, kWorkers);
  CrashOnRequest(fleet);
  for (int i = 0; i < 8; ++i) {
    const std::string slot = "lockers-" + std::to_string(i + 1);
    CHECK(
      SendRequest(fleet, slot, "GET", kCrashingTarget, "c" + std::to_string(i))
        .Status() >= 500);
  }
  fleet.SetStoreFaults({ { "outage", "refuse" } });
  fleet.Restart("lockers-1");
  WaitForLockers(fleet);
  const int before = CrashCount(fleet);
  for (int i = 0; i < 6; ++i) {
    const auto answer = SendRequest(
      fleet, "lockers-1", "GET", kCrashingTarget, "d" + std::to_string(i));
    CHECK(answer.Status() == 503);
  }
  CHECK(CrashCount(fleet) == before);
}

TEST_CASE(
  "quarantined requests are listed with their crashes and can be lifted")
{
  // The trace of a request id must show its fingerprint, and the list its
  // crashes; once lifted, the request must run again.
  Fleet fleet;
  StartLockers(fleet, kWorkers);
  CrashOnRequest(fleet);
  for (int i = 0; i < 8; ++i) {
    const std::string id = "c" + std::to_string(i);
    CHECK(
      SendRequest(fleet, "lockers-1", "GET", kCrashingTarget, id).Status() >=
      500);
  }
  CommandResult listed;
  REQUIRE(WaitUntil([&] {
    listed = fleet.Command("lockers-2", { "held" });
    return listed.m_output.find("1 quarantined") != std::string::npos;
  }));
  CHECK(listed.m_output.find("3 crashes at lockers") != std::string::npos);
  CHECK(listed.m_output.find("s ago, after") != std::string::npos);
  const std::string fingerprint = listed.m_output.substr(0, 32);

  CommandResult trace;
  REQUIRE(WaitUntil([&] {
    trace = fleet.Trace("c7");
    return trace.m_output.find("request_held") != std::string::npos;
  }));
  CHECK(trace.m_output.find(fingerprint) != std::string::npos);

  for (const std::string& each : fleet.Slots()) {
    REQUIRE(WaitUntil([&] { return fleet.WorkerCounts(each).is_object(); }));
    fleet.ControlWorker(each, { { "ends_on", "" } });
  }
  CHECK(fleet.Command("lockers-3", { "lift", "00" }).m_exitCode == 2);
  CHECK(fleet.Command("lockers-3", { "lift", fingerprint }).m_exitCode == 0);
  for (const std::string& each : fleet.Slots()) {
    CHECK(WaitUntil([&] {
      return SendRequest(fleet, each, "GET", kCrashingTarget, "l" + each)
               .Status() == 200;
    }));
  }
}
