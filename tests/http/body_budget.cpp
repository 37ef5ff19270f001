#include "greengagehub/http/backend_client.hpp"

#include "test_server.hpp"

#include <algorithm>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <optional>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

/// Large requests may use 600,000 bytes of it.
constexpr std::size_t kLimit = 800'000;

class Client : public TestClient
{
public:
  using TestClient::TestClient;

  void Send(std::string aText)
  {
    m_sent.push_back(std::move(aText));
    asio::async_write(m_socket,
                      asio::buffer(m_sent.back()),
                      [](const asio::error_code&, std::size_t) {});
  }
  void SendHead(std::size_t aLength, std::string_view aHeader = "")
  {
    Send(
      fmt::format("POST /a HTTP/1.1\r\nHost: h\r\n{}Content-Length: {}\r\n\r\n",
                  aHeader,
                  aLength));
  }
  void SendRequest(std::size_t aLength)
  {
    SendHead(aLength);
    Send(std::string(aLength, 'x'));
  }

private:
  /// Kept until the end of the writes.
  std::deque<std::string> m_sent;
};

class BudgetServer : public TestServer
{
public:
  BudgetServer()
    : BudgetServer(ByteBudget::Pointer{ new ByteBudget{ kLimit } })
  {
  }

  explicit BudgetServer(std::size_t aLimit, std::size_t aMaxBodyBytes)
    : BudgetServer(ByteBudget::Pointer{ new ByteBudget{ aLimit } },
                   aMaxBodyBytes)
  {
  }

  /// \returns Whether a request with a body of this size is received, after
  /// others that are refused for lack of room.
  [[nodiscard]] bool AdmitsInTime(std::size_t aBytes)
  {
    const std::size_t before = m_requests.size();
    return RunUntil([&] {
      Client client{ m_loop, m_port };
      client.SendRequest(aBytes);
      return RunUntil(
               [&] { return client.m_closed || m_requests.size() > before; }) &&
             m_requests.size() > before;
    });
  }

  /// \returns A body of the budget.
  [[nodiscard]] Body AnswerBody(std::size_t aBytes) const
  {
    BodyBuffer buffer;
    buffer.AddRoom(aBytes, m_budget->Reserve(aBytes, ByteUse::LargeAnswer));
    buffer.Append(std::string(aBytes, 'x'));
    return Body{ std::move(buffer) };
  }

  void AnswerAll()
  {
    for (HttpResponder& each : m_responders) {
      each.Answer({});
    }
    m_responders.clear();
    m_requests.clear();
  }

  ByteBudget::Pointer m_budget;

private:
  explicit BudgetServer(const ByteBudget::Pointer& aBudget,
                        std::size_t aMaxBodyBytes = 700'000)
    : TestServer({ .m_maxBodyBytes = aMaxBodyBytes }, aBudget)
    , m_budget(aBudget)
  {
  }
};

}

