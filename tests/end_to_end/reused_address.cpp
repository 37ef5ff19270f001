#include "platform_fleet.hpp"

#include <algorithm>
#include <fmt/format.h>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr int kRequests = 60;
constexpr const char* kReused = "lockers-1";
constexpr const char* kSuccessor = "successor";

/// Both services, with all routes to "lockers".
Json
TwoServices()
{
  Json document = Document("0000000c", kRules);
  document["clusters"].push_back({ { "name", "ledger" },
                                   { "health_check_path", "/healthz" },
                                   { "max_connections", 50 } });
  return document;
}

/// Starts three lockers, the first of which is replaced by a worker of another
/// service.
void
StartWithReusedAddress(Fleet& aFleet)
{
  for (const char* slot : { kReused, "lockers-2", "lockers-3" }) {
    aFleet.Add(
      { .m_slot = slot, .m_service = "lockers", .m_onPlatform = true });
  }
  aFleet.PutPlatformConfig(TwoServices());
  WaitForLockers(aFleet);
  aFleet.ReplaceBackend(kReused, "ledger", kSuccessor);
}

/// \returns How many requests were answered with success.
int
SendRequests(const Fleet& aFleet)
{
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string slot = fmt::format("lockers-{}", 1 + i % 3);
    const auto result = SendRequest(
      aFleet, slot, "GET", "/status/1", fmt::format("request-{}", i));
    served += result.Status() == 200 ? 1 : 0;
  }
  return served;
}

std::size_t
RunsAtSuccessor(const Fleet& aFleet)
{
  const Json counts = aFleet.WorkerCounts(kReused);
  const Json& runs = counts["runs"];
  return static_cast<std::size_t>(
    std::ranges::count_if(runs.items(), [](const auto& aRun) {
      return aRun.key().starts_with("request-");
    }));
}

/// Has the successor report to the daemon at its address, and waits until it is
/// answered.
void
SendReports(const Fleet& aFleet)
{
  aFleet.ControlWorker(kReused,
                       { { "heartbeats", aFleet.HeartbeatsUrl(kReused) } });
  REQUIRE(WaitUntil(
    [&] { return aFleet.WorkerCounts(kReused).value("acknowledged", 0) > 1; }));
}

}

TEST_CASE("a restarted daemon gives no calls to a worker of another service at "
          "its worker's address")
{
  // Guards against a worker whose service is assumed from its address.
  Fleet fleet;
  StartWithReusedAddress(fleet);
  fleet.Restart(kReused);
  REQUIRE(WaitUntil([&] { return fleet.IsReady(kReused); }));
  SUBCASE("which sends heartbeats")
  {
    SendReports(fleet);
  }
  SUBCASE("which sends none")
  {
    fleet.ControlWorker(kReused, { { "heartbeats", "" } });
  }
  CHECK(SendRequests(fleet) == kRequests);
  CHECK(RunsAtSuccessor(fleet) == 0);
}

TEST_CASE("a running daemon offers no slots of a worker whose address another "
          "service uses")
{
  // Guards against calls that are sent, for as long as the former worker is
  // believed to run, to a worker that rejects each of them.
  Fleet fleet;
  StartWithReusedAddress(fleet);
  SUBCASE("which sends heartbeats")
  {
    SendReports(fleet);
  }
  SUBCASE("which sends none")
  {
    fleet.ControlWorker(kReused, { { "heartbeats", "" } });
  }
  CHECK(SendRequests(fleet) == kRequests);
  CHECK(RunsAtSuccessor(fleet) == 0);
  // One call finds out where the worker sends no heartbeats.
  CHECK(fleet.WorkerCounts(kReused).value("misdirected", 0) <= 2);
}
