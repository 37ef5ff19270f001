#include "greengagehub/transport/unconfirmed_cancels.hpp"
#include "greengagehub/transport/link_pool.hpp"
#include "greengagehub/transport/link_server.hpp"
#include "run_until.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

using Calls = std::vector<std::uint64_t>;

const TimePoint kNow{ 1h };

/// A link between two processes whose connection can be lost.
class LostLink
{
public:
  LostLink()
    : m_server(MakeServer(2))
    , m_pool(m_loop, LinkHello{ "caller", 1, 0 }, {}, m_traffic, Handlers())
    , m_address{ "127.0.0.1", 0, 0, m_server->Port() }
  {
  }

  void SendRequest(std::uint64_t aCall)
  {
    CallRequest request;
    request.m_call = aCall;
    m_pool.Send("callee", m_address, request);
  }
  CancelDelivery Cancel(std::uint64_t aCall,
                        TimePoint aUntil = TimePoint::max())
  {
    return m_pool.Cancel("callee", { aCall, true }, aUntil);
  }
  /// Replaces the peer's process, at the same address.
  [[nodiscard]] bool RestartPeer(std::uint64_t aProcess)
  {
    m_server->CloseAll();
    const bool isLost = RunUntil([&] { return m_lost == 1; });
    m_server.reset();
    m_server = MakeServer(aProcess, m_address.m_linkPort);
    return isLost;
  }
  /// Advances the time of the pool, by which it sends pings and reconnects.
  void Tick() { m_pool.OnTick(Clock::now() + 600ms); }

  template<class Condition>
  [[nodiscard]] bool RunUntil(Condition aCondition)
  {
    return greengagehub::RunUntil(m_loop, aCondition);
  }

  asio::io_context m_loop;
  TrafficMeter m_traffic;
  Calls m_requests;
  Calls m_cancelled;
  int m_connected{ 0 };
  int m_lost{ 0 };
  int m_pings{ 0 };
  int m_resent{ 0 };
  std::unique_ptr<LinkServer> m_server;
  LinkPool m_pool;
  MemberAddress m_address;

private:
  std::unique_ptr<LinkServer> MakeServer(std::uint64_t aProcess,
                                         std::uint16_t aPort = 0)
  {
    return std::make_unique<LinkServer>(
      m_loop,
      "127.0.0.1",
      aPort,
      LinkHello{ "callee", aProcess, 0 },
      m_traffic,
      LinkServer::Handlers{
        .m_onNewEpoch = [](std::uint64_t, std::uint64_t) {},
        .m_onFrame =
          [this](LinkConnection&, const LinkFrame& aFrame) {
            if (const auto* cancel = std::get_if<LinkCancel>(&aFrame)) {
              m_cancelled.push_back(cancel->m_call);
            } else if (const auto* call = std::get_if<CallRequest>(&aFrame)) {
              m_requests.push_back(call->m_call);
            }
          } });
  }
  LinkPool::Handlers Handlers()
  {
    return { .m_onFrame = [](const std::string&, const LinkFrame&) {},
             .m_onConnected = [this](const std::string&,
                                     std::uint64_t) { ++m_connected; },
             .m_onConnectionLost = [this](const std::string&) { ++m_lost; },
             .m_onProcessLost = [](const std::string&) {},
             .m_onSent = [](std::uint64_t, std::uint64_t) {},
             .m_onSendFailed = [](std::uint64_t) {},
             .m_onCancelResent = [this] { ++m_resent; } };
  }
};

}

TEST_CASE("a pong confirms the cancellations sent before its ping")
{
  UnconfirmedCancels cancels;
  CHECK(cancels.Add(kNow, 1, kNow + 1s));
  cancels.OnPing(7);
  CHECK(cancels.Add(kNow, 2, kNow + 1s));
  cancels.OnPong(6);
  CHECK(cancels.Count() == 2);
  cancels.OnPong(7);
  CHECK(cancels.Resend(kNow) == Calls{ 2 });
}

TEST_CASE("cancellations that a new link repeats need another pong")
{
  UnconfirmedCancels cancels;
  CHECK(cancels.Add(kNow, 1, kNow + 1s));
  cancels.OnPing(7);
  CHECK(cancels.Resend(kNow) == Calls{ 1 });
  cancels.OnPong(7);
  CHECK(cancels.Count() == 1);
}

TEST_CASE("cancellations are kept until the deadlines of their calls, in a "
          "limited number")
{
  UnconfirmedCancels cancels;
  CHECK_FALSE(cancels.Add(kNow, 1, kNow));
  CHECK(cancels.Add(kNow, 2, kNow + 1s));
  CHECK(cancels.Add(kNow, 3, kNow + 2s));
  CHECK(cancels.Resend(kNow + 1s) == Calls{ 3 });
  for (std::uint64_t call = 4; cancels.Count() < UnconfirmedCancels::kMaxCount;
       ++call) {
    REQUIRE(cancels.Add(kNow, call, kNow + 2s));
  }
  CHECK_FALSE(cancels.Add(kNow, 1, kNow + 2s));
}

TEST_CASE("a cancellation reaches its peer on the next link")
{
  // Guards against cancellations that are lost with their link.
  LostLink link;
  link.SendRequest(1);
  REQUIRE(link.RunUntil([&] { return link.m_requests == Calls{ 1 }; }));
  link.m_server->CloseAll();
  SUBCASE("sent while the link is down")
  {
    REQUIRE(link.RunUntil([&] { return link.m_lost == 1; }));
    CHECK(link.Cancel(1) == CancelDelivery::Kept);
  }
  SUBCASE("sent on a link that the peer no longer reads")
  {
    CHECK(link.Cancel(1) == CancelDelivery::Sent);
    REQUIRE(link.RunUntil([&] { return link.m_lost == 1; }));
  }
  link.Tick();
  CHECK(link.RunUntil([&] { return link.m_cancelled == Calls{ 1 }; }));
  CHECK(link.m_resent == 1);
}

TEST_CASE("a cancellation that its peer has confirmed is not repeated")
{
  LostLink link;
  link.SendRequest(1);
  REQUIRE(link.RunUntil([&] { return link.m_requests == Calls{ 1 }; }));
  CHECK(link.Cancel(1) == CancelDelivery::Sent);
  link.Tick();
  link.SendRequest(2);
  REQUIRE(link.RunUntil([&] { return link.m_requests.size() == 2; }));
  // The pong precedes the end of the connection.
  link.m_server->CloseAll();
  REQUIRE(link.RunUntil([&] { return link.m_lost == 1; }));
  link.Tick();
  REQUIRE(link.RunUntil([&] { return link.m_connected == 2; }));
  CHECK(link.m_resent == 0);
}

TEST_CASE("a cancellation is not sent to the successor of its peer")
{
  // Guards against cancelling the attempts of another process.
  LostLink link;
  link.SendRequest(1);
  REQUIRE(link.RunUntil([&] { return link.m_requests == Calls{ 1 }; }));
  REQUIRE(link.RestartPeer(3));
  CHECK(link.Cancel(1) == CancelDelivery::Kept);
  link.Tick();
  REQUIRE(link.RunUntil([&] { return link.m_connected == 2; }));
  CHECK(link.m_resent == 0);
  CHECK(link.m_cancelled.empty());
}
