#include "testkit/kept_connections.hpp"

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <charconv>
#include <fmt/format.h>
#include <thread>

namespace greengagehub::testkit {

using asio::ip::tcp;

namespace {

constexpr auto kReconnectInterval = std::chrono::milliseconds{ 20 };
/// Requests that are open at Stop() are given up after this time.
constexpr auto kStopTimeout = std::chrono::seconds{ 10 };
constexpr std::string_view kHeadEnd = "\r\n\r\n";
/// A request that has crossed the close of its connection was sent this long
/// before it at most.
constexpr auto kCrossingTime = std::chrono::milliseconds{ 200 };

/// \returns The value of a header in the text of a head; empty without it.
std::string
HeaderIn(std::string_view aHead, std::string_view aName)
{
  const std::string line = "\r\n" + std::string{ aName } + ": ";
  const std::size_t at = aHead.find(line);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view value = aHead.substr(at + line.size());
  return std::string{ value.substr(0, value.find("\r\n")) };
}

template<class Number>
Number
NumberIn(std::string_view aText)
{
  Number number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

}

std::vector<std::string>
DescribeLost(const std::vector<KeptRequest>& aRequests,
             const std::map<std::string, std::uint32_t>& aRuns,
             Duration aDeadline)
{
  constexpr std::uint16_t kServiceUnavailable = 503;
  std::vector<std::string> lost;
  for (const KeptRequest& each : aRequests) {
    const bool hasRun = aRuns.contains(each.m_id);
    const bool isCut =
      !each.IsAnswered() && (hasRun || each.Time() > kCrossingTime);
    const bool isReplaced = each.m_status >= kFirstServerError &&
                            each.m_status != kServiceUnavailable &&
                            !each.m_isSigned && hasRun &&
                            each.Time() < aDeadline * 7 / 10;
    if (isCut || isReplaced) {
      lost.push_back(fmt::format(
        "{}: {} after {} ms, status {}, {} bytes, {}",
        each.m_id,
        each.m_wasReset ? "reset" : "ended",
        std::chrono::duration_cast<std::chrono::milliseconds>(each.Time())
          .count(),
        each.m_status,
        each.m_receivedBytes,
        hasRun ? "had run" : "had not run"));
    }
  }
  return lost;
}

struct KeptConnections::Impl
{
  struct Client
  {
    explicit Client(asio::io_context& aLoop)
      : m_socket(aLoop)
      , m_timer(aLoop)
    {
    }
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    KeptRequest m_request{};
    std::string m_sent;
    std::string m_received;
    std::array<char, 4096> m_buffer{};
    bool m_isWaiting{ false };
  };

  explicit Impl(KeptConnectionsPlan aPlan)
    : m_plan(std::move(aPlan))
    , m_stopTimer(m_loop)
  {
    for (std::size_t i = 0; i < m_plan.m_clients; ++i) {
      m_clients.push_back(std::make_unique<Client>(m_loop));
      Connect(*m_clients.back());
    }
    m_thread = std::thread{ [this] { m_loop.run(); } };
  }

  void Connect(Client& aClient)
  {
    aClient.m_socket = tcp::socket{ m_loop };
    aClient.m_socket.async_connect(
      { asio::ip::address_v4::loopback(), m_plan.m_port },
      [this, &aClient](const asio::error_code& aError) {
        if (!aError) {
          Send(aClient);
        } else {
          ConnectLater(aClient);
        }
      });
  }

  void ConnectLater(Client& aClient)
  {
    asio::error_code ignored;
    aClient.m_socket.close(ignored);
    if (m_isStopping) {
      return;
    }
    aClient.m_timer.expires_after(kReconnectInterval);
    aClient.m_timer.async_wait([this, &aClient](const asio::error_code&) {
      if (!m_isStopping) {
        Connect(aClient);
      }
    });
  }

