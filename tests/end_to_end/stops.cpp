#include "platform_fleet.hpp"

#include "greengagehub/transport/link_connection.hpp"
#include "testkit/fleet_queries.hpp"
#include "testkit/kept_connections.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <thread>

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr auto kDeadline = 1500ms;

/// \returns The port that the daemon has logged.
std::uint16_t
LinkPortOf(const Process& aDaemon)
{
  constexpr std::string_view kField = "\"link_port\":";
  const std::string log = aDaemon.Log();
  const std::size_t at = log.find(kField);
  REQUIRE(at != std::string::npos);
  return static_cast<std::uint16_t>(std::stoi(log.substr(at + kField.size())));
}

std::string
ReadToEnd(tcp::socket& aSocket)
{
  std::string received;
  std::array<char, 4096> buffer{};
  asio::error_code error;
  while (!error) {
    received.append(buffer.data(),
                    aSocket.read_some(asio::buffer(buffer), error));
  }
  return received;
}

KeptConnectionsPlan
LoadOn(const Fleet& aFleet, const std::string& aSlot)
{
  return { .m_port = PortOf(aFleet.CallsUrl(aSlot)),
           .m_target = "/status/1",
           .m_headers = { { "Host", "a.example" },
                          { "X-Greengagehub-Deadline-Ms", "1500" } },
           .m_prefix = aSlot + "-" };
}

/// Starts two workers with a route that waits for them.
void
StartSlowLockers(Fleet& aFleet,
                 std::uint32_t aServiceMs,
                 std::uint32_t aTimeoutMs)
{
  for (const char* slot : { "lockers-1", "lockers-2" }) {
    aFleet.Add({ .m_slot = slot,
                 .m_service = "lockers",
                 .m_serviceMs = aServiceMs,
                 .m_onPlatform = true });
  }
  Json rule = Rule("status", "safe", "/status/");
  rule["action"]["timeout_ms"] = aTimeoutMs;
  aFleet.PutPlatformConfig(Document("0000000c", Json::array({ rule })));
  WaitForLockers(aFleet);
}

void
CheckNoneLost(const Fleet& aFleet, const std::vector<KeptRequest>& aRequests)
{
  const auto lost =
    DescribeLost(aRequests, WorkerRuns(aFleet, aFleet.Slots()), kDeadline);
  for (const std::string& each : lost) {
    MESSAGE(each);
  }
  CHECK(lost.empty());
  CHECK(aRequests.size() > 100);
}

}

TEST_CASE("stops in series lose no request of a kept connection")
{
  // Guards against connections that are reset under requests, or under answers
  // on their way, by daemons that stop while others stop and reload.
  Fleet fleet;
  StartLockers(fleet, 4, 20);
  std::vector<std::unique_ptr<KeptConnections>> loads;
  for (const std::string& each : fleet.Slots()) {
    loads.push_back(std::make_unique<KeptConnections>(LoadOn(fleet, each)));
  }
  for (const std::string& each : fleet.Slots()) {
    const std::size_t before = loads.front()->Answered();
    REQUIRE(
      WaitUntil([&] { return loads.front()->Answered() > before + 100; }));
    fleet.Daemon(each).Signal(SIGTERM);
    for (const std::string& other : fleet.Slots()) {
      fleet.Daemon(other).Signal(SIGHUP);
    }
  }
  for (const std::string& each : fleet.Slots()) {
    CHECK(fleet.Daemon(each).Wait() == 0);
    fleet.Restart(each);
  }
  std::vector<KeptRequest> requests;
  for (const auto& each : loads) {
    const auto ended = each->Stop();
    requests.insert(requests.end(), ended.begin(), ended.end());
  }
  CheckNoneLost(fleet, requests);
}

TEST_CASE("a stopping daemon tells its clients to close with every answer")
{
  // Guards against clients that keep connections until their close crosses a
  // request.
  Fleet fleet;
  StartLockers(fleet, 2);
  const std::uint16_t port = PortOf(fleet.CallsUrl("lockers-1"));
  asio::io_context loop;
  std::vector<std::string> answers;
  std::vector<tcp::socket> clients;
  for (int i = 0; i < 2; ++i) {
    clients.emplace_back(loop);
    clients.back().connect({ asio::ip::address_v4::loopback(), port });
  }
  fleet.Daemon("lockers-1").Signal(SIGTERM);
  REQUIRE(WaitUntil([&] { return !fleet.IsReady("lockers-1"); }));
  for (const char* target : { "/status/1", "/other/1" }) {
    tcp::socket& client = clients[answers.size()];
    asio::write(
      client,
      asio::buffer(fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                               "X-Greengagehub-Request-Id: c\r\n\r\n",
                               target)));
    std::array<char, 4096> buffer{};
    const std::size_t size = client.read_some(asio::buffer(buffer));
    answers.emplace_back(buffer.data(), size);
  }
  CHECK(answers[0].starts_with("HTTP/1.1 200 "));
  CHECK(answers[0].find("Connection: close") != std::string::npos);
  CHECK(answers[1].starts_with("HTTP/1.1 404 "));
  CHECK(answers[1].find("Connection: close") != std::string::npos);
}

