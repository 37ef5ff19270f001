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
  std::chrono::milliseconds m_connectTimeout{ 1000 };
  std::chrono::milliseconds m_heartbeat{ 500 };
  /// A link silent for longer is presumed lost in both directions.
  std::chrono::milliseconds m_silence{ 1500 };
  /// How long a lost link is tried again for the calls in doubt on it.
  std::chrono::milliseconds m_reconnectFor{ std::chrono::seconds{ 10 } };
  std::chrono::milliseconds m_reconnectEvery{ 50 };
  /// Links without traffic are closed after this.
  std::chrono::milliseconds m_idle{ std::chrono::seconds{ 60 } };
};

/// \brief The caller's side of call links: one to each worker's daemon that
/// calls go to, opened on the first call and kept.
class LinkPool
{
public:
  struct Handlers
  {
    std::function<void(const std::string& aSlot, LinkFrame)> m_onFrame;
    /// A connection is open to this process of the slot.
    std::function<void(const std::string& aSlot, std::uint64_t aProcess)>
      m_onUp;
    /// An open connection was lost with whatever was on it.
    std::function<void(const std::string& aSlot)> m_onLost;
    /// Nobody listens at the address: the process is gone.
    std::function<void(const std::string& aSlot)> m_onRefused;
    /// A request went out to a process; before any answer to it.
    std::function<void(std::uint64_t aAttempt, std::uint64_t aProcess)>
      m_onSent;
    /// A request was never put on a connection.
    std::function<void(std::uint64_t aAttempt)> m_onNotSent;
  };

  LinkPool(asio::io_context& aLoop,
           LinkHello aSelf,
           LinkPoolSettings aSettings,
           TrafficMeter& aMeter,
           Handlers aHandlers);
  ~LinkPool();
  LinkPool(const LinkPool&) = delete;
  LinkPool& operator=(const LinkPool&) = delete;

  [[nodiscard]] std::size_t Size() const noexcept { return m_links.size(); }

  void Send(const std::string& aSlot,
            const MemberAddress& aAddress,
            LinkFrame aFrame);
  /// \brief Sends when a connection is open. A cancellation otherwise takes
  /// back the request that waits for it to open.
  void SendIfOpen(const std::string& aSlot, const LinkFrame& aFrame);
  /// \brief Connections that open from now on share this machine's link.
  void PaceBy(LinkPacer& aPacer) noexcept { m_pacer = &aPacer; }
  /// \brief Heartbeats, silence, time limits, idle links.
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
  void DropWaiting(const LinkPtr& aLink);
  void Write(Link& aLink, const LinkFrame& aFrame);

  asio::io_context& m_loop;
  LinkHello m_self;
  LinkPoolSettings m_settings;
  TrafficMeter& m_meter;
  LinkPacer* m_pacer{ nullptr };
  Handlers m_handlers;
  std::map<std::string, LinkPtr, std::less<>> m_links;
  std::uint64_t m_lastEpoch{ 0 };
  std::uint64_t m_lastPing{ 0 };
};

}
