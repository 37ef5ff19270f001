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

namespace {

/// Answers the first request with bytes that end when the client closes.
class EndlessServer
{
public:
  EndlessServer(asio::io_context& aLoop, std::string aPrefix, std::string aUnit)
    : m_acceptor(aLoop, tcp::endpoint{ asio::ip::address_v4::loopback(), 0 })
    , m_socket(aLoop)
    , m_output(std::move(aPrefix))
    , m_unit(std::move(aUnit))
  {
    m_acceptor.async_accept(m_socket, [this](const asio::error_code& aError) {
      if (!aError) {
        Write();
      }
    });
  }

  [[nodiscard]] std::uint16_t Port() const
  {
    return m_acceptor.local_endpoint().port();
  }
  [[nodiscard]] std::size_t Written() const { return m_written; }

private:
  void Write()
  {
    while (m_output.size() < 64UL * 1024) {
      m_output += m_unit;
    }
    asio::async_write(
      m_socket,
      asio::buffer(m_output),
      [this](const asio::error_code& aError, std::size_t aSize) {
        m_written += aSize;
        m_output.clear();
        if (!aError) {
          Write();
        }
      });
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  std::string m_output;
  std::string m_unit;
  std::size_t m_written{ 0 };
};

}

TEST_CASE("a head without end is not read until the timeout")
{
  // Guards against a store or peer whose answer takes the loop and the memory
  // of a daemon.
  struct Answer
  {
    std::string m_prefix;
    std::string m_unit;
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  for (const Answer& each : { Answer{ "", "HTTP/1.1 100 Continue\r\n\r\n" },
                              Answer{ ok, "X-A: b\r\n" },
                              Answer{ ok + "X-A: ", "b" },
                              Answer{ chunked + "0\r\n", "X-A: b\r\n" },
                              Answer{ "", "x" },
                              Answer{ "", "\r\n" } }) {
    CAPTURE(each.m_unit);
    asio::io_context loop;
    EndlessServer server{ loop, each.m_prefix, each.m_unit };
    HttpClient client{ loop };
    CHECK(Post(loop, client, server.Port()).m_kind ==
          HttpClientResult::Kind::Lost);
    // The limit of a head and what the buffers of a connection hold.
    constexpr std::size_t kMaxBytes = 12UL * 1024 * 1024;
    CHECK(server.Written() <= kMaxBytes);
  }
}