TEST_CASE("requests that wait when a drain ends are answered")
{
  // Guards against connections that are accepted in the last pass of the loop
  // and then end with the process.
  Fleet fleet;
  StartLockers(fleet, 2);
  const std::uint16_t port = PortOf(fleet.CallsUrl("lockers-1"));
  Process& daemon = fleet.Daemon("lockers-1");
  daemon.Signal(SIGTERM);
  const TimePoint stoppedAt = Clock::now();
  // Requests are accepted for 2.9 s.
  while (Clock::now() - stoppedAt < 2600ms) {
    static_cast<void>(SendRequest(fleet, "lockers-1", "GET", "/status/1", "x"));
  }
  daemon.Signal(SIGSTOP);
  asio::io_context loop;
  std::vector<tcp::socket> clients;
  constexpr int kClients = 40;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(loop);
    clients.back().connect({ asio::ip::address_v4::loopback(), port });
    asio::write(
      clients.back(),
      asio::buffer(fmt::format("GET /status/1 HTTP/1.1\r\nHost: a.example\r\n"
                               "X-Greengagehub-Request-Id: w{}\r\n"
                               "X-Greengagehub-Deadline-Ms: 1500\r\n\r\n",
                               i)));
  }
  REQUIRE(WaitUntil([&] { return Clock::now() - stoppedAt > 3100ms; }));
  daemon.Signal(SIGCONT);
  int answered = 0;
  for (tcp::socket& each : clients) {
    answered += ReadToEnd(each).starts_with("HTTP/1.1 ") ? 1 : 0;
  }
  CHECK(answered == kClients);
  CHECK(daemon.Wait() == 0);
}

TEST_CASE("a call that outlasts the grace time of a stop gets an answer")
{
  // Guards against connections that are cut with the process while their calls
  // still wait for a worker.
  Fleet fleet;
  StartSlowLockers(fleet, 15'000, 20'000);
  std::thread caller{ [&] {
    const CallResult result =
      SendRequest(fleet, "lockers-1", "GET", "/status/1", "long", "20000");
    CHECK(result.m_result.m_kind == HttpClientResult::Kind::Answered);
    CHECK(result.Status() == 504);
  } };
  CHECK(WaitUntil([&] { return Runs(fleet, "long") == 1; }));
  fleet.Daemon("lockers-1").Signal(SIGTERM);
  caller.join();
  CHECK(fleet.Daemon("lockers-1").Wait() == 1);
}

TEST_CASE("requests that come late in a stop and wait elsewhere are answered")
{
  // Guards against requests that are taken near the end of the grace time,
  // begin to run late in another worker's queue, and are cut.
  Fleet fleet;
  for (const char* slot : { "lockers-1", "lockers-2" }) {
    fleet.Add({ .m_slot = slot,
                .m_service = "lockers",
                .m_slots = 1,
                .m_serviceMs = 700,
                .m_onPlatform = true });
  }
  Json rule = Rule("release", "unsafe", "/release/");
  rule["action"]["timeout_ms"] = 5000;
  fleet.PutPlatformConfig(Document("0000000c", Json::array({ rule })));
  WaitForLockers(fleet);
  Process& daemon = fleet.Daemon("lockers-1");
  daemon.Signal(SIGTERM);
  const TimePoint stoppedAt = Clock::now();
  REQUIRE(WaitUntil([&] { return Clock::now() - stoppedAt > 2200ms; }));
  constexpr int kClients = 6;
  std::vector<CallResult> results(kClients);
  std::vector<std::thread> callers;
  callers.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    callers.emplace_back([&, i] {
      results[static_cast<std::size_t>(i)] =
        SendRequest(fleet,
                    "lockers-1",
                    "POST",
                    "/release/1",
                    fmt::format("late-{}", i),
                    "5000");
    });
  }
  for (std::thread& each : callers) {
    each.join();
  }
  int served = 0;
  for (int i = 0; i < kClients; ++i) {
    const CallResult& result = results[static_cast<std::size_t>(i)];
    const std::uint64_t runs = Runs(fleet, fmt::format("late-{}", i));
    if (result.m_result.m_kind == HttpClientResult::Kind::NotSent) {
      // The daemon had stopped listening before the client connected.
      CHECK(runs == 0);
      continue;
    }
    CHECK(result.m_result.m_kind == HttpClientResult::Kind::Answered);
    CHECK((result.Status() == 200 || result.Status() == 503));
    CHECK(runs == (result.Status() == 200 ? 1 : 0));
    served += result.Status() == 200 ? 1 : 0;
  }
  CHECK(served > 0);
  CHECK(daemon.Wait() == 0);
}

