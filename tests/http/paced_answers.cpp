#include "greengagehub/http/http_server.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace greengagehub;
using asio::ip::tcp;

namespace {

constexpr std::size_t kBodyBytes = 300'000;

/// A server on 127.0.0.1 that counts its answers on a link of 100 Mbit/s, and a
/// client.
class PacedServer
{
public:
  /// \param aClient address of the client; another one than the server's is on
  /// another instance.
  explicit PacedServer(const char* aClient)
    : m_server(m_loop,
               HttpServerSettings{},
               [this](const HttpRequest& aRequest, HttpResponder aResponder) {
                 m_isFromThisInstance = aRequest.m_isFromThisInstance;
                 aResponder.Answer({ 200, {}, std::string(kBodyBytes, 'x') });
               })
    , m_socket(m_loop)
  {
    m_server.UsePacer(m_pacer);
    const std::uint16_t port = m_server.Open().value();
    m_socket.open(tcp::v4());
    m_socket.bind({ asio::ip::make_address(aClient), 0 });
    m_socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    asio::write(
      m_socket,
      asio::buffer(std::string{ "GET / HTTP/1.1\r\nHost: a\r\n\r\n" }));
    Read();
  }

  void RunUntilReceived(std::size_t aBytes)
  {
    while (m_received < aBytes) {
      m_loop.run_one();
    }
  }

  asio::io_context m_loop;
  LinkPacer m_pacer{ 100 };
  std::optional<bool> m_isFromThisInstance;
  std::size_t m_received{ 0 };

private:
  void Read()
  {
    m_socket.async_read_some(
      asio::buffer(m_buffer),
      [this](const asio::error_code& aError, std::size_t aSize) {
        m_received += aSize;
        if (!aError) {
          Read();
        }
      });
  }

  HttpServer m_server;
  std::array<char, 4096> m_buffer{};

public:
  tcp::socket m_socket;
};

}

TEST_CASE("answers to clients on other instances count on the link")
{
  // Guards against a pacer that does not know of the bytes sent to clients.
  PacedServer server{ "127.0.0.2" };
  server.RunUntilReceived(kBodyBytes);
  CHECK(server.m_isFromThisInstance == false);
  CHECK(server.m_pacer.ReservedBytes() >= kBodyBytes);
  CHECK(server.m_pacer.ReservedBytes() <= kBodyBytes + 200);
}

TEST_CASE("answers to clients on this instance do not count on the link")
{
  // Guards against link time reserved for bytes that never cross the link.
  PacedServer server{ "127.0.0.1" };
  server.RunUntilReceived(kBodyBytes);
  CHECK(server.m_isFromThisInstance == true);
  CHECK(server.m_pacer.ReservedBytes() == 0);
}

TEST_CASE("a client that leaves returns the link time of its answer")
{
  // Guards against a link that counts as busy with answers nobody receives.
  PacedServer server{ "127.0.0.2" };
  // 400 ms of other bytes keep the answer waiting.
  static_cast<void>(server.m_pacer.Reserve(Clock::now(), 4'250'000));
  while (server.m_pacer.ReservedBytes() < 4'250'000 + kBodyBytes) {
    server.m_loop.run_one();
  }
  server.m_socket.close();
  while (server.m_pacer.ReservedBytes() > 4'250'000) {
    server.m_loop.run_one();
  }
  CHECK(server.m_pacer.ReservedBytes() == 4'250'000);
}
