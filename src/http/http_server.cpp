#include "greengagehub/http/http_server.hpp"

#include "http_connection.hpp"
#include "listen.hpp"

#include <algorithm>
#include <asio/post.hpp>

namespace greengagehub {

using asio::ip::tcp;

namespace {

constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds{ 250 };
/// While the server finishes, so that idle connections end soon.
constexpr auto kFinishCheckInterval = std::chrono::milliseconds{ 50 };
constexpr auto kAcceptRetryInterval = std::chrono::milliseconds{ 50 };
/// Share of the connections that is kept free, so that a new one is not closed
/// before its first request arrives.
constexpr std::size_t kFreeConnectionsDivisor = 8;

}

std::string_view
NameOf(HttpConnectionState aState) noexcept
{
  switch (aState) {
    case HttpConnectionState::Idle:
      return "idle";
    case HttpConnectionState::Receiving:
      return "receiving";
    case HttpConnectionState::Handling:
      return "handling";
    case HttpConnectionState::Answering:
      return "answering";
    case HttpConnectionState::Lingering:
      return "lingering";
  }
  return "idle";
}

std::string_view
NameOf(HttpCloseCause aCause) noexcept
{
  switch (aCause) {
    case HttpCloseCause::Peer:
      return "peer";
    case HttpCloseCause::WriteFailed:
      return "write-failed";
    case HttpCloseCause::TimedOut:
      return "timed-out";
    case HttpCloseCause::Finished:
      return "finished";
    case HttpCloseCause::Displaced:
      return "displaced";
    case HttpCloseCause::Abandoned:
      return "abandoned";
  }
  return "peer";
}

void
HttpServer::Impl::Accept()
{
  if (m_isAccepting || m_isStopped) {
    return;
  }
  if (IsAtLimit()) {
    MakeRoomForNext();
    return;
  }
  m_isAccepting = true;
  m_acceptor.async_accept(
    [self = ImplPointer{ this }](const asio::error_code& aError,
                                 tcp::socket aSocket) {
      self->m_isAccepting = false;
      if (aError == asio::error::operation_aborted || self->m_isDestroyed) {
        return;
      }
      if (aError) {
        self->RetryAcceptLater();
        return;
      }
      self->AddConnection(std::move(aSocket));
      self->Accept();
    });
}

void
HttpServer::Impl::RetryAcceptLater()
{
  ++m_acceptCounts.m_failures;
  m_isAccepting = true;
  CloseOldestIdle();
  AcceptAfterPause(m_acceptTimer, m_isAccepting);
}

void
HttpServer::Impl::AcceptAfterPause(asio::steady_timer& aTimer, bool& aIsPaused)
{
  aTimer.expires_after(kAcceptRetryInterval);
  aTimer.async_wait(
    [self = ImplPointer{ this }, &aIsPaused](const asio::error_code& aError) {
      aIsPaused = false;
      if (!aError && !self->m_isDestroyed) {
        self->Accept();
      }
    });
}

void
HttpServer::Impl::MakeRoomForNext()
{
  if (m_isMakingRoom) {
    return;
  }
  m_isMakingRoom = true;
  m_acceptor.async_wait(
    tcp::acceptor::wait_read,
    [self = ImplPointer{ this }](const asio::error_code& aError) {
      if (aError || self->m_isDestroyed) {
        self->m_isMakingRoom = false;
        return;
      }
      if (self->IsAtLimit()) {
        self->CloseOldestIdle();
      }
      // If none is idle, one may become so.
      self->AcceptAfterPause(self->m_roomTimer, self->m_isMakingRoom);
    });
}

void
HttpServer::Impl::CloseOldestIdle()
{
  for (IdleHook& each : m_idleConnections) {
    auto& connection = static_cast<Connection&>(each);
    if (connection.IsIdle()) {
      // Posted behind reads that have completed.
      asio::post(m_loop,
                 [self = ImplPointer{ this }, oldest = Pointer{ &connection }] {
                   if (oldest->IsIdle()) {
                     ++self->m_acceptCounts.m_displaced;
                     oldest->Close(HttpCloseCause::Displaced);
                   }
                 });
      return;
    }
  }
}

void
HttpServer::Impl::AcceptPending()
{
  asio::error_code error;
  m_acceptor.cancel(error);
  m_acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket{ m_loop };
    m_acceptor.accept(socket, error);
    if (!error) {
      AddConnection(std::move(socket));
    }
  }
}

void
HttpServer::Impl::AddConnection(tcp::socket aSocket)
{
  // A connection accepted while the server stops may have sent a request, so it
  // is served and closed after the answer.
  const std::uint64_t id = ++m_lastConnection;
  const Pointer connection{ new Connection(*this, std::move(aSocket), id) };
  m_connections.emplace(id, connection);
  const std::size_t most = m_settings.m_maxConnections;
  if (m_connections.size() > most - most / kFreeConnectionsDivisor) {
    CloseOldestIdle();
  }
  connection->Start();
}

