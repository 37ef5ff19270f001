#include "platform_fleet.hpp"

#include <asio/ip/tcp.hpp>
#include <atomic>
#include <fmt/format.h>
#include <sstream>
#include <thread>

using namespace greengagehub;
using namespace greengagehub::testkit;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 64UL * 1024 * 1024;
/// Default of daemon.memory_mb.
constexpr std::uint64_t kMaxPeakKib = 256UL * 1024;
constexpr const char* kDeadlineMs = "10000";

/// A worker, and an instance from which its calls cross a link.
void
StartWithOtherInstance(Fleet& aFleet)
{
  aFleet.Add(
    { .m_slot = "lockers-1", .m_service = "lockers", .m_onPlatform = true });
  aFleet.Add({ .m_slot = "desk-1", .m_service = "desk", .m_onPlatform = true });
  Json document = Document("0000000c",
                           { Rule("release", "unsafe", "/release/"),
                             Rule("status", "safe", "/status/") },
                           kMaxBodyBytes);
  for (Json& each : document["listeners"][0]["rules"]) {
    each["action"]["timeout_ms"] = std::stoi(kDeadlineMs);
  }
  aFleet.PutPlatformConfig(document);
  WaitForLockers(aFleet);
}

std::vector<HttpHeader>
HeadersFor(const std::string& aId)
{
  return { { "Host", "a.example" },
           { "X-Greengagehub-Request-Id", aId },
           { "X-Greengagehub-Deadline-Ms", kDeadlineMs } };
}

/// \returns The status.
int
SendBody(const Fleet& aFleet,
         const std::string& aSlot,
         const std::string& aId,
         std::size_t aBytes)
{
  return aFleet
    .Call(
      aSlot, "POST", "/release/1", HeadersFor(aId), std::string(aBytes, 'x'))
    .Status();
}

double
Gauge(const Fleet& aFleet, const std::string& aSlot, const std::string& aName)
{
  std::istringstream metrics{ std::string{
    aFleet.CallOperatorsApi(aSlot, "GET", "/metrics")
      .m_result.m_response.m_body.View() } };
  for (std::string line; std::getline(metrics, line);) {
    if (line.starts_with("greengagehub_" + aName + " ")) {
      return std::stod(line.substr(line.rfind(' ')));
    }
  }
  return -1.0;
}

void
CheckMemory(Fleet& aFleet)
{
  for (const std::string& each : aFleet.Slots()) {
    CAPTURE(each);
    const auto peak = MemoryField(aFleet.Daemon(each), "VmHWM");
    MESSAGE(each << " used " << peak << " KiB at most");
    CHECK(peak <= kMaxPeakKib);
    CHECK(
      WaitUntil([&] { return Gauge(aFleet, each, "bodies_bytes") == 0.0; }));
  }
}

/// Sends bodies from several clients at once.
struct Burst
{
  std::atomic<int> m_answered{ 0 };
  /// Statuses that promise that the request has not run.
  std::atomic<int> m_notRun{ 0 };
  std::atomic<int> m_others{ 0 };

  void Send(const Fleet& aFleet,
            const std::string& aSlot,
            int aCount,
            std::size_t aBytes)
  {
    std::vector<std::thread> clients;
    clients.reserve(static_cast<std::size_t>(aCount));
    for (int i = 0; i < aCount; ++i) {
      clients.emplace_back([&, i] {
        const int status =
          SendBody(aFleet, aSlot, fmt::format("{}-{}", aSlot, i), aBytes);
        m_answered += status == 200 ? 1 : 0;
        m_notRun += status == 503 ? 1 : 0;
        m_others += status != 200 && status != 503 ? 1 : 0;
      });
    }
    for (std::thread& each : clients) {
      each.join();
    }
  }
};

/// A connection on which a request stops in the middle of its body.
class StalledRequest
{
public:
  StalledRequest(const Fleet& aFleet, const std::string& aSlot)
    : m_socket(m_loop)
  {
    constexpr std::size_t kBytes = 15'000'000;
    constexpr std::size_t kPieceBytes = 100'000;
    const std::string url = aFleet.CallsUrl(aSlot);
    const std::size_t colon = url.rfind(':');
    m_socket.connect(
      { asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(std::stoi(url.substr(colon + 1))) });
    std::string text =
      fmt::format("POST /release/1 HTTP/1.1\r\nHost: a.example\r\n"
                  "Content-Length: {}\r\n\r\n",
                  kBytes);
    text.append(kBytes / 2, 'x');
    // A daemon that does not read takes only part of it.
    m_socket.non_blocking(true);
    asio::error_code error;
    std::size_t sent = 0;
    while (sent < text.size() && !error) {
      const std::size_t size = std::min(kPieceBytes, text.size() - sent);
      sent +=
        m_socket.write_some(asio::buffer(text.data() + sent, size), error);
    }
  }

private:
  asio::io_context m_loop;
  tcp::socket m_socket;
};

}

TEST_CASE("a body within the operator's limit keeps a daemon in its memory")
{
  // Guards against a daemon that holds a body several times, and is killed for
  // its memory with all requests under way.
  Fleet fleet;
  StartWithOtherInstance(fleet);
  for (const std::string slot : { "lockers-1", "desk-1" }) {
    CAPTURE(slot);
    CHECK(SendBody(fleet, slot, slot + "-large", 66'000'000) == 200);
    CHECK(SendBody(fleet, slot, slot + "-limit", kMaxBodyBytes) == 200);
    CHECK(SendBody(fleet, slot, slot + "-above", kMaxBodyBytes + 1) == 413);
  }
  CheckMemory(fleet);
}

TEST_CASE("bodies of many requests together keep the daemons in their memory")
{
  // Guards against a limit for each request and none for all of them.
  Fleet fleet;
  StartWithOtherInstance(fleet);
  const auto [count, bytes] = std::pair<int, std::size_t>{ 40, 15'000'000 };
  for (const std::string slot : { "lockers-1", "desk-1" }) {
    CAPTURE(slot);
    Burst burst;
    burst.Send(fleet, slot, count, bytes);
    MESSAGE(slot << ": " << burst.m_answered.load() << " answered, "
                 << burst.m_notRun.load() << " not run");
    CHECK(burst.m_answered > 0);
    CHECK(burst.m_others == 0);
  }
  CheckMemory(fleet);
}

TEST_CASE("requests that stop in the middle of a body leave room for others")
{
  // Guards against bodies that are never completed and hold the memory.
  constexpr int kStalled = 60;
  Fleet fleet;
  StartWithOtherInstance(fleet);
  {
    std::vector<std::unique_ptr<StalledRequest>> stalled;
    stalled.reserve(kStalled);
    for (int i = 0; i < kStalled; ++i) {
      stalled.push_back(std::make_unique<StalledRequest>(fleet, "lockers-1"));
    }
    CHECK(
      SendRequest(fleet, "lockers-1", "GET", "/status/1", "small").Status() ==
      200);
    // Those that stall are given up for one that waits.
    CHECK(WaitUntil([&] {
      return SendBody(fleet, "lockers-1", "large", 66'000'000) == 200;
    }));
  }
  CheckMemory(fleet);
}
