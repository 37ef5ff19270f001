#pragma once

#include "greengagehub/core/byte_budget.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_message.hpp"
#include "greengagehub/http/response_fault.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace greengagehub {

struct BackendRequest
{
  std::string m_method{ "GET" };
  /// Path and query.
  std::string m_target{ "/" };
  std::vector<HttpHeader> m_headers{};
  Body m_body{};
  /// Response header that echoes the request, and its expected value. A
  /// response with another value is discarded. Not checked if the name is
  /// empty.
  std::string m_echoHeader{};
  std::string m_echoValue{};
  /// A request without a response by this time fails, and its connection is
  /// closed.
  TimePoint m_deadline{};
  /// Limit of the response's body, in bytes; 0: that of the client's settings.
  std::size_t m_maxBodyBytes{ 0 };
  /// Connections that were idle for longer are not reused, as the backend
  /// server may have closed them.
  std::chrono::milliseconds m_maxIdleTime{ std::chrono::seconds{ 5 } };
  /// Whether the request may be executed again if its response is ambiguous.
  bool m_isRepeatable{ true };
};

struct BackendResult
{
  enum class Kind : std::uint8_t
  {
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// Sent, at least in part; the response is missing, truncated or invalid.
    Lost,
    /// Sent, at least in part; no response by the deadline.
    TimedOut,
  };

  Kind m_kind{ Kind::NotSent };
  HttpResponse m_response{};
  /// Of a lost response, if it was received at least in part.
  ResponseFault m_fault{ ResponseFault::None };
  /// A reused connection was lost before any byte of a response; most likely
  /// the backend server had closed it while it was idle.
  bool m_wasStale{ false };
  /// The response names no request and came on a connection that had been used
  /// before: it may be an additional response to an earlier request.
  bool m_isAmbiguous{ false };
  /// The connection attempt was refused.
  bool m_refused{ false };
  /// The backend server closed or reset the connection after the send began.
  bool m_closed{ false };
  /// When the connection of a lost request was established.
  TimePoint m_connectedAt{};
};

struct BackendClientSettings
{
  asio::ip::tcp::endpoint m_address{};
  std::chrono::milliseconds m_connectTimeout{ 300 };
  std::size_t m_maxAnswerBytes{ 64UL * 1024 * 1024 };
  /// Maximum number of idle connections.
  std::size_t m_maxIdleConnections{ 100 };
  /// Holds the bodies of responses; nullptr: they have no common bound.
  ByteBudget::Pointer m_budget{};
};

/// \brief HTTP/1.1 client for one backend server, with persistent connections.
///
/// Each request is sent at most once. Bytes that follow a response close the
/// connection. A response that ends with its connection counts only if all of
/// the request was written: otherwise the connection may have been reset.
/// Interim responses and late responses to other requests are
/// discarded, up to a limit at which the request is lost: a faulty backend
/// server may send them without end. A response whose body does not fit the
/// budget is read no further until it does.
///
/// For some time after a response that names no request, requests that are not
/// repeatable get new connections: the first response on one cannot belong to
/// an earlier request.
class BackendClient
{
public:
  using Done = std::function<void(BackendResult)>;
  using Ticket = std::uint64_t;

  BackendClient(asio::io_context& aLoop, BackendClientSettings aSettings);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// \returns Number of connections, idle and in use.
  [[nodiscard]] std::size_t Connections() const noexcept;
  [[nodiscard]] std::uint64_t ConnectionAttempts() const noexcept;
  /// \brief Sets a limit of later responses whose length is announced, where it
  /// exceeds that of the settings.
  void SetMaxAnnouncedBytes(std::size_t aBytes) noexcept;

  /// \brief Sends a request; `aDone` is called once, from the loop.
  Ticket Send(BackendRequest aRequest, Done aDone);
  /// \brief Cancels a pending request without calling its `aDone`. Closes its
  /// connection, on which most backend servers stop processing the request.
  void Abandon(Ticket aTicket);
  /// \brief Limits the deadline of pending requests on connections opened
  /// before `aOpenedBefore` to `aUntil`; they then end as Lost. For use after
  /// the backend server has restarted: `aOpenedBefore` is the last time at
  /// which the former process was known to run.
  void ShortenDeadlines(TimePoint aOpenedBefore, TimePoint aUntil);
  void CloseIdle();

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}
