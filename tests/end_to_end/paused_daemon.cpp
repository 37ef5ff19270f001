#include "platform_fleet.hpp"

#include <csignal>
#include <thread>

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;

namespace {

/// Sends a lookup and disconnects before the answer.
void
CallAndDisconnect(const Fleet& aFleet,
                  const std::string& aSlot,
                  const char* aId)
{
  HttpClientRequest request;
  request.m_url = aFleet.CallsUrl(aSlot) + "/status/1";
  request.m_headers = { { "Host", "a.example" },
                        { "X-Greengagehub-Request-Id", aId },
                        { "X-Greengagehub-Deadline-Ms", "2000" } };
  request.m_timeout = 600ms;
  CHECK(SendAndWait(std::move(request)).m_kind !=
        HttpClientResult::Kind::Answered);
}

}

TEST_CASE("a request whose caller disconnected during a pause does not run")
{
  // After the pause, the daemon reads the request before the close of its
  // connection: it must detect the close before it forwards the request.
  Fleet fleet;
  StartLockers(fleet, 2);
  fleet.ControlWorker("lockers-1", { { "draining", true } });
  REQUIRE(WaitUntil([&] {
    return fleet.WorkerCounts("lockers-1").value("drain_acknowledged", false);
  }));
  CHECK(
    SendRequest(fleet, "lockers-1", "GET", "/status/1", "before").Status() ==
    200);
  std::string paused;
  SUBCASE("the caller's own daemon")
  {
    paused = "lockers-1";
  }
  SUBCASE("the worker's daemon")
  {
    paused = "lockers-2";
  }
  fleet.Daemon(paused).Signal(SIGSTOP);
  std::vector<std::thread> callers;
  for (const char* id : { "left-1", "left-2", "left-3", "left-4" }) {
    callers.emplace_back(
      [&, id] { CallAndDisconnect(fleet, "lockers-1", id); });
  }
  for (std::thread& each : callers) {
    each.join();
  }
  fleet.Daemon(paused).Signal(SIGCONT);
  CHECK(SendRequest(fleet, "lockers-1", "GET", "/status/1", "after").Status() ==
        200);
  for (const char* id : { "left-1", "left-2", "left-3", "left-4" }) {
    CHECK(Runs(fleet, id) == 0);
  }
}