TEST_CASE("a body waits unread until there is room")
{
  // Guards against memory that grows with the number of requests.
  BudgetServer server;
  Client first{ server.m_loop, server.m_port };
  Client second{ server.m_loop, server.m_port };
  Client small{ server.m_loop, server.m_port };
  first.SendRequest(500'000);
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  second.SendRequest(400'000);
  REQUIRE(server.RunUntil([&] { return server.m_budget->HasWaiters(); }));
  small.SendRequest(1000);
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 2; }));
  CHECK(server.m_requests.back().m_body.Size() == 1000);
  server.AnswerAll();
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  CHECK(server.m_requests.back().m_body == Body{ std::string(400'000, 'x') });
  CHECK(server.m_budget->Peak() <= kLimit);
  server.AnswerAll();
  CHECK(server.RunUntil([&] { return server.m_budget->Used() == 0; }));
}

TEST_CASE("a body that finds no room in time is refused as not run")
{
  BudgetServer server;
  Client first{ server.m_loop, server.m_port };
  Client second{ server.m_loop, server.m_port };
  first.SendRequest(500'000);
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  second.SendRequest(400'000);
  CHECK(server.RunUntil([&] { return second.m_closed; }));
  CHECK(second.m_received.starts_with("HTTP/1.1 503 "));
  CHECK(second.m_received.find("Retry-After: ") != std::string::npos);
  CHECK(server.m_requests.size() == 1);
}

TEST_CASE("a body that can never fit is refused at its head")
{
  BudgetServer server;
  Client client{ server.m_loop, server.m_port };
  client.SendHead(650'000, "Expect: 100-continue\r\n");
  CHECK(server.RunUntil([&] { return client.m_closed; }));
  CHECK(client.m_received.starts_with("HTTP/1.1 413 "));
}

TEST_CASE("a client that sends all of a refused body receives the answer")
{
  // Guards against a close with unread bytes, which resets the connection.
  BudgetServer server;
  Client client{ server.m_loop, server.m_port };
  client.SendRequest(30'000'000);
  CHECK(server.RunUntil([&] { return client.m_closed; }));
  CHECK(client.m_received.starts_with("HTTP/1.1 413 "));
  CHECK(server.m_budget->Used() == 0);
}

TEST_CASE("a chunked body is counted as it grows and given back")
{
  BudgetServer server;
  Client client{ server.m_loop, server.m_port };
  client.Send("POST /a HTTP/1.1\r\nHost: h\r\n"
              "Transfer-Encoding: chunked\r\n\r\n");
  constexpr int kChunks = 30;
  for (int i = 0; i < kChunks; ++i) {
    client.Send("2710\r\n" + std::string(10'000, 'x') + "\r\n");
  }
  REQUIRE(server.RunUntil([&] { return server.m_budget->Used() >= 300'000; }));
  client.Send("0\r\n\r\n");
  REQUIRE(server.RunUntil([&] { return server.m_requests.size() == 1; }));
  CHECK(server.m_requests.back().m_body.Size() == 300'000);
  server.AnswerAll();
  CHECK(server.RunUntil([&] { return server.m_budget->Used() == 0; }));
}

TEST_CASE("a body that stalls is given up while others wait for room")
{
  // Guards against clients that hold the memory without sending on.
  BudgetServer server;
  Client stalled{ server.m_loop, server.m_port };
  stalled.SendHead(500'000);
  REQUIRE(server.RunUntil([&] { return server.m_budget->Used() > 0; }));
  CHECK(server.AdmitsInTime(400'000));
  CHECK(stalled.m_received.starts_with("HTTP/1.1 408 "));
}

TEST_CASE("a body too slow to end in time is given up while others wait")
{
  // Guards against clients that hold the memory by sending a few bytes at
  // times.
  BudgetServer server;
  Client slow{ server.m_loop, server.m_port };
  slow.SendHead(500'000);
  asio::steady_timer timer{ server.m_loop };
  const std::function<void()> sendNext = [&] {
    slow.Send("x");
    timer.expires_after(100ms);
    timer.async_wait([&](const asio::error_code& aError) {
      if (!aError) {
        sendNext();
      }
    });
  };
  sendNext();
  REQUIRE(server.RunUntil([&] { return server.m_budget->Used() > 0; }));
  CHECK(server.AdmitsInTime(400'000));
  CHECK(slow.m_received.starts_with("HTTP/1.1 408 "));
}

TEST_CASE("an answer that its client does not read is given up while others "
          "wait")
{
  // Guards against clients that hold the memory without reading their answers.
  constexpr std::size_t kAnswerBytes = 24'000'000;
  BudgetServer server{ 32'000'000, kAnswerBytes };
  asio::ip::tcp::socket unread{ server.m_loop };
  unread.connect({ asio::ip::address_v4::loopback(), server.m_port });
  asio::write(
    unread, asio::buffer(std::string{ "GET /a HTTP/1.1\r\nHost: h\r\n\r\n" }));
  REQUIRE(server.RunUntil([&] { return server.m_responders.size() == 1; }));
  server.m_responders.front().Answer(
    { 200, {}, server.AnswerBody(kAnswerBytes) });
  CHECK(server.m_budget->Used() == kAnswerBytes);
  CHECK(server.AdmitsInTime(8'000'000));
  server.AnswerAll();
  CHECK(server.RunUntil([&] { return server.m_budget->Used() == 0; }));
}

TEST_CASE("small answers have room beside large ones that are not read")
{
  // Guards against a few slow clients that keep the answers of all others out.
  BudgetServer server;
  const std::size_t most = server.m_budget->LimitFor(ByteUse::LargeAnswer);
  const Body held = server.AnswerBody(most);
  REQUIRE(server.m_budget->Used() == most);
  BackendClient client{ server.m_loop,
                        { .m_address = { asio::ip::address_v4::loopback(),
                                         server.m_port },
                          .m_budget = server.m_budget } };
  std::optional<BackendResult> result;
  BackendRequest request;
  request.m_deadline = Clock::now() + 5s;
  client.Send(std::move(request),
              [&](BackendResult aResult) { result = std::move(aResult); });
  REQUIRE(server.RunUntil([&] { return server.m_responders.size() == 1; }));
  server.m_responders.front().Answer({ 200, {}, std::string(1000, 'x') });
  REQUIRE(server.RunUntil([&] { return result.has_value(); }));
  CHECK(result->m_kind == BackendResult::Kind::Answered);
  CHECK(result->m_response.m_body.Size() == 1000);
}

TEST_CASE("a client that leaves in the middle of a body returns its bytes")
{
  BudgetServer server;
  std::optional<Client> client{ std::in_place, server.m_loop, server.m_port };
  client->SendHead(500'000);
  REQUIRE(server.RunUntil([&] { return server.m_budget->Used() > 0; }));
  client->m_socket.close();
  CHECK(server.RunUntil([&] { return server.m_budget->Used() == 0; }));
}

TEST_CASE("heads that are never completed stay within the budget")
{
  // Guards against many connections that each hold a part of a head.
  BudgetServer server;
  std::deque<Client> clients;
  constexpr int kClients = 30;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(server.m_loop, server.m_port)
      .Send("GET /a HTTP/1.1\r\nX: " + std::string(50'000, 'x'));
  }
  const auto refused = [](const Client& aEach) {
    return aEach.m_received.starts_with("HTTP/1.1 503 ");
  };
  CHECK(server.RunUntil([&] { return std::ranges::any_of(clients, refused); }));
  CHECK(server.m_budget->Peak() <= kLimit);
}

TEST_CASE("an answer waits unread until there is room")
{
  // Guards against answers that exceed the memory together.
  BudgetServer server;
  const ByteBudget::Pointer budget{ new ByteBudget{ kLimit } };
  BackendClient client{ server.m_loop,
                        { .m_address = { asio::ip::address_v4::loopback(),
                                         server.m_port },
                          .m_budget = budget } };
  std::vector<BackendResult> results;
  for (int i = 0; i < 2; ++i) {
    BackendRequest request;
    request.m_deadline = Clock::now() + 10s;
    client.Send(std::move(request), [&](BackendResult aResult) {
      results.push_back(std::move(aResult));
    });
  }
  REQUIRE(server.RunUntil([&] { return server.m_responders.size() == 2; }));
  for (HttpResponder& each : server.m_responders) {
    each.Answer({ 200, {}, std::string(500'000, 'x') });
  }
  REQUIRE(server.RunUntil(
    [&] { return results.size() == 1 && budget->HasWaiters(); }));
  CHECK(results.front().m_response.m_body.Size() == 500'000);
  results.clear();
  REQUIRE(server.RunUntil([&] { return results.size() == 1; }));
  CHECK(results.front().m_kind == BackendResult::Kind::Answered);
  CHECK(results.front().m_response.m_body == Body{ std::string(500'000, 'x') });
  CHECK(budget->Peak() <= kLimit);
  results.clear();
  CHECK(budget->Used() == 0);
}
