#include "test_server.hpp"

#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr std::string_view kNext = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";

class Client : public TestClient
{
public:
  using TestClient::TestClient;

  void Send(std::string_view aText)
  {
    asio::write(m_socket, asio::buffer(aText));
  }
  void Reset()
  {
    m_socket.set_option(asio::socket_base::linger{ true, 0 });
    m_socket.close();
  }
};

class AbandonedServer : public TestServer
{
public:
  explicit AbandonedServer(ByteBudget::Pointer aBudget = {})
    : TestServer({}, std::move(aBudget), true)
  {
    m_server.ObserveCloses([this](const HttpConnectionClose& aClose) {
      if (aClose.m_cause == HttpCloseCause::Abandoned) {
        m_abandoned.push_back(aClose);
      }
    });
  }

  std::vector<HttpConnectionClose> m_abandoned;
};

}

TEST_CASE("a request whose client has closed by the time it is read is "
          "discarded")
{
  // Guards against work for clients whose close is read behind their requests.
  AbandonedServer server;
  Client leaver{ server.m_loop, server.m_port };
  leaver.Send(kGet);
  SUBCASE("closed")
  {
    leaver.m_socket.close();
  }
  SUBCASE("reset")
  {
    leaver.Reset();
  }
  SUBCASE("its output ended")
  {
    leaver.m_socket.shutdown(asio::ip::tcp::socket::shutdown_send);
  }
  SUBCASE("another request behind the first one")
  {
    leaver.Send(kNext);
    leaver.m_socket.close();
  }
  Client caller{ server.m_loop, server.m_port };
  caller.Send(kNext);
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  REQUIRE(server.RunUntil([&] { return server.m_abandoned.size() == 1; }));
  CHECK(server.m_requests.front().m_target == "/next");
  CHECK(server.m_abandoned.front().m_requests == 0);
  CHECK(server.m_abandoned.front().m_unreadFor.has_value());
  CHECK(server.m_closedConnections.empty());
}

TEST_CASE("a request whose client closed while it waited to be accepted is "
          "discarded")
{
  // Guards against work for clients that left the listen queue.
  AbandonedServer server;
  server.m_server.SetMaxConnections(1);
  Client busy{ server.m_loop, server.m_port };
  busy.Send(kGet);
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  Client leaver{ server.m_loop, server.m_port };
  leaver.Send(kGet);
  leaver.m_socket.close();
  Client caller{ server.m_loop, server.m_port };
  caller.Send(kNext);
  busy.m_socket.close();
  CHECK(server.RunUntil([&] { return server.m_requests.size() == 2; }));
  CHECK(server.m_requests.back().m_target == "/next");
  CHECK(server.m_abandoned.size() == 1);
}

TEST_CASE("a request whose client closed while its body waited for room is "
          "discarded")
{
  // Guards against a close that is not read while reading is suspended.
  constexpr std::size_t kRoom = 800'000;
  constexpr std::size_t kBody = 500'000;
  const ByteBudget::Pointer budget{ new ByteBudget{ kRoom } };
  AbandonedServer server{ budget };
  ByteReservation held = budget->Reserve(kBody, ByteUse::LargeRequest);
  Client leaver{ server.m_loop, server.m_port };
  leaver.Send(fmt::format(
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", kBody));
  const std::string body(kBody, 'x');
  bool isSent = false;
  asio::async_write(leaver.m_socket,
                    asio::buffer(body),
                    [&](const asio::error_code& aError, std::size_t) {
                      isSent = !aError;
                      leaver.m_socket.close();
                    });
  REQUIRE(server.RunUntil([&] { return budget->HasWaiters(); }));
  held = {};
  CHECK(server.RunUntil([&] { return isSent; }));
  CHECK(server.RunUntil([&] { return server.m_server.Connections() == 0; }));
  CHECK(server.m_requests.empty());
}

TEST_CASE("bytes behind a request are no close")
{
  // Guards against discarding the requests of clients that pipeline.
  AbandonedServer server;
  Client caller{ server.m_loop, server.m_port };
  caller.Send(fmt::format("{}{}", kGet, kNext));
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  server.m_responders.front().Answer({});
  CHECK(server.RunUntil([&] { return server.m_requests.size() == 2; }));
  CHECK(server.m_abandoned.empty());
}

TEST_CASE("a server tells that a client has closed before it reads the close")
{
  // Guards against work for clients that leave while their requests wait.
  AbandonedServer server;
  Client leaver{ server.m_loop, server.m_port };
  leaver.Send(kGet);
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  const std::uint64_t connection = server.m_requests.front().m_connection;
  CHECK_FALSE(server.m_server.HasClientClosed(connection));
  leaver.m_socket.close();
  // Its connection is made after the close has arrived.
  const Client next{ server.m_loop, server.m_port };
  CHECK(server.m_server.HasClientClosed(connection));
  CHECK(
    server.RunUntil([&] { return server.m_closedConnections.size() == 1; }));
  CHECK(server.m_server.HasClientClosed(connection));
}
