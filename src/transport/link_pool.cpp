#include "greengagehub/transport/link_pool.hpp"

#include "greengagehub/transport/unconfirmed_cancels.hpp"

#include <asio/ip/address.hpp>
#include <asio/post.hpp>

namespace greengagehub {

using asio::ip::tcp;

struct LinkPool::Link
{
  std::string m_slot;
  MemberAddress m_address;
  LinkConnection::Pointer m_connection;
  std::unique_ptr<tcp::socket> m_connectingSocket;
  std::uint64_t m_epoch{ 0 };
  std::uint64_t m_process{ 0 };
  /// Connected, and the hello of the peer was received.
  bool m_isReady{ false };
  std::vector<LinkFrame> m_pendingFrames;
  /// Sent to m_process, or to be sent to it.
  UnconfirmedCancels m_cancels;
  TimePoint m_connectStartedAt{};
  TimePoint m_lastUsedAt{};
  TimePoint m_lastPingAt{};
  /// Set after a loss: end of the reconnect attempts.
  std::optional<TimePoint> m_reconnectUntil;
  TimePoint m_nextReconnectAt{};
};

std::string_view
NameOf(CancelDelivery aDelivery) noexcept
{
  switch (aDelivery) {
    case CancelDelivery::Sent:
      return "sent";
    case CancelDelivery::Withdrawn:
      return "withdrawn";
    case CancelDelivery::Kept:
      return "kept";
    case CancelDelivery::Resent:
      return "resent";
    case CancelDelivery::Unsent:
      return "unsent";
  }
  return "unsent";
}

LinkPool::LinkPool(asio::io_context& aLoop,
                   LinkHello aSelf,
                   LinkPoolSettings aSettings,
                   TrafficMeter& aMeter,
                   Handlers aHandlers)
  : m_loop(aLoop)
  , m_self(std::move(aSelf))
  , m_settings(aSettings)
  , m_meter(aMeter)
  , m_handlers(std::move(aHandlers))
{
}

LinkPool::~LinkPool() = default;

LinkCounts
LinkPool::Counts() const
{
  LinkCounts counts;
  for (const auto& [slot, link] : m_links) {
    if (link->m_connection) {
      link->m_connection->AddTo(counts);
    }
  }
  return counts;
}

void
LinkPool::Write(Link& aLink, const LinkFrame& aFrame)
{
  if (const auto* request = std::get_if<CallRequest>(&aFrame)) {
    if (!aLink.m_connection->CanSend(aFrame)) {
      m_handlers.m_onSendFailed(request->m_call);
      return;
    }
    m_handlers.m_onSent(request->m_call, aLink.m_process);
  }
  aLink.m_connection->Send(aFrame);
}

void
LinkPool::Send(const std::string& aSlot,
               const MemberAddress& aAddress,
               LinkFrame aFrame)
{
  LinkPtr& link = m_links[aSlot];
  if (link && !(link->m_address == aAddress)) {
    // A new address means a new process; pending calls to the old one are
    // lost with its connection.
    if (link->m_connection) {
      link->m_connection->Close();
    }
    FailPendingFrames(link);
    link = nullptr;
  }
  if (!link) {
    link = std::make_shared<Link>();
    link->m_slot = aSlot;
    link->m_address = aAddress;
  }
  link->m_lastUsedAt = Clock::now();
  if (m_isFinished) {
    link->m_pendingFrames.push_back(std::move(aFrame));
    FailPendingFrames(link);
    return;
  }
  if (link->m_isReady) {
    Write(*link, aFrame);
    return;
  }
  link->m_pendingFrames.push_back(std::move(aFrame));
  if (!link->m_connectingSocket && !link->m_connection) {
    Connect(link);
  }
}

CancelDelivery
LinkPool::Cancel(const std::string& aSlot,
                 const LinkCancel& aCancel,
                 TimePoint aUntil)
{
  const auto found = m_links.find(aSlot);
  if (found == m_links.end()) {
    return CancelDelivery::Unsent;
  }
  Link& link = *found->second;
  const TimePoint now = Clock::now();
  if (link.m_isReady) {
    link.m_connection->Send(aCancel);
    if (aCancel.m_abandon) {
      link.m_cancels.Add(now, aCancel.m_call, aUntil);
    }
    return CancelDelivery::Sent;
  }
  const std::size_t withdrawn =
    std::erase_if(link.m_pendingFrames, [&aCancel](const LinkFrame& aEach) {
      const auto* request = std::get_if<CallRequest>(&aEach);
      return request != nullptr && request->m_call == aCancel.m_call;
    });
  if (withdrawn > 0) {
    return CancelDelivery::Withdrawn;
  }
  const bool isKept =
    aCancel.m_abandon && link.m_cancels.Add(now, aCancel.m_call, aUntil);
  return isKept ? CancelDelivery::Kept : CancelDelivery::Unsent;
}

void
LinkPool::ResendCancels(Link& aLink)
{
  for (const std::uint64_t call : aLink.m_cancels.Resend(Clock::now())) {
    aLink.m_connection->Send(LinkCancel{ call, true });
    if (m_handlers.m_onCancelResent) {
      m_handlers.m_onCancelResent();
    }
  }
}

void
LinkPool::FailPendingFrames(const LinkPtr& aLink)
{
  std::vector<LinkFrame> waiting;
  waiting.swap(aLink->m_pendingFrames);
  for (const LinkFrame& each : waiting) {
    if (const auto* request = std::get_if<CallRequest>(&each)) {
      m_handlers.m_onSendFailed(request->m_call);
    }
  }
}

void
LinkPool::Connect(const LinkPtr& aLink)
{
  asio::error_code error;
  const auto host = asio::ip::make_address(aLink->m_address.m_host, error);
  if (error) {
    FailPendingFrames(aLink);
    return;
  }
  aLink->m_epoch = ++m_lastEpoch;
  aLink->m_connectStartedAt = Clock::now();
  aLink->m_connectingSocket = std::make_unique<tcp::socket>(m_loop);
  aLink->m_connectingSocket->async_connect(
    tcp::endpoint{ host, aLink->m_address.m_linkPort },
    [this, weak = std::weak_ptr<Link>{ aLink }, epoch = aLink->m_epoch](
      const asio::error_code& aError) {
      const LinkPtr link = weak.lock();
      if (!link || link->m_epoch != epoch || !link->m_connectingSocket) {
        return;
      }
      if (aError) {
        link->m_connectingSocket.reset();
        OnConnectFailed(link, aError == asio::error::connection_refused);
        return;
      }
      tcp::socket socket = std::move(*link->m_connectingSocket);
      link->m_connectingSocket.reset();
      OnConnected(link, epoch, std::move(socket));
    });
}

void
LinkPool::OnConnected(const LinkPtr& aLink,
                      std::uint64_t aEpoch,
                      tcp::socket aSocket)
{
  aLink->m_connection =
    new LinkConnection(std::move(aSocket), m_meter, m_pacer);
  aLink->m_connection->UseBudget(m_budget);
  const std::weak_ptr<Link> weak = aLink;
  aLink->m_connection->Start(
    [this, weak](LinkConnection& aConnection, LinkFrame aFrame) {
      if (const LinkPtr link = weak.lock()) {
        OnFrame(link, aConnection, std::move(aFrame));
      }
    },
    [this, weak](LinkConnection& aConnection) {
      if (const LinkPtr link = weak.lock()) {
        OnClosed(link, aConnection);
      }
    });
  LinkHello hello = m_self;
  hello.m_epoch = aEpoch;
  hello.m_callee = aLink->m_slot;
  aLink->m_connection->Send(hello);
}

void
LinkPool::OnConnectFailed(const LinkPtr& aLink, bool aRefused)
{
  FailPendingFrames(aLink);
  if (aRefused) {
    aLink->m_cancels.Clear();
    m_handlers.m_onProcessLost(aLink->m_slot);
  }
  aLink->m_nextReconnectAt = Clock::now() + m_settings.m_reconnectInterval;
}

void
LinkPool::OnHello(const LinkPtr& aLink, const LinkHello& aHello)
{
  if (aHello.m_slot != aLink->m_slot) {
    // Another instance has the address, so the intended one no longer runs.
    LinkConnection::Pointer otherInstance = std::move(aLink->m_connection);
    aLink->m_connection = nullptr;
    otherInstance->Close();
    aLink->m_reconnectUntil.reset();
    OnConnectFailed(aLink, true);
    return;
  }
  aLink->m_connection->SetTakesParts(aHello.m_takesParts);
  if (aHello.m_domain != m_self.m_domain) {
    aLink->m_connection->SetCrossesDomains();
  }
  aLink->m_isReady = true;
  if (aLink->m_process != aHello.m_process) {
    aLink->m_cancels.Clear();
  }
  aLink->m_process = aHello.m_process;
  aLink->m_reconnectUntil.reset();
  ResendCancels(*aLink);
  m_handlers.m_onConnected(aLink->m_slot, aHello.m_process);
  std::vector<LinkFrame> waiting;
  waiting.swap(aLink->m_pendingFrames);
  for (const LinkFrame& each : waiting) {
    Write(*aLink, each);
  }
}

void
LinkPool::OnFrame(const LinkPtr& aLink,
                  LinkConnection& aConnection,
                  LinkFrame aFrame)
{
  if (aLink->m_connection.get() != &aConnection) {
    return;
  }
  if (const auto* hello = std::get_if<LinkHello>(&aFrame)) {
    OnHello(aLink, *hello);
    return;
  }
  if (const auto* pong = std::get_if<LinkPong>(&aFrame)) {
    aLink->m_cancels.OnPong(pong->m_number);
    return;
  }
  m_handlers.m_onFrame(aLink->m_slot, std::move(aFrame));
}

void
LinkPool::OnClosed(const LinkPtr& aLink, LinkConnection& aConnection)
{
  if (aLink->m_connection.get() != &aConnection) {
    return;
  }
  if (m_handlers.m_onClosed) {
    m_handlers.m_onClosed(aLink->m_slot, aConnection.AtClose());
  }
  aLink->m_connection.reset();
  const bool wasReady = aLink->m_isReady;
  aLink->m_isReady = false;
  FailPendingFrames(aLink);
  const TimePoint now = Clock::now();
  aLink->m_nextReconnectAt = now;
  if (wasReady) {
    aLink->m_reconnectUntil = now + m_settings.m_reconnectTimeout;
    m_handlers.m_onConnectionLost(aLink->m_slot);
  }
}

void
LinkPool::Finish()
{
  m_isFinished = true;
  for (const auto& [slot, link] : m_links) {
    link->m_connectingSocket.reset();
    if (link->m_connection) {
      link->m_connection->Finish();
    }
    FailPendingFrames(link);
  }
}

void
LinkPool::OnTick(TimePoint aNow)
{
  if (m_isFinished) {
    return;
  }
  const auto links = m_links;
  for (const auto& [slot, link] : links) {
    if (link->m_connectingSocket &&
        aNow - link->m_connectStartedAt > m_settings.m_connectTimeout) {
      link->m_connectingSocket.reset();
      OnConnectFailed(link, false);
    }
    if (link->m_connection && !link->m_isReady &&
        aNow - link->m_connectStartedAt > m_settings.m_connectTimeout) {
      link->m_connection->Abort();
    }
    if (link->m_isReady) {
      const Duration silent = aNow - link->m_connection->LastReceived();
      if (silent > m_settings.m_silenceTimeout) {
        // A middlebox may have dropped the state of this connection while new
        // connections work.
        link->m_connection->Abort();
      } else if (aNow - link->m_lastUsedAt > m_settings.m_idleTimeout) {
        link->m_isReady = false;
        link->m_connection->Close();
      } else if (aNow - link->m_lastPingAt > m_settings.m_heartbeatInterval) {
        link->m_lastPingAt = aNow;
        link->m_connection->Send(LinkPing{ ++m_lastPingNumber });
        link->m_cancels.OnPing(m_lastPingNumber);
      }
    }
    const bool idle = !link->m_connectingSocket && !link->m_connection;
    if (idle && link->m_reconnectUntil && aNow >= link->m_nextReconnectAt) {
      if (aNow < *link->m_reconnectUntil) {
        Connect(link);
      } else {
        link->m_reconnectUntil.reset();
      }
    }
    if (idle && !link->m_connectingSocket && !link->m_reconnectUntil &&
        aNow - link->m_lastUsedAt > m_settings.m_idleTimeout) {
      m_links.erase(slot);
    }
  }
}

}