TEST_CASE("a run survives a late loop of its worker's daemon")
{
  // Guards against answers of our own in the place of a worker that is at work,
  // because its daemon got no processor time for a second.
  Fleet fleet;
  StartSlowLockers(fleet, 1'500, 6'000);
  fleet.ControlWorker("lockers-1", { { "draining", true } });
  REQUIRE(WaitUntil([&] {
    return fleet.WorkerCounts("lockers-1").value("drain_acknowledged", false);
  }));
  std::thread caller{ [&] {
    const CallResult result =
      SendRequest(fleet, "lockers-1", "GET", "/status/1", "late", "6000");
    CHECK(result.m_result.m_kind == HttpClientResult::Kind::Answered);
    CHECK(result.Status() == 200);
  } };
  CHECK(WaitUntil([&] { return Runs(fleet, "late") == 1; }));
  const TimePoint pausedAt = Clock::now();
  fleet.Daemon("lockers-2").Signal(SIGSTOP);
  CHECK(WaitUntil([&] { return Clock::now() - pausedAt > 1200ms; }));
  fleet.Daemon("lockers-2").Signal(SIGCONT);
  caller.join();
  CHECK(Runs(fleet, "late") == 1);
}

TEST_CASE("a daemon that exits does not reset links under frames")
{
  // Guards against answers that another daemon loses because frames of its own
  // were still unread when the process ended.
  Fleet fleet;
  StartLockers(fleet, 1);
  const std::uint16_t port = LinkPortOf(fleet.Daemon("lockers-1"));
  asio::io_context loop;
  tcp::socket socket{ loop };
  socket.connect({ asio::ip::address_v4::loopback(), port });
  TrafficMeter meter;
  const LinkConnection::Pointer link{ new LinkConnection{ std::move(socket),
                                                          meter } };
  bool isClosed = false;
  link->Start([](LinkConnection&, const LinkFrame&) {},
              [&](LinkConnection&) { isClosed = true; });
  link->Send(LinkHello{ "caller-1", 1, 1, "solna" });
  fleet.Daemon("lockers-1").Signal(SIGTERM);
  std::uint64_t number = 0;
  while (!isClosed) {
    link->Send(LinkPing{ ++number });
    loop.run_one_for(100us);
  }
  CHECK(link->AtClose().m_cause == LinkCloseCause::Peer);
  CHECK(fleet.Daemon("lockers-1").Wait() == 0);
}

TEST_CASE("an operator's patch gets its answer although the daemon stops")
{
  // Guards against decisions that are recorded while their answer is cut.
  Fleet fleet;
  fleet.Add(
    { .m_slot = "d00", .m_service = "locker-app", .m_withBackend = false });
  REQUIRE(fleet.WaitForMembers());
  // Longer in all than the daemon lingers without calls.
  fleet.SetStoreFaults({ { "delay_ms", 900 } });
  asio::io_context loop;
  tcp::socket operators{ loop };
  operators.connect(
    { asio::ip::address_v4::loopback(), PortOf(fleet.OperatorsUrl("d00")) });
  const std::string patch = R"({"services":{"s0":{}}})";
  asio::write(operators,
              asio::buffer(fmt::format(
                "POST /v1/patches?id=p0&base=0 HTTP/1.1\r\nHost: d00\r\n"
                "Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n{}",
                Fleet::kToken,
                patch.size(),
                patch)));
  fleet.Daemon("d00").Signal(SIGTERM);
  CHECK(ReadToEnd(operators).starts_with("HTTP/1.1 200 "));
  CHECK(fleet.Daemon("d00").Wait() == 0);
}
