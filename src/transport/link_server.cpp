#include "greengagehub/transport/link_server.hpp"

#include <algorithm>

#include <asio/ip/address.hpp>

namespace greengagehub {

using asio::ip::tcp;

namespace {

/// Three heartbeats of a peer.
constexpr auto kSilenceTimeout = std::chrono::milliseconds{ 1500 };
constexpr auto kAcceptRetryInterval = std::chrono::milliseconds{ 50 };
/// How long the last receipt of a process is stored after its link was closed.
constexpr auto kClosedRetention = std::chrono::seconds{ 10 };

}

LinkServer::LinkServer(asio::io_context& aLoop,
                       const std::string& aHost,
                       std::uint16_t aPort,
                       LinkHello aSelf,
                       TrafficMeter& aMeter,
                       Handlers aHandlers)
  : m_acceptor(aLoop, tcp::endpoint{ asio::ip::make_address(aHost), aPort })
  , m_acceptTimer(aLoop)
  , m_self(std::move(aSelf))
  , m_meter(aMeter)
  , m_handlers(std::move(aHandlers))
{
  Accept();
}

std::uint16_t
LinkServer::Port() const
{
  asio::error_code error;
  return m_acceptor.local_endpoint(error).port();
}

LinkConnection*
LinkServer::Find(std::uint64_t aProcess) const
{
  const auto found = m_currentByProcess.find(aProcess);
  return found == m_currentByProcess.end() ? nullptr : found->second.get();
}

void
LinkServer::Accept()
{
  m_acceptor.async_accept(
    [this](const asio::error_code& aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        RetryAcceptLater();
        return;
      }
      AddConnection(std::move(aSocket));
      Accept();
    });
}

void
LinkServer::RetryAcceptLater()
{
  ++m_acceptFailures;
  m_acceptTimer.expires_after(kAcceptRetryInterval);
  m_acceptTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError && m_acceptor.is_open()) {
      Accept();
    }
  });
}

void
LinkServer::AddConnection(tcp::socket aSocket)
{
  const LinkConnection::Pointer connection{ new LinkConnection(
    std::move(aSocket), m_meter, m_pacer) };
  connection->UseBudget(m_budget);
  m_connections.insert(connection);
  connection->Start(
    [this](LinkConnection& aConnection, LinkFrame aFrame) {
      OnFrame(aConnection, std::move(aFrame));
    },
    [this](LinkConnection& aConnection) { OnClosed(aConnection); },
    [this](LinkConnection& aConnection, std::size_t aBytes) {
      StartHeldAttempts(aConnection, aBytes);
    });
}

void
LinkServer::OnClosed(LinkConnection& aConnection)
{
  if (m_handlers.m_onClosed) {
    m_handlers.m_onClosed(aConnection);
  }
  const std::uint64_t process = aConnection.m_peer.m_process;
  const auto current = m_currentByProcess.find(process);
  if (current != m_currentByProcess.end() &&
      current->second.get() == &aConnection) {
    m_currentByProcess.erase(current);
    std::erase_if(m_lastReceived, [now = Clock::now()](const auto& aEach) {
      return now - aEach.second > kClosedRetention;
    });
    m_lastReceived[process] = aConnection.LastReceived();
  }
  m_connections.erase(LinkConnection::Pointer{ &aConnection });
}

std::optional<TimePoint>
LinkServer::LastReceived(std::uint64_t aProcess) const
{
  if (const LinkConnection* current = Find(aProcess)) {
    return current->LastReceived();
  }
  const auto closed = m_lastReceived.find(aProcess);
  return closed == m_lastReceived.end() ? std::nullopt
                                        : std::optional{ closed->second };
}

void
LinkServer::OnHello(LinkConnection& aConnection, const LinkHello& aHello)
{
  LinkHello answer = m_self;
  answer.m_epoch = aHello.m_epoch;
  if (!aHello.m_callee.empty() && aHello.m_callee != m_self.m_slot) {
    // The caller closes the connection when it learns who has the address.
    aConnection.Send(answer);
    return;
  }
  const auto older = m_currentByProcess.find(aHello.m_process);
  if (older != m_currentByProcess.end()) {
    if (older->second->m_peer.m_epoch >= aHello.m_epoch) {
      // A delayed hello; a newer connection is already open.
      aConnection.Close();
      return;
    }
    older->second->Close();
  }
  aConnection.m_peer = aHello;
  aConnection.SetTakesParts(aHello.m_takesParts);
  aConnection.m_helloReceived = true;
  m_currentByProcess[aHello.m_process] =
    LinkConnection::Pointer{ &aConnection };
  m_handlers.m_onNewEpoch(aHello.m_process, aHello.m_epoch);
  aConnection.Send(answer);
  if (aHello.m_domain != m_self.m_domain) {
    aConnection.SetCrossesDomains();
  }
}

void
LinkServer::OnFrame(LinkConnection& aConnection, LinkFrame aFrame)
{
  if (const auto* hello = std::get_if<LinkHello>(&aFrame)) {
    OnHello(aConnection, *hello);
    return;
  }
  if (!aConnection.m_helloReceived) {
    aConnection.Close();
    return;
  }
  if (const auto* ping = std::get_if<LinkPing>(&aFrame)) {
    aConnection.Send(LinkPong{ ping->m_number });
    return;
  }
  if (auto* attempt = std::get_if<CallRequest>(&aFrame)) {
    aConnection.m_heldAttempts.Add(std::move(*attempt));
    return;
  }
  if (const auto* cancel = std::get_if<LinkCancel>(&aFrame)) {
    aConnection.m_heldAttempts.Remove(cancel->m_call);
  }
  m_handlers.m_onFrame(aConnection, std::move(aFrame));
}

void
LinkServer::StartHeldAttempts(LinkConnection& aConnection, std::size_t aBytes)
{
  HeldAttempts& held = aConnection.m_heldAttempts;
  held.RecordRead(aBytes);
  if (held.IsEmpty()) {
    return;
  }
  const PendingInput unread = aConnection.Unread();
  if (unread == PendingInput::Bytes && !held.IsFull()) {
    return;
  }
  std::vector<CallRequest> attempts = held.TakeAll();
  if (unread == PendingInput::End) {
    return;
  }
  for (CallRequest& each : attempts) {
    m_handlers.m_onFrame(aConnection, std::move(each));
  }
}

bool
LinkServer::HasUnsent() const
{
  return std::any_of(m_connections.begin(),
                     m_connections.end(),
                     [](const auto& aEach) { return aEach->HasUnsent(); });
}

bool
LinkServer::HasLivePeers(TimePoint aNow) const
{
  return std::any_of(
    m_connections.begin(), m_connections.end(), [&](const auto& aEach) {
      return aEach->IsOpen() && aNow - aEach->LastReceived() < kSilenceTimeout;
    });
}

LinkCounts
LinkServer::Counts() const
{
  LinkCounts counts;
  for (const auto& each : m_connections) {
    each->AddTo(counts);
  }
  return counts;
}

void
LinkServer::Broadcast(const LinkFrame& aFrame)
{
  for (const auto& each : m_connections) {
    if (each->m_helloReceived) {
      each->Send(aFrame);
    }
  }
}

void
LinkServer::StopAccepting()
{
  asio::error_code ignored;
  m_acceptor.close(ignored);
}

void
LinkServer::Finish()
{
  StopAccepting();
  for (const auto& each : m_connections) {
    each->Finish();
  }
}

void
LinkServer::CloseAll()
{
  for (const auto& each : m_connections) {
    each->Close();
  }
}

}
