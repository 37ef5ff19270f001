#pragma once

#include "greengagehub/core/random.hpp"
#include "greengagehub/membership/member.hpp"
#include "greengagehub/transport/link_connection.hpp"

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace greengagehub {

struct LinkPoolSettings
{
  /// Covers the TCP connection and the hello.
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  std::chrono::milliseconds m_heartbeatInterval{ 500 };
  /// A link on which nothing was received for this long is reset.
  std::chrono::milliseconds m_silenceTimeout{ 1500 };
  /// Time limit of the reconnect attempts after a loss; the peer then reports
  /// whether pending calls have started.
  std::chrono::milliseconds m_reconnectTimeout{ std::chrono::seconds{ 10 } };
  std::chrono::milliseconds m_reconnectInterval{ 50 };
  /// Links are closed this long after the last Send().
  std::chrono::milliseconds m_idleTimeout{ std::chrono::seconds{ 60 } };
};

/// \brief What became of a cancellation.
enum class CancelDelivery : std::uint8_t
{
  /// Written to the link.
  Sent,
  /// The link was opening; the request that waited for it is removed.
  Withdrawn,
  /// The link is lost; sent when it is open again.
  Kept,
  /// Kept, or not confirmed by the peer, and written to a new link.
  Resent,
  /// The link is lost, and the call has expired or too many are kept.
  Unsent,
};

/// \returns The name used in metrics, such as "withdrawn".
[[nodiscard]] std::string_view
NameOf(CancelDelivery aDelivery) noexcept;

/// \brief Client side of call links: one persistent link to the daemon of each
/// called worker, opened on the first call.
class LinkPool
{
public:
  struct Handlers
  {
    std::function<void(const std::string& aSlot, LinkFrame)> m_onFrame;
    /// A connection is open and the process of the slot has sent its hello.
    std::function<void(const std::string& aSlot, std::uint64_t aProcess)>
      m_onConnected;
    /// An open connection was lost; whether its pending calls ran is unknown.
    std::function<void(const std::string& aSlot)> m_onConnectionLost;
    /// The process no longer runs: the connection was refused, or another
    /// instance has the address.
    std::function<void(const std::string& aSlot)> m_onProcessLost;
    /// A request is about to be sent to a process.
    std::function<void(std::uint64_t aAttempt, std::uint64_t aProcess)>
      m_onSent;
    /// A request was never written to a connection.
    std::function<void(std::uint64_t aAttempt)> m_onSendFailed;
    /// A cancellation was sent again on a new link; may be empty.
    std::function<void()> m_onCancelResent{};
    /// An open connection was closed by either side; may be empty.
    std::function<void(const std::string& aSlot, const LinkClose&)>
      m_onClosed{};
  };

  LinkPool(asio::io_context& aLoop,
           LinkHello aSelf,
           LinkPoolSettings aSettings,
           TrafficMeter& aMeter,
           Handlers aHandlers);
  ~LinkPool();
  LinkPool(const LinkPool&) = delete;
  LinkPool& operator=(const LinkPool&) = delete;

  /// \returns Number of links, open or not.
  [[nodiscard]] std::size_t Size() const noexcept { return m_links.size(); }
  [[nodiscard]] LinkCounts Counts() const;

  /// \brief Sends, or queues the frame and connects if the link is not open.
  void Send(const std::string& aSlot,
            const MemberAddress& aAddress,
            LinkFrame aFrame);
  /// \brief Sends a cancellation if the link is open; otherwise removes the
  /// queued request, or keeps the cancellation until the link is open again. It
  /// is repeated if the link is lost before the peer has confirmed it. A query,
  /// whose answer is still needed, is neither kept nor repeated.
  /// \param aUntil the deadline of the call.
  CancelDelivery Cancel(const std::string& aSlot,
                        const LinkCancel& aCancel,
                        TimePoint aUntil);
  /// \brief Sets the pacer for connections opened from now on.
  void UsePacer(LinkPacer& aPacer) noexcept { m_pacer = &aPacer; }
  /// \brief Sets what holds the bodies that arrive on connections opened from
  /// now on.
  void UseBudget(ByteBudget::Pointer aBudget) noexcept
  {
    m_budget = std::move(aBudget);
  }
  /// \brief Ends the output of all links after their queued frames; the peers
  /// close them. Nothing is sent or opened afterwards.
  void Finish();
  /// \brief Sends heartbeats, reconnects, and closes silent and idle links.
  /// Must be called periodically.
  void OnTick(TimePoint aNow);

private:
  struct Link;
  using LinkPtr = std::shared_ptr<Link>;

  void Connect(const LinkPtr& aLink);
  void OnConnected(const LinkPtr& aLink,
                   std::uint64_t aEpoch,
                   asio::ip::tcp::socket aSocket);
  void OnConnectFailed(const LinkPtr& aLink, bool aRefused);
  void OnFrame(const LinkPtr& aLink,
               LinkConnection& aConnection,
               LinkFrame aFrame);
  void OnClosed(const LinkPtr& aLink, LinkConnection& aConnection);
  void OnHello(const LinkPtr& aLink, const LinkHello& aHello);
  void FailPendingFrames(const LinkPtr& aLink);
  void Write(Link& aLink, const LinkFrame& aFrame);
  void ResendCancels(Link& aLink);

  asio::io_context& m_loop;
  LinkHello m_self;
  LinkPoolSettings m_settings;
  TrafficMeter& m_meter;
  LinkPacer* m_pacer{ nullptr };
  ByteBudget::Pointer m_budget;
  Handlers m_handlers;
  std::map<std::string, LinkPtr, std::less<>> m_links;
  std::uint64_t m_lastEpoch{ 0 };
  std::uint64_t m_lastPingNumber{ 0 };
  bool m_isFinished{ false };
};

}
