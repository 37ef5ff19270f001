#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

/// \file
/// \brief Stand-in for a worker that follows PROTOCOL.md, with two faults.
///
/// From PUT /fault/on to PUT /fault/off it sends an additional response after
/// some of its answers, late: at the point where the next response on the
/// connection is expected. It is the response that the pages show for a worker
/// that sheds; it belongs to no request and has no id. A request whose target
/// is CRASH_TARGET ends the process soon after it has begun to run.
///
/// Every request that it begins to run is written to standard output with the
/// time in Unix milliseconds.
///
/// Arguments: HOST PORT SERVICE ZONE SLOTS SERVICE_MS HEARTBEATS_PORT ID
/// ANSWERS_PER_EXTRA [CRASH_TARGET]

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr const char* kExtraResponse = "HTTP/1.1 503 Service Unavailable\r\n"
                                       "X-Greengagehub-Not-Executed: 1\r\n"
                                       "Content-Length: 0\r\n\r\n";
constexpr Milliseconds kHeartbeatPeriod{ 1500 };
constexpr Milliseconds kTimeToCrash{ 20 };
constexpr int kQueueFactor = 4;

struct Options
{
  std::string m_host;
  std::uint16_t m_port{ 0 };
  std::string m_service;
  std::string m_zone;
  int m_slots{ 0 };
  Milliseconds m_serviceTime{ 0 };
  std::uint16_t m_heartbeatsPort{ 0 };
  std::string m_id;
  int m_answersPerExtra{ 0 };
  /// Target of the requests that crash the worker; empty: none.
  std::string m_crashTarget;
};

struct Request
{
  std::string m_method;
  std::string m_target;
  std::map<std::string, std::string> m_headers;

  [[nodiscard]] std::string Header(const std::string& aName) const
  {
    const auto found = m_headers.find(aName);
    return found == m_headers.end() ? std::string{} : found->second;
  }
};

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
ToLower(std::string aText)
{
  for (char& each : aText) {
    each =
      each >= 'A' && each <= 'Z' ? static_cast<char>(each - 'A' + 'a') : each;
  }
  return aText;
}

