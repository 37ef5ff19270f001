#pragma once

#include "greengagehub/transport/link_connection.hpp"

#include <asio/io_context.hpp>
#include <map>
#include <set>

namespace greengagehub {

/// \brief The worker's side of call links.
///
/// Each caller process has one connection that counts, the one with the
/// highest epoch; opening it closes the older ones before anything on the new
/// one is read. What was read from an older one and has not started never
/// starts, so that the caller can be told "not run" truly.
class LinkServer
{
public:
  struct Handlers
  {
    /// A newer connection of a process opened.
    std::function<void(std::uint64_t aProcess, std::uint64_t aEpoch)> m_onEpoch;
    std::function<void(LinkConnection&, LinkFrame)> m_onFrame;
  };

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
  /// \returns The connection that answers to a caller process go out on, or
  /// nullptr when it has none at the moment.
  [[nodiscard]] LinkConnection* Find(std::uint64_t aProcess) const;

  /// \returns Whether answers wait here for their time on the link.
  [[nodiscard]] bool HasUnsent() const;
  /// \brief Connections that open from now on share this machine's link.
  void PaceBy(LinkPacer& aPacer) noexcept { m_pacer = &aPacer; }
  void Broadcast(const LinkFrame& aFrame);
  void StopAccepting();
  /// \brief Closes every connection with what is unread on it.
  void CloseAll();

private:
  void Accept();
  void OnFrame(LinkConnection& aConnection, LinkFrame aFrame);
  void Greet(LinkConnection& aConnection, const LinkHello& aHello);

  asio::ip::tcp::acceptor m_acceptor;
  LinkHello m_self;
  TrafficMeter& m_meter;
  LinkPacer* m_pacer{ nullptr };
  Handlers m_handlers;
  std::set<LinkConnection::Pointer> m_connections;
  std::map<std::uint64_t, LinkConnection::Pointer> m_byProcess;
};

}
