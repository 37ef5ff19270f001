#include "greengagehub/core/clock.hpp"
#include "platform_fleet.hpp"
#include "testkit/fleet_queries.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <fmt/format.h>

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr std::uint32_t kMaxDescriptors = 200;
/// A daemon with so few descriptors accepts fewer connections.
constexpr int kOccupants = 40;
constexpr int kLeavers = 40;
constexpr std::string_view kLookup = "/status/1";
/// Silence after which a daemon gives up a link, with a margin.
constexpr auto kLinkLossTime = 2500ms;

/// A client that disconnects when it chooses to.
class Client
{
public:
  Client(const Fleet& aFleet, const std::string& aSlot)
    : m_socket(m_loop)
  {
    m_socket.connect(
      { asio::ip::address_v4::loopback(), PortOf(aFleet.CallsUrl(aSlot)) });
    // Daemons that start later would inherit it.
    ::fcntl(m_socket.native_handle(), F_SETFD, FD_CLOEXEC);
  }

  void Send(std::string_view aBytes)
  {
    asio::write(m_socket, asio::buffer(aBytes));
  }
  void SendRequest(std::string_view aTarget, const std::string& aId)
  {
    Send(fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                     "X-Greengagehub-Request-Id: {}\r\n"
                     "X-Greengagehub-Deadline-Ms: 20000\r\n\r\n",
                     aTarget,
                     aId));
  }
  void Disconnect() { m_socket.close(); }

private:
  asio::io_context m_loop;
  tcp::socket m_socket;
};

std::string
LeaverId(int aNumber)
{
  return fmt::format("left-{}", aNumber);
}

std::uint64_t
Count(const Fleet& aFleet, const std::string& aSlot, const char* aName)
{
  const Json counts = aFleet.WorkerCounts(aSlot);
  return counts.is_object() ? counts.value(aName, std::uint64_t{ 0 }) : 0;
}

/// \returns The slot of a worker that runs a request, other than `aExcept`;
/// empty if none does.
std::string
RunningWorker(const Fleet& aFleet, const std::string& aExcept = {})
{
  for (const std::string& each : aFleet.Slots()) {
    if (each != aExcept && Count(aFleet, each, "running") > 0) {
      return each;
    }
  }
  return {};
}

/// Starts workers of which only those of the other instances take the calls of
/// lockers-1, and lets these run for longer than any test waits for a link.
void
StartSlowLockers(Fleet& aFleet, int aCount)
{
  for (int i = 1; i <= aCount; ++i) {
    aFleet.Add({ .m_slot = fmt::format("lockers-{}", i),
                 .m_service = "lockers",
                 .m_onPlatform = true });
  }
  Json rules = kRules;
  for (Json& each : rules) {
    each["target_latency_ms"] = 20'000;
    each["action"]["timeout_ms"] = 20'000;
  }
  aFleet.PutPlatformConfig(Document("0000000c", rules));
  WaitForLockers(aFleet);
  aFleet.ControlWorker("lockers-1", { { "draining", true } });
  REQUIRE(WaitUntil([&] {
    return aFleet.WorkerCounts("lockers-1").value("drain_acknowledged", false);
  }));
  for (int i = 2; i <= aCount; ++i) {
    aFleet.ControlWorker(fmt::format("lockers-{}", i),
                         { { "service_ms", 9000 } });
  }
}

}

TEST_CASE("requests whose callers disconnected before they were accepted do "
          "not run")
{
  // Guards against requests that are read from the listen queue, with the
  // close of their connections behind them, and passed on.
  Fleet fleet;
  fleet.Add({ .m_slot = "lockers-1",
              .m_service = "lockers",
              .m_onPlatform = true,
              .m_maxDescriptors = kMaxDescriptors });
  fleet.PutPlatformConfig(Document("0000000c", kRules));
  WaitForLockers(fleet);
  std::deque<Client> occupants;
  for (int i = 0; i < kOccupants; ++i) {
    occupants.emplace_back(fleet, "lockers-1");
    occupants.back().Send("GET /status/1 HTTP/1.1\r\n");
  }
  for (int i = 0; i < kLeavers; ++i) {
    Client leaver{ fleet, "lockers-1" };
    leaver.SendRequest(kLookup, LeaverId(i));
    leaver.Disconnect();
  }
  occupants.clear();
  CHECK(WaitUntil([&] {
    return SendRequest(fleet, "lockers-1", "GET", "/status/1", "after")
             .Status() == 200;
  }));
  for (int i = 0; i < kLeavers; ++i) {
    CAPTURE(i);
    CHECK(Runs(fleet, LeaverId(i)) == 0);
  }
}

