#include "greengagehub/http/http_client.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <memory>

using namespace greengagehub;
using asio::ip::tcp;

namespace {

/// Answers the first request on each connection and closes the connection after
/// reading the second, like a backend server that crashes during a request.
class UnansweringServer
{
public:
  explicit UnansweringServer(asio::io_context& aLoop)
    : m_acceptor(aLoop, tcp::endpoint{ asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
  }

  [[nodiscard]] std::uint16_t Port() const
  {
    return m_acceptor.local_endpoint().port();
  }
  [[nodiscard]] int Requests() const { return m_requests; }

private:
  struct Connection
  {
    explicit Connection(tcp::socket aSocket)
      : m_socket(std::move(aSocket))
    {
    }
    tcp::socket m_socket;
    std::array<char, 4096> m_buffer{};
    int m_requestCount{ 0 };
  };
  using Pointer = std::shared_ptr<Connection>;

  void Accept()
  {
    m_acceptor.async_accept(
      [this](const asio::error_code& aError, tcp::socket aSocket) {
        if (!aError) {
          Read(std::make_shared<Connection>(std::move(aSocket)));
          Accept();
        }
      });
  }

  void Read(const Pointer& aConnection)
  {
    aConnection->m_socket.async_read_some(
      asio::buffer(aConnection->m_buffer),
      [this, aConnection](const asio::error_code& aError, std::size_t) {
        if (aError) {
          return;
        }
        ++m_requests;
        if (++aConnection->m_requestCount > 1) {
          aConnection->m_socket.close();
          return;
        }
        static const std::string kAnswer =
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        asio::write(aConnection->m_socket, asio::buffer(kAnswer));
        Read(aConnection);
      });
  }

  tcp::acceptor m_acceptor;
  int m_requests{ 0 };
};

HttpClientResult
Post(asio::io_context& aLoop, HttpClient& aClient, std::uint16_t aPort)
{
  HttpClientRequest request;
  request.m_method = "POST";
  request.m_url = "http://127.0.0.1:" + std::to_string(aPort) + "/release";
  HttpClientResult result;
  bool done = false;
  aClient.Send(std::move(request), [&](HttpClientResult aResult) {
    result = std::move(aResult);
    done = true;
  });
  while (!done) {
    aLoop.run_one();
  }
  return result;
}

}

TEST_CASE("a request is not resent when its reused connection closes")
{
  // Guards against libcurl's automatic retry, which could execute a request
  // twice.
  asio::io_context loop;
  UnansweringServer server{ loop };
  HttpClient client{ loop };
  REQUIRE(Post(loop, client, server.Port()).m_kind ==
          HttpClientResult::Kind::Answered);
  const HttpClientResult second = Post(loop, client, server.Port());
  CHECK(second.m_kind == HttpClientResult::Kind::Lost);
  CHECK(server.Requests() == 2);
}

TEST_CASE("a request to a port without a listener is reported as not sent")
{
  asio::io_context loop;
  std::uint16_t port = 0;
  {
    tcp::acceptor free{ loop, { asio::ip::address_v4::loopback(), 0 } };
    port = free.local_endpoint().port();
  }
  HttpClient client{ loop };
  CHECK(Post(loop, client, port).m_kind == HttpClientResult::Kind::NotSent);
}
