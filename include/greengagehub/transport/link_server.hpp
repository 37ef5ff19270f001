#pragma once

#include "greengagehub/transport/link_connection.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>

namespace greengagehub {

/// \brief Server side of call links.
///
/// Each caller process has one current connection, the one with the highest
/// epoch. Before requests of a newer connection are read, the older one is
/// closed and m_onNewEpoch is called. The owner then drops unstarted requests
/// of older epochs, so that the caller may treat them as not run.
///
/// A cancellation that has arrived behind a request takes it back before it is
/// passed on.
class LinkServer
{
public:
  struct Handlers
  {
    std::function<void(std::uint64_t aProcess, std::uint64_t aEpoch)>
      m_onNewEpoch;
    std::function<void(LinkConnection&, LinkFrame)> m_onFrame;
    /// May be empty.
    std::function<void(const LinkConnection&)> m_onClosed{};
  };

  /// \param aPort TCP port to listen on; 0 picks a free port.
  LinkServer(asio::io_context& aLoop,
             const std::string& aHost,
             std::uint16_t aPort,
             LinkHello aSelf,
             TrafficMeter& aMeter,
             Handlers aHandlers);

  [[nodiscard]] std::uint16_t Port() const;
  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return m_connections.size();
  }
  /// \returns Number of connections that could not be accepted since start.
  [[nodiscard]] std::uint64_t AcceptFailures() const noexcept
  {
    return m_acceptFailures;
  }
  /// \returns Current connection of a caller process, or nullptr.
  [[nodiscard]] LinkConnection* Find(std::uint64_t aProcess) const;

  /// \returns When bytes of a caller process were last received; nothing if it
  /// has not been connected lately.
  [[nodiscard]] std::optional<TimePoint> LastReceived(
    std::uint64_t aProcess) const;

  /// \returns Whether any connection has queued frames.
  [[nodiscard]] bool HasUnsent() const;
  [[nodiscard]] LinkCounts Counts() const;
  /// \returns Whether a peer is connected that has sent something lately; peers
  /// send heartbeats.
  [[nodiscard]] bool HasLivePeers(TimePoint aNow) const;
  /// \brief Sets the pacer for connections accepted from now on.
  void UsePacer(LinkPacer& aPacer) noexcept { m_pacer = &aPacer; }
  /// \brief Sets what holds the bodies that arrive on connections opened from
  /// now on.
  void UseBudget(ByteBudget::Pointer aBudget) noexcept
  {
    m_budget = std::move(aBudget);
  }
  /// \brief Sends to every connection whose hello was received.
  void Broadcast(const LinkFrame& aFrame);
  void StopAccepting();
  /// \brief Stops accepting and ends the output of all connections after their
  /// queued frames; the peers close them.
  void Finish();
  /// \brief Closes all connections; frames not yet read are dropped.
  void CloseAll();

private:
  void Accept();
  /// A failure, such as a lack of descriptors, would repeat at once.
  void RetryAcceptLater();
  void AddConnection(asio::ip::tcp::socket aSocket);
  void OnFrame(LinkConnection& aConnection, LinkFrame aFrame);
  void OnHello(LinkConnection& aConnection, const LinkHello& aHello);
  void OnClosed(LinkConnection& aConnection);
  /// \brief Passes the held attempts on if nothing that could cancel them is
  /// unread; drops them if the peer has closed the link, as it then treats them
  /// as not run or asks for their state.
  /// \param aBytes of the latest read.
  void StartHeldAttempts(LinkConnection& aConnection, std::size_t aBytes);

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_acceptTimer;
  std::uint64_t m_acceptFailures{ 0 };
  LinkHello m_self;
  TrafficMeter& m_meter;
  LinkPacer* m_pacer{ nullptr };
  ByteBudget::Pointer m_budget;
  Handlers m_handlers;
  std::set<LinkConnection::Pointer> m_connections;
  std::map<std::uint64_t, LinkConnection::Pointer> m_currentByProcess;
  /// Of processes whose current connection was closed lately.
  std::map<std::uint64_t, TimePoint> m_lastReceived;
};

}
