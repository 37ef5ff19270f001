#pragma once

#include "greengagehub/core/byte_budget.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/link_pacer.hpp"
#include "greengagehub/core/outcome.hpp"
#include "greengagehub/http/http_message.hpp"
#include "greengagehub/net/socket_queues.hpp"

#include <asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string_view>

namespace greengagehub {

/// \brief Sends the answer to one request.
///
/// May be stored and used later on the thread of the loop. Without an answer
/// the connection stays open until the client closes it or m_handlerTimeout
/// expires.
class HttpResponder
{
public:
  using Send = std::function<void(HttpResponse, bool aClose)>;

  explicit HttpResponder(Send aSend)
    : m_send(std::move(aSend))
  {
  }
  void Answer(HttpResponse aResponse, bool aClose = false)
  {
    m_send(std::move(aResponse), aClose);
  }

private:
  Send m_send;
};

struct HttpServerLimits
{
  /// Larger heads are answered with status 431.
  std::size_t m_maxHeadBytes{ 64UL * 1024 };
  /// Larger bodies are answered with status 413, as are bodies that the budget
  /// cannot hold at all.
  std::size_t m_maxBodyBytes{ 1024UL * 1024 };
  /// Maximum time to receive a head; exceeding it is answered with status 408.
  std::chrono::milliseconds m_headTimeout{ std::chrono::seconds{ 10 } };
  /// Connections without a request are closed after this time.
  std::chrono::milliseconds m_idleTimeout{ std::chrono::seconds{ 60 } };
};

struct HttpServerSettings
{
  std::string m_address{ "127.0.0.1" };
  /// 0 picks a free port.
  std::uint16_t m_port{ 0 };
  HttpServerLimits m_limits{};
  /// Connections whose request is not answered are closed after this time; must
  /// exceed the request timeouts of the handler.
  std::chrono::milliseconds m_handlerTimeout{ std::chrono::hours{ 24 } };
  /// Near this number, the connections that have been idle for longest are
  /// closed; at it, others wait to be accepted.
  std::size_t m_maxConnections{ std::numeric_limits<std::size_t>::max() };
  /// Discards a request whose client has closed the connection by the time it
  /// is read, as the answer would not be received. A client that only ends its
  /// output counts as closed.
  bool m_discardsAbandoned{ false };
};

enum class HttpConnectionState : std::uint8_t
{
  Idle,
  Receiving,
  Handling,
  Answering,
  /// The last answer was sent; further input is discarded.
  Lingering,
};

/// \returns The name used in logs and metrics, such as "handling".
[[nodiscard]] std::string_view
NameOf(HttpConnectionState aState) noexcept;

enum class HttpCloseCause : std::uint8_t
{
  /// The client closed or reset the connection.
  Peer,
  WriteFailed,
  TimedOut,
  /// Finish() was called.
  Finished,
  /// It was idle and made room for a new connection.
  Displaced,
  /// The client had closed the connection before its request was read; see
  /// HttpServerSettings::m_discardsAbandoned.
  Abandoned,
};

/// \returns The name used in logs and metrics, such as "timed-out".
[[nodiscard]] std::string_view
NameOf(HttpCloseCause aCause) noexcept;

/// \brief A connection at the moment of its close.
struct HttpConnectionClose
{
  HttpConnectionState m_state{ HttpConnectionState::Idle };
  HttpCloseCause m_cause{ HttpCloseCause::Peer };
  SocketQueues m_queues{};
  /// Requests that were read completely.
  std::uint64_t m_requests{ 0 };
  /// Time in the state.
  Duration m_age{ 0 };
  /// Of an abandoned request: how long its last bytes waited to be read; empty
  /// if unknown.
  std::optional<std::chrono::milliseconds> m_unreadFor{};
};

/// \brief The open connections of a server, counted by state.
struct HttpConnectionCounts
{
  std::size_t m_idle{ 0 };
  std::size_t m_receiving{ 0 };
  std::size_t m_handling{ 0 };
  std::size_t m_answering{ 0 };
  std::size_t m_lingering{ 0 };
  SocketQueues m_queues{};
};

/// \brief Since the start of a server.
struct HttpAcceptCounts
{
  /// Connections that could not be accepted, as when descriptors run out.
  std::uint64_t m_failures{ 0 };
  /// Idle connections closed in favour of new ones.
  std::uint64_t m_displaced{ 0 };
};

/// \brief HTTP/1.1 server on the caller's event loop.
///
/// The server keeps reading while a request is handled, to detect a client that
/// disconnects. The requests of a connection are passed to the handler one at a
/// time, in order.
class HttpServer
{
public:
  using Handler = std::function<void(HttpRequest, HttpResponder)>;
  /// Called when a connection closes while its request is handled.
  using ClosedHandler = std::function<void(std::uint64_t aConnection)>;
  using CloseObserver = std::function<void(const HttpConnectionClose&)>;

  HttpServer(asio::io_context& aLoop,
             HttpServerSettings aSettings,
             Handler aHandler,
             ClosedHandler aClosed = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// 0 before Open().
  [[nodiscard]] std::uint16_t Port() const noexcept;

  /// \returns The port, or ErrorCode::Io.
  [[nodiscard]] Outcome<std::uint16_t> Open();
  /// \brief Counts and paces answers to clients on other instances.
  void UsePacer(LinkPacer& aPacer) noexcept;
  /// \brief Sets what holds the bodies of requests, and long heads. A body that
  /// does not fit waits unread for a short time, then gets status 503.
  void UseBudget(ByteBudget::Pointer aBudget) noexcept;
  /// \brief Reports the close of each connection.
  void ObserveCloses(CloseObserver aObserver);
  /// \brief Changes the limits, also for open connections.
  void SetLimits(HttpServerLimits aLimits);
  /// \brief Changes HttpServerSettings::m_maxConnections.
  void SetMaxConnections(std::size_t aCount);
  [[nodiscard]] const HttpAcceptCounts& AcceptCounts() const noexcept;
  /// \brief Closes each connection after its next answer; others are still
  /// accepted.
  void CloseAfterAnswers() noexcept;
  /// \brief Stops accepting connections; each open one closes after its next
  /// answer.
  void StopAccepting();
  /// \brief Stops accepting connections and closes the open ones: idle ones
  /// once everything that has arrived is read, busy ones after the answer to
  /// their current request. The client closes last.
  void Finish();
  /// \returns Number of connections that receive, handle or answer a request;
  /// after Finish(), of those whose output has not ended.
  [[nodiscard]] std::size_t Busy() const noexcept;
  [[nodiscard]] HttpConnectionCounts Counts() const;
  /// \returns Number of connections that the client has not closed.
  [[nodiscard]] std::size_t Connections() const noexcept;
  /// \returns Whether the client has closed the connection, also if that is
  /// not read yet.
  [[nodiscard]] bool HasClientClosed(std::uint64_t aConnection) const;

private:
  struct Impl;
  /// Shared with the handlers that are waiting in the loop.
  boost::intrusive_ptr<Impl> m_impl;
};

}
