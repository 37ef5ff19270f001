#pragma once

#include "greengagehub/http/http_server.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <boost/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>

namespace greengagehub {

// State that an HTTP server shares with its connections.

struct HttpServer::Impl
  : public boost::intrusive_ref_counter<Impl, boost::thread_unsafe_counter>
{
  class Connection;
  using Pointer = boost::intrusive_ptr<Connection>;
  using ImplPointer = boost::intrusive_ptr<Impl>;

  explicit Impl(asio::io_context& aLoop)
    : m_loop(aLoop)
    , m_acceptor(aLoop)
    , m_timeoutTimer(aLoop)
  {
  }

  void Accept();
  /// Accepts the connections in the listen queue without waiting for more.
  void AcceptPending();
  void AddConnection(asio::ip::tcp::socket aSocket);
  void CheckTimeouts();

  asio::io_context& m_loop;
  HttpServerSettings m_settings;
  LinkPacer* m_pacer{ nullptr };
  ByteBudget::Pointer m_budget;
  Handler m_handler;
  ClosedHandler m_closed;
  CloseObserver m_closeObserver;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_timeoutTimer;
  std::map<std::uint64_t, Pointer> m_connections;
  std::uint64_t m_lastConnection{ 0 };
  std::uint16_t m_port{ 0 };
  bool m_isStopped{ false };
  bool m_closesAfterAnswers{ false };
  bool m_isFinishing{ false };
  /// Set by the destructor of the server; a cancelled operation that had
  /// completed before still calls its handler without an error.
  bool m_isDestroyed{ false };
};

}