  void Send(Client& aClient)
  {
    if (m_isStopping) {
      return;
    }
    aClient.m_request = {};
    aClient.m_request.m_id = m_plan.m_prefix + std::to_string(++m_lastId);
    aClient.m_sent = m_plan.m_method + " " + m_plan.m_target + " HTTP/1.1\r\n";
    for (const HttpHeader& each : m_plan.m_headers) {
      aClient.m_sent += each.m_name + ": " + each.m_value + "\r\n";
    }
    aClient.m_sent +=
      m_plan.m_idHeader + ": " + aClient.m_request.m_id + "\r\n";
    aClient.m_sent +=
      m_plan.m_method == "GET" ? "\r\n" : "Content-Length: 0\r\n\r\n";
    aClient.m_received.clear();
    aClient.m_isWaiting = true;
    aClient.m_request.m_sentAt = Clock::now();
    // A failed write is noticed by the read.
    asio::async_write(aClient.m_socket,
                      asio::buffer(aClient.m_sent),
                      [](const asio::error_code&, std::size_t) {});
    Receive(aClient);
  }

  void Receive(Client& aClient)
  {
    aClient.m_socket.async_read_some(
      asio::buffer(aClient.m_buffer),
      [this, &aClient](const asio::error_code& aError, std::size_t aSize) {
        if (aError) {
          aClient.m_request.m_wasReset = aError != asio::error::eof;
          Record(aClient);
          ConnectLater(aClient);
          return;
        }
        aClient.m_received.append(aClient.m_buffer.data(), aSize);
        OnReceived(aClient);
      });
  }

  void OnReceived(Client& aClient)
  {
    const std::size_t headEnd = aClient.m_received.find(kHeadEnd);
    if (headEnd == std::string::npos) {
      Receive(aClient);
      return;
    }
    const std::string_view head{ aClient.m_received.data(), headEnd };
    const auto length = NumberIn<std::size_t>(HeaderIn(head, "Content-Length"));
    if (aClient.m_received.size() < headEnd + kHeadEnd.size() + length) {
      Receive(aClient);
      return;
    }
    constexpr std::size_t kStatusAt = 9;
    aClient.m_request.m_status =
      NumberIn<std::uint16_t>(head.substr(std::min(kStatusAt, head.size())));
    aClient.m_request.m_isSigned =
      !HeaderIn(head, "X-Greengagehub-Response-Seal").empty();
    const bool closes = HeaderIn(head, "Connection") == "close";
    Record(aClient);
    if (closes) {
      ConnectLater(aClient);
    } else {
      Send(aClient);
    }
  }

  void Record(Client& aClient)
  {
    aClient.m_isWaiting = false;
    aClient.m_request.m_endedAt = Clock::now();
    aClient.m_request.m_receivedBytes = aClient.m_received.size();
    m_answered += aClient.m_request.IsAnswered() ? 1 : 0;
    m_requests.push_back(std::move(aClient.m_request));
    StopWhenDone();
  }

  void StopWhenDone()
  {
    const auto isWaiting = [](const auto& aEach) { return aEach->m_isWaiting; };
    if (m_isStopping && std::ranges::none_of(m_clients, isWaiting)) {
      m_loop.stop();
    }
  }

  void Stop()
  {
    m_isStopping = true;
    m_stopTimer.expires_after(kStopTimeout);
    m_stopTimer.async_wait([this](const asio::error_code&) { m_loop.stop(); });
    StopWhenDone();
  }

  KeptConnectionsPlan m_plan;
  asio::io_context m_loop{ 1 };
  asio::steady_timer m_stopTimer;
  std::vector<std::unique_ptr<Client>> m_clients;
  std::vector<KeptRequest> m_requests;
  std::atomic<std::size_t> m_answered{ 0 };
  std::uint64_t m_lastId{ 0 };
  bool m_isStopping{ false };
  std::thread m_thread;
};

KeptConnections::KeptConnections(KeptConnectionsPlan aPlan)
  : m_impl(std::make_unique<Impl>(std::move(aPlan)))
{
}

KeptConnections::~KeptConnections()
{
  if (m_impl->m_thread.joinable()) {
    m_impl->m_loop.stop();
    m_impl->m_thread.join();
  }
}

std::size_t
KeptConnections::Answered() const noexcept
{
  return m_impl->m_answered;
}

std::vector<KeptRequest>
KeptConnections::Stop()
{
  asio::post(m_impl->m_loop, [impl = m_impl.get()] { impl->Stop(); });
  m_impl->m_thread.join();
  return std::move(m_impl->m_requests);
}

}