sockaddr_in
AddressOf(const std::string& aHost, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

bool
SendAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/// Reads requests with a length or without a body from one connection.
class RequestReader
{
public:
  explicit RequestReader(int aSocket)
    : m_socket(aSocket)
  {
  }

  /// \returns Nothing at the end of the connection.
  std::optional<Request> Next()
  {
    std::size_t headEnd = std::string::npos;
    while ((headEnd = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive()) {
        return std::nullopt;
      }
    }
    Request request = ParseHead(m_buffer.substr(0, headEnd + 2));
    m_buffer.erase(0, headEnd + 4);
    const std::string length = request.Header("content-length");
    const std::size_t bodySize =
      length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (m_buffer.size() < bodySize) {
      if (!Receive()) {
        return std::nullopt;
      }
    }
    m_buffer.erase(0, bodySize);
    return request;
  }

private:
  bool Receive()
  {
    char chunk[4096];
    const ssize_t count = recv(m_socket, chunk, sizeof(chunk), 0);
    if (count <= 0) {
      return false;
    }
    m_buffer.append(chunk, static_cast<std::size_t>(count));
    return true;
  }

  static Request ParseHead(const std::string& aHead)
  {
    Request request;
    std::size_t lineEnd = aHead.find("\r\n");
    const std::string first = aHead.substr(0, lineEnd);
    const std::size_t space = first.find(' ');
    request.m_method = first.substr(0, space);
    request.m_target = first.substr(space + 1, first.rfind(' ') - space - 1);
    std::size_t at = lineEnd + 2;
    while (at < aHead.size()) {
      lineEnd = aHead.find("\r\n", at);
      const std::string line = aHead.substr(at, lineEnd - at);
      const std::size_t colon = line.find(':');
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      request.m_headers[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? std::string{} : line.substr(value);
      at = lineEnd + 2;
    }
    return request;
  }

  int m_socket;
  std::string m_buffer;
};

class Worker
{
public:
  explicit Worker(Options aOptions)
    : m_options(std::move(aOptions))
  {
  }

  int Run()
  {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const sockaddr_in address = AddressOf(m_options.m_host, m_options.m_port);
    const bool isBound = bind(listener,
                              reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address)) == 0;
    if (!isBound || listen(listener, 128) != 0) {
      std::perror("listen");
      return 1;
    }
    std::fprintf(stderr, "listening\n");
    std::thread{ [this] { SendHeartbeats(); } }.detach();
    while (true) {
      const int connection = accept(listener, nullptr, nullptr);
      if (connection >= 0) {
        setsockopt(
          connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        std::thread{ [this, connection] { Serve(connection); } }.detach();
      }
    }
  }

private:
  void Serve(int aConnection)
  {
    RequestReader reader{ aConnection };
    bool hasExtra = false;
    while (const auto request = reader.Next()) {
      const bool isLast = ToLower(request->Header("connection")) == "close";
      if (!Answer(aConnection, *request, hasExtra) || isLast) {
        break;
      }
    }
    close(aConnection);
  }

  /// \returns Whether the connection can be used again.
  bool Answer(int aConnection, const Request& aRequest, bool& aHasExtra)
  {
    const std::string instance =
      "X-Greengagehub-Instance-Id: " + m_options.m_id;
    if (aRequest.m_method == "PUT" && aRequest.m_target == "/fault/on") {
      m_isFaulty = true;
      return Respond(aConnection, "200 OK", {}, {});
    }
    if (aRequest.m_method == "PUT" && aRequest.m_target == "/fault/off") {
      m_isFaulty = false;
      return Respond(aConnection, "200 OK", {}, {});
    }
    if (aRequest.m_target == "/healthz") {
      return Respond(aConnection, "200 OK", instance + "\r\n", {});
    }
    const std::string id = aRequest.Header("x-greengagehub-request-id");
    const std::string echo = "X-Greengagehub-Request-Id: " + id + "\r\n";
    const std::string expected =
      aRequest.Header("x-greengagehub-expect-instance");
    if (!expected.empty() && expected != m_options.m_id) {
      return Respond(
        aConnection, "421 Misdirected Request", echo + instance + "\r\n", {});
    }
    if (!Enter()) {
      return Respond(aConnection,
                     "503 Service Unavailable",
                     echo + "X-Greengagehub-Not-Executed: 1\r\n",
                     {});
    }
    std::printf("%lld ran %s\n", static_cast<long long>(NowMs()), id.c_str());
    std::fflush(stdout);
    if (aRequest.m_target == m_options.m_crashTarget) {
      std::this_thread::sleep_for(kTimeToCrash);
      std::_Exit(1);
    }
    if (std::exchange(aHasExtra, false)) {
      std::printf("%lld sent an additional response while %s runs\n",
                  static_cast<long long>(NowMs()),
                  id.c_str());
      std::fflush(stdout);
      SendAll(aConnection, kExtraResponse);
    }
    std::this_thread::sleep_for(m_options.m_serviceTime);
    Leave();
    const bool isAnswered =
      Respond(aConnection,
              "200 OK",
              echo + "X-Greengagehub-Response-Seal: seal-" + id + "\r\n",
              "done " + id);
    const std::uint64_t answers = ++m_answers;
    if (m_isFaulty &&
        answers % static_cast<std::uint64_t>(m_options.m_answersPerExtra) ==
          0) {
      aHasExtra = true;
    }
    return isAnswered;
  }

  static bool Respond(int aConnection,
                      const std::string& aStatus,
                      const std::string& aHeaders,
                      const std::string& aBody)
  {
    return SendAll(aConnection,
                   "HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
                     "Content-Length: " + std::to_string(aBody.size()) +
                     "\r\n\r\n" + aBody);
  }

  /// Takes a slot, or waits for one in the queue. \returns Whether there was
  /// room.
  bool Enter()
  {
    std::unique_lock<std::mutex> lock{ m_mutex };
    if (m_inside >= m_options.m_slots * (1 + kQueueFactor)) {
      return false;
    }
    ++m_inside;
    m_freed.wait(lock, [this] { return m_running < m_options.m_slots; });
    ++m_running;
    return true;
  }

  void Leave()
  {
    const std::lock_guard<std::mutex> lock{ m_mutex };
    --m_running;
    --m_inside;
    m_freed.notify_one();
  }

  void SendHeartbeats()
  {
    const std::int64_t born = NowMs();
    for (std::uint64_t sequence = 1;; ++sequence) {
      SendHeartbeat(born, sequence);
      std::this_thread::sleep_for(kHeartbeatPeriod);
    }
  }

  void SendHeartbeat(std::int64_t aBorn, std::uint64_t aSequence) const
  {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{ 1, 0 };
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    const sockaddr_in address =
      AddressOf(m_options.m_host, m_options.m_heartbeatsPort);
    const bool isConnected =
      connect(connection,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) == 0;
    if (isConnected) {
      const std::string body =
        R"({"service":")" + m_options.m_service + R"(","address":")" +
        m_options.m_host + ":" + std::to_string(m_options.m_port) +
        R"(","zone":")" + m_options.m_zone + R"(","version":"v1","slots":)" +
        std::to_string(m_options.m_slots) +
        R"(,"state":"ready","cold_left_ms":0,"seq":)" +
        std::to_string(aSequence) + R"(,"born":)" + std::to_string(aBorn) + "}";
      SendAll(connection,
              "PUT /instances/" + m_options.m_id +
                " HTTP/1.1\r\nHost: daemon\r\nConnection: close\r\n"
                "Content-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
      char ignored[1024];
      while (recv(connection, ignored, sizeof(ignored), 0) > 0) {
      }
    }
    close(connection);
  }

  Options m_options;
  std::mutex m_mutex;
  std::condition_variable m_freed;
  int m_running{ 0 };
  int m_inside{ 0 };
  std::atomic<bool> m_isFaulty{ false };
  std::atomic<std::uint64_t> m_answers{ 0 };
};

}

int
main(int aCount, char** aArguments)
{
  if (aCount != 10 && aCount != 11) {
    std::fprintf(stderr, "expected 9 or 10 arguments, see the source\n");
    return 2;
  }
  Options options;
  options.m_host = aArguments[1];
  options.m_port = static_cast<std::uint16_t>(std::atoi(aArguments[2]));
  options.m_service = aArguments[3];
  options.m_zone = aArguments[4];
  options.m_slots = std::atoi(aArguments[5]);
  options.m_serviceTime = Milliseconds{ std::atoi(aArguments[6]) };
  options.m_heartbeatsPort =
    static_cast<std::uint16_t>(std::atoi(aArguments[7]));
  options.m_id = aArguments[8];
  options.m_answersPerExtra = std::atoi(aArguments[9]);
  options.m_crashTarget = aCount == 11 ? aArguments[10] : "";
  Worker worker{ std::move(options) };
  return worker.Run();
}
