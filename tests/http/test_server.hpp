#pragma once

#include "greengagehub/http/http_server.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief A server that collects requests for the test to answer.
class TestServer
{
public:
  explicit TestServer(HttpServerLimits aLimits = {},
                      ByteBudget::Pointer aBudget = {},
                      bool aDiscardsAbandoned = false)
    : m_server(
        m_loop,
        { .m_limits = aLimits, .m_discardsAbandoned = aDiscardsAbandoned },
        [this](HttpRequest aRequest, HttpResponder aResponder) {
          m_requests.push_back(std::move(aRequest));
          m_responders.push_back(std::move(aResponder));
        },
        [this](std::uint64_t aConnection) {
          m_closedConnections.push_back(aConnection);
        })
  {
    m_server.UseBudget(std::move(aBudget));
    m_port = m_server.Open().value();
  }

  template<class Condition>
  [[nodiscard]] bool RunUntil(Condition aCondition)
  {
    const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds{ 10 };
    while (!aCondition() && std::chrono::steady_clock::now() < deadline) {
      m_loop.run_one_for(std::chrono::milliseconds{ 50 });
    }
    return aCondition();
  }

  asio::io_context m_loop;
  HttpServer m_server;
  std::uint16_t m_port{ 0 };
  std::vector<HttpRequest> m_requests;
  std::vector<HttpResponder> m_responders;
  std::vector<std::uint64_t> m_closedConnections;
};

/// \brief A connection that keeps what it receives.
class TestClient
{
public:
  TestClient(asio::io_context& aLoop, std::uint16_t aPort)
    : m_socket(aLoop)
  {
    m_socket.connect({ asio::ip::address_v4::loopback(), aPort });
    Receive();
  }

  asio::ip::tcp::socket m_socket;
  std::string m_received;
  bool m_closed{ false };

private:
  void Receive()
  {
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [this](const asio::error_code& aError, std::size_t aSize) {
        if (aError) {
          m_closed = true;
          return;
        }
        m_received.append(m_buffer.data(), aSize);
        Receive();
      });
  }

  std::array<char, 4096> m_buffer{};
};

}
