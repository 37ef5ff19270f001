#include "test_server.hpp"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>
#include <optional>

using namespace greengagehub;
using asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

/// A server and one client.
class TestConnection
  : public TestServer
  , public TestClient
{
public:
  explicit TestConnection(HttpServerLimits aLimits = {})
    : TestServer(aLimits)
    , TestClient(m_loop, m_port)
  {
  }

  void Send(std::string_view aText)
  {
    asio::write(m_socket, asio::buffer(aText));
  }
};

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

}

TEST_CASE("a client that disconnects while its request is handled is detected")
{
  TestConnection client;
  client.Send(kGet);
  REQUIRE(client.RunUntil([&] { return client.m_requests.size() == 1; }));
  client.m_socket.close();
  CHECK(
    client.RunUntil([&] { return client.m_closedConnections.size() == 1; }));
}

TEST_CASE("exceeded limits are answered with an error status")
{
  HttpServerLimits limits;
  limits.m_maxHeadBytes = 200;
  limits.m_maxBodyBytes = 10;
  limits.m_headTimeout = 300ms;
  TestConnection client{ limits };
  SUBCASE("a body above the limit")
  {
    client.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.starts_with("HTTP/1.1 413 "));
  }
  SUBCASE("a chunked body above the limit")
  {
    client.Send("POST /a HTTP/1.1\r\nHost: h\r\n"
                "Transfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n");
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.starts_with("HTTP/1.1 413 "));
  }
  SUBCASE("a head above the limit")
  {
    client.Send("GET /a HTTP/1.1\r\nX: " + std::string(300, 'x'));
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.starts_with("HTTP/1.1 431 "));
  }
  SUBCASE("an incomplete head")
  {
    client.Send("GET /a HTTP/1.1\r\nX: ");
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.starts_with("HTTP/1.1 408 "));
  }
  SUBCASE("two Host headers")
  {
    client.Send("GET /a HTTP/1.1\r\nHost: h\r\nhost: g\r\n\r\n");
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.starts_with("HTTP/1.1 400 "));
    CHECK(client.m_requests.empty());
  }
  SUBCASE("request smuggling by Content-Length and Transfer-Encoding")
  {
    client.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.starts_with("HTTP/1.1 400 "));
    CHECK(client.m_requests.empty());
  }
}

TEST_CASE("a request with a field name that is no token is rejected")
{
  // Guards against a field that a backend server reads differently than the
  // daemon, such as a second host or length.
  for (const std::string name : { "X Foo", "X-Foo ", "Host ", " X-Foo" }) {
    CAPTURE(name);
    TestConnection client;
    client.Send("GET /a HTTP/1.1\r\n" + name + ": b\r\nHost: h\r\n\r\n");
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.starts_with("HTTP/1.1 400 "));
    CHECK(client.m_requests.empty());
  }
}

TEST_CASE("a trailer of a request is no field of its head")
{
  // Guards against a trailer that replaces what the head says, such as a key.
  TestConnection client;
  client.Send(
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nok\r\n0\r\nX-Key: b\r\nX-Other: c\r\n\r\n");
  REQUIRE(client.RunUntil([&] { return client.m_requests.size() == 1; }));
  CHECK(HeaderValue(client.m_requests[0].m_headers, "host") == "h");
  CHECK(HeaderValue(client.m_requests[0].m_headers, "x-key").empty());
  CHECK(client.m_requests[0].m_body.View() == "ok");
}

TEST_CASE("changed limits apply to open connections")
{
  TestConnection client;
  client.m_server.SetLimits({ .m_idleTimeout = 300ms });
  CHECK(client.RunUntil([&] { return client.m_closed; }));
}

TEST_CASE("pipelined requests are handled one at a time")
{
  TestConnection client;
  client.Send(std::string{ kGet } + std::string{ kGet });
  REQUIRE(client.RunUntil([&] { return client.m_requests.size() == 1; }));
  client.m_loop.poll();
  CHECK(client.m_requests.size() == 1);
  client.m_responders[0].Answer({ 200, {}, "one" });
  REQUIRE(client.RunUntil([&] { return client.m_requests.size() == 2; }));
  client.m_responders[1].Answer({ 200, {}, "two" });
  CHECK(client.RunUntil([&] { return client.m_received.ends_with("two"); }));
}

TEST_CASE("a finishing server answers pending requests and closes")
{
  // Guards against requests lost or connections left open when a daemon drains.
  TestConnection client;
  SUBCASE("an idle connection")
  {
    client.m_server.Finish();
    CHECK(client.RunUntil([&] { return client.m_closed; }));
  }
  SUBCASE("a request that is sent but not yet read")
  {
    client.Send(kGet);
    client.m_server.Finish();
    REQUIRE(client.RunUntil([&] { return client.m_requests.size() == 1; }));
    client.m_responders[0].Answer({ 200, {}, "whole" });
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.ends_with("whole"));
  }
  SUBCASE("a request that is being handled")
  {
    client.Send(kGet);
    REQUIRE(client.RunUntil([&] { return client.m_requests.size() == 1; }));
    client.m_server.Finish();
    CHECK(client.m_server.Busy() == 1);
    client.m_responders[0].Answer({ 200, {}, "whole" });
    CHECK(client.RunUntil([&] { return client.m_closed; }));
    CHECK(client.m_received.ends_with("whole"));
    CHECK(client.m_received.find("Connection: close") != std::string::npos);
    CHECK(client.m_server.Busy() == 0);
  }
}

// Guards against a drain that closes a connection as idle although a request
// has arrived.
TEST_CASE("a finishing server reads what has arrived before it closes")
{
  TestConnection client;
  asio::steady_timer arrival{ client.m_loop, Clock::now() };
  arrival.async_wait([&](const asio::error_code&) { client.Send(kGet); });
  client.m_server.Finish();
  // By then the check of idle connections is due, and follows the arrival in
  // the same pass of the loop.
  asio::steady_timer{ client.m_loop, 500ms }.wait();
  REQUIRE(client.RunUntil(
    [&] { return client.m_requests.size() == 1 || client.m_closed; }));
  REQUIRE(client.m_requests.size() == 1);
  client.m_responders[0].Answer({ 200, {}, "whole" });
  CHECK(client.RunUntil([&] { return client.m_closed; }));
  CHECK(client.m_received.ends_with("whole"));
}

// Guards against a drain that ends while requests wait in connections that were
// just accepted.
TEST_CASE("a finishing server counts connections that it has not read yet")
{
  TestConnection client;
  tcp::socket waiting{ client.m_loop };
  waiting.connect({ asio::ip::address_v4::loopback(), client.m_server.Port() });
  asio::write(waiting, asio::buffer(kGet));
  client.m_server.Finish();
  REQUIRE(client.RunUntil([&] {
    CHECK(client.m_server.Busy() > 0);
    return client.m_requests.size() == 1;
  }));
  client.m_responders[0].Answer({ 200, {}, "whole" });
  CHECK(client.RunUntil([&] { return client.m_server.Busy() == 0; }));
}

// Guards against use of a server after its destruction.
TEST_CASE("a timeout check that is due does not outlive the server")
{
  asio::io_context loop;
  std::optional<HttpServer> server;
  server.emplace(
    loop, HttpServerSettings{}, [](const HttpRequest&, HttpResponder) {});
  REQUIRE(server->Open());
  asio::steady_timer destruction{ loop, Clock::now() };
  destruction.async_wait([&](const asio::error_code&) { server.reset(); });
  // By then the check is due as well, and completes after the destruction.
  asio::steady_timer{ loop, 500ms }.wait();
  loop.run_for(2s);
  CHECK(loop.stopped());
}