void
HttpServer::Impl::CheckTimeouts()
{
  m_timeoutTimer.expires_after(m_isFinishing ? kFinishCheckInterval
                                             : kTimeoutCheckInterval);
  m_timeoutTimer.async_wait(
    [self = ImplPointer{ this }](const asio::error_code& aError) {
      if (aError || self->m_isDestroyed) {
        return;
      }
      const auto now = Clock::now();
      const auto connections = self->m_connections;
      for (const auto& [id, connection] : connections) {
        connection->CheckTimeout(now);
        // The handler of closed connections may destroy the server.
        if (self->m_isDestroyed) {
          return;
        }
      }
      self->CheckTimeouts();
    });
}

HttpServer::HttpServer(asio::io_context& aLoop,
                       HttpServerSettings aSettings,
                       Handler aHandler,
                       ClosedHandler aClosed)
  : m_impl(new Impl{ aLoop })
{
  m_impl->m_settings = std::move(aSettings);
  m_impl->m_handler = std::move(aHandler);
  m_impl->m_closed = std::move(aClosed);
}

HttpServer::~HttpServer()
{
  m_impl->m_isDestroyed = true;
  m_impl->m_timeoutTimer.cancel();
  m_impl->m_acceptTimer.cancel();
  m_impl->m_roomTimer.cancel();
  StopAccepting();
  for (const auto& [id, connection] : m_impl->m_connections) {
    connection->Detach();
  }
  m_impl->m_connections.clear();
}

std::uint16_t
HttpServer::Port() const noexcept
{
  return m_impl->m_port;
}

Outcome<std::uint16_t>
HttpServer::Open()
{
  tcp::acceptor& acceptor = m_impl->m_acceptor;
  const HttpServerSettings& settings = m_impl->m_settings;
  asio::error_code error =
    Listen(acceptor, settings.m_address, settings.m_port);
  if (error) {
    return Error{ ErrorCode::Io, error.message() };
  }
  m_impl->m_port = acceptor.local_endpoint(error).port();
  m_impl->Accept();
  m_impl->CheckTimeouts();
  return m_impl->m_port;
}

void
HttpServer::UsePacer(LinkPacer& aPacer) noexcept
{
  m_impl->m_pacer = &aPacer;
}

void
HttpServer::UseBudget(ByteBudget::Pointer aBudget) noexcept
{
  m_impl->m_budget = std::move(aBudget);
}

void
HttpServer::ObserveCloses(CloseObserver aObserver)
{
  m_impl->m_closeObserver = std::move(aObserver);
}

void
HttpServer::SetLimits(HttpServerLimits aLimits)
{
  m_impl->m_settings.m_limits = aLimits;
}

void
HttpServer::SetMaxConnections(std::size_t aCount)
{
  m_impl->m_settings.m_maxConnections = aCount;
  m_impl->Accept();
}

const HttpAcceptCounts&
HttpServer::AcceptCounts() const noexcept
{
  return m_impl->m_acceptCounts;
}

void
HttpServer::CloseAfterAnswers() noexcept
{
  m_impl->m_closesAfterAnswers = true;
}

void
HttpServer::Finish()
{
  // Connections in the listen queue may have sent a request already.
  m_impl->AcceptPending();
  StopAccepting();
  const auto connections = m_impl->m_connections;
  for (const auto& [id, connection] : connections) {
    connection->Finish();
  }
  m_impl->m_isFinishing = true;
  m_impl->CheckTimeouts();
}

std::size_t
HttpServer::Busy() const noexcept
{
  const auto isBusy = [](const auto& aEach) { return aEach.second->IsBusy(); };
  return static_cast<std::size_t>(
    std::ranges::count_if(m_impl->m_connections, isBusy));
}

std::size_t
HttpServer::Connections() const noexcept
{
  return m_impl->m_connections.size();
}

bool
HttpServer::HasClientClosed(std::uint64_t aConnection) const
{
  const auto found = m_impl->m_connections.find(aConnection);
  return found == m_impl->m_connections.end() || found->second->HasPeerClosed();
}

HttpConnectionCounts
HttpServer::Counts() const
{
  HttpConnectionCounts counts;
  for (const auto& [id, connection] : m_impl->m_connections) {
    switch (connection->GetState()) {
      case HttpConnectionState::Idle:
        ++counts.m_idle;
        break;
      case HttpConnectionState::Receiving:
        ++counts.m_receiving;
        break;
      case HttpConnectionState::Handling:
        ++counts.m_handling;
        break;
      case HttpConnectionState::Answering:
        ++counts.m_answering;
        break;
      case HttpConnectionState::Lingering:
        ++counts.m_lingering;
        break;
    }
    counts.m_queues += connection->Queues();
  }
  return counts;
}

void
HttpServer::StopAccepting()
{
  m_impl->m_isStopped = true;
  asio::error_code ignored;
  m_impl->m_acceptor.close(ignored);
}

}