TEST_CASE("a run ends when its caller disconnects while the link is down")
{
  // Guards against cancellations that are lost with the link.
  Fleet fleet;
  int workers = 0;
  SUBCASE("the call waits for its only worker")
  {
    workers = 2;
  }
  SUBCASE("the call is repeated at another worker")
  {
    workers = 3;
  }
  StartSlowLockers(fleet, workers);
  Client leaver{ fleet, "lockers-1" };
  leaver.SendRequest(kLookup, "left");
  REQUIRE(WaitUntil([&] { return !RunningWorker(fleet).empty(); }));
  const std::string first = RunningWorker(fleet);
  fleet.Daemon(first).Signal(SIGSTOP);
  const TimePoint pausedAt = Clock::now();
  REQUIRE(WaitUntil([&] { return Clock::now() - pausedAt > kLinkLossTime; }));
  const bool isRepeated = workers > 2;
  std::string second;
  if (isRepeated) {
    REQUIRE(WaitUntil([&] { return !RunningWorker(fleet, first).empty(); }));
    second = RunningWorker(fleet, first);
  }
  leaver.Disconnect();
  if (isRepeated) {
    CHECK(WaitUntil([&] { return Count(fleet, second, "broken_off") == 1; }));
  }
  fleet.Daemon(first).Signal(SIGCONT);
  REQUIRE(WaitUntil([&] { return Count(fleet, first, "running") == 0; }));
  CHECK(Count(fleet, first, "broken_off") == 1);
}

TEST_CASE(
  "runs for a daemon that was killed end, unless they may run only once")
{
  // Guards against work that nobody can cancel any more.
  Fleet fleet;
  StartSlowLockers(fleet, 2);
  std::string_view target = kLookup;
  SUBCASE("idempotent") {}
  SUBCASE("not idempotent")
  {
    target = "/release/1";
  }
  Client leaver{ fleet, "lockers-1" };
  leaver.SendRequest(target, "left");
  REQUIRE(WaitUntil([&] { return RunningWorker(fleet) == "lockers-2"; }));
  fleet.Daemon("lockers-1").Signal(SIGKILL);
  REQUIRE(WaitUntil([&] { return Count(fleet, "lockers-2", "running") == 0; }));
  const std::uint64_t ended = target == kLookup ? 1 : 0;
  CHECK(Count(fleet, "lockers-2", "broken_off") == ended);
}

TEST_CASE("attempts queued for a daemon that was killed do not start")
{
  // Guards against requests that reach a worker after their callers are gone.
  Fleet fleet;
  fleet.Add(
    { .m_slot = "lockers-1", .m_service = "lockers", .m_onPlatform = true });
  fleet.Add({ .m_slot = "lockers-2",
              .m_service = "lockers",
              .m_slots = 1,
              .m_onPlatform = true });
  Json rule = Rule("status", "safe", "/status/");
  rule["target_latency_ms"] = 20'000;
  rule["action"]["timeout_ms"] = 20'000;
  fleet.PutPlatformConfig(Document("0000000c", Json::array({ rule })));
  WaitForLockers(fleet);
  fleet.ControlWorker("lockers-1", { { "draining", true } });
  REQUIRE(WaitUntil([&] {
    return fleet.WorkerCounts("lockers-1").value("drain_acknowledged", false);
  }));
  fleet.ControlWorker("lockers-2", { { "service_ms", 1500 } });
  Client running{ fleet, "lockers-2" };
  running.SendRequest(kLookup, "running");
  REQUIRE(WaitUntil([&] { return RunningWorker(fleet) == "lockers-2"; }));
  Client leaver{ fleet, "lockers-1" };
  leaver.SendRequest(kLookup, "left");
  REQUIRE(WaitUntil([&] {
    const Json status = fleet.Status("lockers-2");
    return status.is_object() && status.value("queued", 0) == 1;
  }));
  fleet.Daemon("lockers-1").Signal(SIGKILL);
  REQUIRE(WaitUntil([&] { return Count(fleet, "lockers-2", "running") == 0; }));
  CHECK(SendRequest(fleet, "lockers-2", "GET", "/status/1", "after", "20000")
          .Status() == 200);
  CHECK(Runs(fleet, "left") == 0);
  CHECK(Runs(fleet, "running") == 1);
}

TEST_CASE("a call whose caller has disconnected is not repeated")
{
  // Guards against a daemon that reads the failure of an attempt before the
  // disconnect behind it.
  Fleet fleet;
  StartSlowLockers(fleet, 3);
  const auto setWorkers = [&](int aServiceMs, bool aFails) {
    for (const char* each : { "lockers-2", "lockers-3" }) {
      fleet.ControlWorker(each,
                          { { "service_ms", aServiceMs }, { "fail", aFails } });
    }
  };
  setWorkers(2, false);
  int sent = 0;
  // Opens the links to both workers.
  REQUIRE(WaitUntil([&] {
    static_cast<void>(SendRequest(fleet,
                                  "lockers-1",
                                  "GET",
                                  "/status/1",
                                  fmt::format("before-{}", ++sent)));
    return !fleet.WorkerCounts("lockers-2")["runs"].empty() &&
           !fleet.WorkerCounts("lockers-3")["runs"].empty();
  }));
  setWorkers(300, true);
  Client leaver{ fleet, "lockers-1" };
  leaver.SendRequest(kLookup, "left");
  REQUIRE(WaitUntil([&] { return !RunningWorker(fleet).empty(); }));
  const std::string first = RunningWorker(fleet);
  fleet.Daemon("lockers-1").Signal(SIGSTOP);
  REQUIRE(
    WaitUntil([&] { return fleet.Status(first).value("running", 1) == 0; }));
  leaver.Disconnect();
  fleet.Daemon("lockers-1").Signal(SIGCONT);
  setWorkers(2, false);
  CHECK(WaitUntil([&] {
    return SendRequest(fleet, "lockers-1", "GET", "/status/1", "after")
             .Status() == 200;
  }));
  CHECK(Runs(fleet, "left") == 1);
}
