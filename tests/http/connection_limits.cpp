#include "all_descriptors.hpp"
#include "test_server.hpp"

#include <asio/write.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <optional>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kGet = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

class Client : public TestClient
{
public:
  using TestClient::TestClient;

  void SendRequest() { asio::write(m_socket, asio::buffer(kGet)); }
};

}

TEST_CASE("the connections that are idle for longest end in favour of new ones")
{
  // Guards against idle connections that use up the descriptors.
  TestServer server;
  server.m_server.SetMaxConnections(8);
  std::deque<Client> idle;
  while (idle.size() < 7) {
    idle.emplace_back(server.m_loop, server.m_port);
  }
  REQUIRE(server.RunUntil([&] { return server.m_server.Connections() == 7; }));
  idle.front().SendRequest();
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  Client next{ server.m_loop, server.m_port };
  next.SendRequest();
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 2; }));
  CHECK(server.RunUntil([&] { return idle[1].m_closed; }));
  CHECK(server.m_server.AcceptCounts().m_displaced == 1);
  for (HttpResponder& each : server.m_responders) {
    each.Answer({});
  }
  CHECK(server.RunUntil([&] {
    return next.m_received.starts_with("HTTP/1.1 200 ") &&
           idle.front().m_received.starts_with("HTTP/1.1 200 ");
  }));
  CHECK_FALSE(idle[2].m_closed);
}

TEST_CASE("connections above the limit wait until others have closed")
{
  // Guards against busy connections that use up the descriptors.
  TestServer server;
  server.m_server.SetMaxConnections(2);
  Client first{ server.m_loop, server.m_port };
  Client second{ server.m_loop, server.m_port };
  first.SendRequest();
  second.SendRequest();
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 2; }));
  Client third{ server.m_loop, server.m_port };
  third.SendRequest();
  server.m_loop.poll();
  CHECK(server.m_server.Connections() == 2);
  first.m_socket.close();
  CHECK(server.RunUntil([&] { return server.m_requests.size() == 3; }));
}

TEST_CASE("a server without descriptors neither spins nor stops accepting")
{
  // Guards against a loop that is busy with failures and lets requests wait.
  TestServer server;
  Client idle{ server.m_loop, server.m_port };
  REQUIRE(server.RunUntil([&] { return server.m_server.Connections() == 1; }));
  asio::ip::tcp::socket waiting{ server.m_loop, asio::ip::tcp::v4() };
  {
    const AllDescriptors used;
    waiting.connect({ asio::ip::address_v4::loopback(), server.m_port });
    asio::write(waiting, asio::buffer(kGet));
    server.m_loop.run_for(300ms);
    CHECK(server.m_server.AcceptCounts().m_failures >= 1);
    CHECK(server.m_server.AcceptCounts().m_failures <= 10);
    CHECK(idle.m_closed);
  }
  CHECK(server.RunUntil([&] { return server.m_requests.size() == 1; }));
}

TEST_CASE("a server whose connections have all become idle accepts others")
{
  // Guards against new clients that wait for the idle timeouts of others.
  TestServer server;
  server.m_server.SetMaxConnections(2);
  Client first{ server.m_loop, server.m_port };
  Client second{ server.m_loop, server.m_port };
  first.SendRequest();
  second.SendRequest();
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 2; }));
  for (HttpResponder& each : server.m_responders) {
    each.Answer({});
  }
  Client third{ server.m_loop, server.m_port };
  third.SendRequest();
  CHECK(server.RunUntil([&] { return server.m_requests.size() == 3; }));
}

TEST_CASE("idle connections at the limit stay open while no other one waits")
{
  // Guards against clients that lose their connections without need.
  TestServer server;
  server.m_server.SetMaxConnections(2);
  Client first{ server.m_loop, server.m_port };
  Client second{ server.m_loop, server.m_port };
  REQUIRE(server.RunUntil([&] { return server.m_server.Connections() == 2; }));
  server.m_loop.run_for(300ms);
  CHECK(server.m_server.Connections() == 2);
  CHECK(server.m_server.AcceptCounts().m_displaced == 0);
}
