#pragma once

#include "message_parser.hpp"

#include "greengagehub/http/http_server.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>

namespace greengagehub {

// Limits and state that an HTTP server shares with its connections.

inline constexpr std::size_t kHttpReadBytes = 8UL * 1024;
/// Limit of pipelined bytes buffered per connection.
inline constexpr std::size_t kMaxHttpReadAhead = 16UL * 1024;
/// Time for the client to close after the end of the output; further input is
/// discarded. Closing with unread bytes would reset the connection, and the
/// client could lose the answer.
inline constexpr auto kHttpLingerTime = std::chrono::milliseconds{ 1000 };
/// Longest time for which a client may go on sending a refused body.
inline constexpr auto kHttpDiscardTime = std::chrono::milliseconds{ 10'000 };
/// Longest wait of a body for room. Clients give up requests that are not read
/// after a second.
inline constexpr auto kHttpRoomWait = std::chrono::milliseconds{ 500 };
/// Heads up to this size are not counted.
inline constexpr std::size_t kUncountedHeadBytes = 2UL * 1024;
inline constexpr auto kHttpWriteTimeout = std::chrono::seconds{ 60 };

/// \returns The HTTP status for a request that the parser does not accept.
[[nodiscard]] constexpr std::uint16_t
RefusalStatusOf(MessageParser::Status aStatus) noexcept
{
  constexpr std::uint16_t kBadRequest = 400;
  constexpr std::uint16_t kBodyTooLarge = 413;
  constexpr std::uint16_t kHeadTooLarge = 431;
  switch (aStatus) {
    case MessageParser::Status::HeadTooLarge:
      return kHeadTooLarge;
    case MessageParser::Status::BodyTooLarge:
      return kBodyTooLarge;
    default:
      return kBadRequest;
  }
}

struct HttpServer::Impl
  : public boost::intrusive_ref_counter<Impl, boost::thread_unsafe_counter>
{
  class Connection;
  using Pointer = boost::intrusive_ptr<Connection>;
  /// Base of connections, which are linked while they are idle.
  using IdleHook = boost::intrusive::list_base_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;
  using IdleList =
    boost::intrusive::list<IdleHook,
                           boost::intrusive::constant_time_size<false>>;
  using ImplPointer = boost::intrusive_ptr<Impl>;

  explicit Impl(asio::io_context& aLoop)
    : m_loop(aLoop)
    , m_acceptor(aLoop)
    , m_acceptTimer(aLoop)
    , m_roomTimer(aLoop)
    , m_timeoutTimer(aLoop)
  {
  }

  /// Accepts the next connection; at the limit, once there is room.
  void Accept();
  [[nodiscard]] bool IsAtLimit() const noexcept
  {
    return m_connections.size() >= m_settings.m_maxConnections;
  }
  /// Closes an idle connection when another one waits in the listen queue.
  void MakeRoomForNext();
  /// A failure, such as a lack of descriptors, would repeat at once.
  void RetryAcceptLater();
  /// \param aIsPaused member of this server; cleared after the pause.
  void AcceptAfterPause(asio::steady_timer& aTimer, bool& aIsPaused);
  /// Closes the connection that has been idle for longest, if any.
  void CloseOldestIdle();
  /// Accepts the connections in the listen queue without waiting for more.
  void AcceptPending();
  void AddConnection(asio::ip::tcp::socket aSocket);
  void CheckTimeouts();
  /// A body has the idle timeout in addition to the head timeout.
  [[nodiscard]] Duration BodyTimeout() const noexcept
  {
    return m_settings.m_limits.m_headTimeout +
           m_settings.m_limits.m_idleTimeout;
  }
  /// \returns Whether bodies wait for room.
  [[nodiscard]] bool IsRoomScarce() const noexcept
  {
    return m_budget && m_budget->HasWaiters();
  }

  asio::io_context& m_loop;
  HttpServerSettings m_settings;
  LinkPacer* m_pacer{ nullptr };
  ByteBudget::Pointer m_budget;
  Handler m_handler;
  ClosedHandler m_closed;
  CloseObserver m_closeObserver;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_acceptTimer;
  asio::steady_timer m_roomTimer;
  asio::steady_timer m_timeoutTimer;
  std::map<std::uint64_t, Pointer> m_connections;
  /// In the order in which they became idle.
  IdleList m_idleConnections;
  HttpAcceptCounts m_acceptCounts;
  std::uint64_t m_lastConnection{ 0 };
  std::uint16_t m_port{ 0 };
  bool m_isAccepting{ false };
  bool m_isMakingRoom{ false };
  bool m_isStopped{ false };
  bool m_closesAfterAnswers{ false };
  bool m_isFinishing{ false };
  /// Set by the destructor of the server; a cancelled operation that had
  /// completed before still calls its handler without an error.
  bool m_isDestroyed{ false };
};

}
