#include "greengagehub/transport/codec.hpp"
#include "greengagehub/transport/link_server.hpp"
#include "run_until.hpp"

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

using Calls = std::vector<std::uint64_t>;

CallRequest
MakeRequest(std::uint64_t aCall, std::size_t aBodyBytes = 0)
{
  CallRequest request;
  request.m_call = aCall;
  request.m_body = std::string(aBodyBytes, 'x');
  return request;
}

/// A link server and the socket of a peer, whose frames the server finds all at
/// once.
class LateServer
{
public:
  LateServer()
  {
    m_peer.connect({ asio::ip::address_v4::loopback(), m_server.Port() });
    Queue(LinkHello{ "caller", 1, 1 });
  }

  void Queue(const LinkFrame& aFrame) { AppendFrame(m_unsent, aFrame); }
  void Send()
  {
    asio::write(m_peer, asio::buffer(m_unsent));
    m_unsent.clear();
  }
  /// For more than the socket takes at once.
  void SendInBackground()
  {
    asio::async_write(m_peer,
                      asio::buffer(m_unsent),
                      [](const asio::error_code&, std::size_t) {});
  }
  template<class Condition>
  [[nodiscard]] bool RunUntil(Condition aCondition)
  {
    return greengagehub::RunUntil(m_loop, aCondition);
  }

  asio::io_context m_loop;
  Calls m_requests;
  Calls m_cancelled;
  int m_closed{ 0 };
  asio::ip::tcp::socket m_peer{ m_loop };

private:
  TrafficMeter m_traffic;
  LinkServer m_server{
    m_loop,
    "127.0.0.1",
    0,
    LinkHello{ "callee", 2, 0 },
    m_traffic,
    { .m_onNewEpoch = [](std::uint64_t, std::uint64_t) {},
      .m_onFrame =
        [this](LinkConnection&, const LinkFrame& aFrame) {
          if (const auto* cancel = std::get_if<LinkCancel>(&aFrame)) {
            m_cancelled.push_back(cancel->m_call);
          } else if (const auto* call = std::get_if<CallRequest>(&aFrame)) {
            m_requests.push_back(call->m_call);
          }
        },
      .m_onClosed = [this](const LinkConnection&) { ++m_closed; } }
  };
  std::string m_unsent;
};

}

TEST_CASE("an attempt that is cancelled before it is read does not start")
{
  // Guards against runs of a late daemon for callers that have left.
  LateServer server;
  SUBCASE("in one read")
  {
    server.Queue(MakeRequest(7));
  }
  SUBCASE("the cancellation is several reads behind it")
  {
    server.Queue(MakeRequest(7, 10'000));
    for (std::uint64_t call = 20; call < 24; ++call) {
      server.Queue(MakeRequest(call, 10'000));
      server.Queue(LinkCancel{ call, true });
    }
  }
  server.Queue(LinkCancel{ 7, true });
  server.Queue(MakeRequest(8));
  server.Send();
  REQUIRE(server.RunUntil([&] { return !server.m_requests.empty(); }));
  CHECK(server.m_requests == Calls{ 8 });
  REQUIRE_FALSE(server.m_cancelled.empty());
  CHECK(server.m_cancelled.back() == 7);
}

TEST_CASE("an attempt whose link the peer has closed does not start")
{
  // Guards against runs for a daemon that has given the link up.
  LateServer server;
  server.Queue(MakeRequest(7));
  server.Send();
  SUBCASE("closed") {}
  SUBCASE("reset")
  {
    server.m_peer.set_option(asio::socket_base::linger{ true, 0 });
  }
  server.m_peer.close();
  REQUIRE(server.RunUntil([&] { return server.m_closed == 1; }));
  CHECK(server.m_requests.empty());
}

TEST_CASE("attempts start although more is received all the time")
{
  // Guards against calls that wait behind the body of another one.
  constexpr std::size_t kMoreBytes = 4UL * 1024 * 1024;
  LateServer server;
  server.Queue(MakeRequest(7));
  server.Queue(MakeRequest(8, kMoreBytes));
  server.SendInBackground();
  REQUIRE(server.RunUntil([&] { return !server.m_requests.empty(); }));
  CHECK(server.m_requests == Calls{ 7 });
  CHECK(server.RunUntil([&] { return server.m_requests.size() == 2; }));
}
