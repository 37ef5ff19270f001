#include "greengagehub/transport/link_pool.hpp"
#include "greengagehub/transport/codec.hpp"
#include "greengagehub/transport/link_server.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

LinkPool::Handlers
NoOpHandlers()
{
  LinkPool::Handlers handlers;
  handlers.m_onFrame = [](const std::string&, const LinkFrame&) {};
  handlers.m_onConnected = [](const std::string&, std::uint64_t) {};
  handlers.m_onConnectionLost = [](const std::string&) {};
  handlers.m_onProcessLost = [](const std::string&) {};
  handlers.m_onSent = [](std::uint64_t, std::uint64_t) {};
  handlers.m_onSendFailed = [](std::uint64_t) {};
  return handlers;
}

CallRequest
MakeRequest(std::uint64_t aCall)
{
  CallRequest request;
  request.m_call = aCall;
  return request;
}

}

TEST_CASE("a request is not sent to another instance at the same address")
{
  // Guards against sending a call to the wrong service when the address of a
  // lost instance is reused.
  asio::io_context loop;
  int received = 0;
  TrafficMeter traffic;
  LinkServer otherInstance{
    loop,
    "127.0.0.1",
    0,
    LinkHello{ "new-instance", 2, 0 },
    traffic,
    { .m_onNewEpoch = [](std::uint64_t, std::uint64_t) {},
      .m_onFrame = [&](LinkConnection&, const LinkFrame&) { ++received; } }
  };
  std::vector<std::uint64_t> notSent;
  std::vector<std::string> lostSlots;
  LinkPool::Handlers handlers = NoOpHandlers();
  handlers.m_onProcessLost = [&](const std::string& aSlot) {
    lostSlots.push_back(aSlot);
  };
  handlers.m_onSendFailed = [&](std::uint64_t aAttempt) {
    notSent.push_back(aAttempt);
  };
  LinkPool pool{
    loop, LinkHello{ "caller", 1, 0 }, {}, traffic, std::move(handlers)
  };
  CallRequest request;
  request.m_call = 7;
  pool.Send("old-instance",
            MemberAddress{ "127.0.0.1", 0, 0, otherInstance.Port() },
            std::move(request));
  while (lostSlots.empty() &&
         loop.run_one_for(std::chrono::seconds{ 10 }) > 0) {
  }
  CHECK(notSent == std::vector<std::uint64_t>{ 7 });
  CHECK(lostSlots == std::vector<std::string>{ "old-instance" });
  loop.poll();
  CHECK(received == 0);
}

TEST_CASE("a link to a lost instance does not close the one to its successor")
{
  // Guards against calls that are broken off while their workers run them,
  // because the caller still looks for the instance that had the address.
  asio::io_context loop;
  TrafficMeter traffic;
  int epochs = 0;
  LinkServer successor{
    loop,
    "127.0.0.1",
    0,
    LinkHello{ "new-instance", 2, 0 },
    traffic,
    { .m_onNewEpoch = [&](std::uint64_t, std::uint64_t) { ++epochs; },
      .m_onFrame = [](LinkConnection&, const LinkFrame&) {} }
  };
  std::vector<std::string> connected;
  std::vector<std::string> lostLinks;
  std::vector<std::string> lostProcesses;
  LinkPool::Handlers handlers = NoOpHandlers();
  handlers.m_onConnected = [&](const std::string& aSlot, std::uint64_t) {
    connected.push_back(aSlot);
  };
  handlers.m_onConnectionLost = [&](const std::string& aSlot) {
    lostLinks.push_back(aSlot);
  };
  handlers.m_onProcessLost = [&](const std::string& aSlot) {
    lostProcesses.push_back(aSlot);
  };
  LinkPool pool{
    loop, LinkHello{ "caller", 1, 0 }, {}, traffic, std::move(handlers)
  };
  const MemberAddress address{ "127.0.0.1", 0, 0, successor.Port() };
  const auto runUntil = [&](const auto& aCondition) {
    while (!aCondition() && loop.run_one_for(std::chrono::seconds{ 10 }) > 0) {
    }
    return aCondition();
  };
  pool.Send("new-instance", address, MakeRequest(1));
  REQUIRE(runUntil([&] { return connected.size() == 1; }));
  pool.Send("old-instance", address, MakeRequest(2));
  REQUIRE(runUntil([&] { return !lostProcesses.empty(); }));
  while (loop.poll() > 0) {
  }
  CHECK(lostProcesses == std::vector<std::string>{ "old-instance" });
  CHECK(lostLinks.empty());
  CHECK(epochs == 1);
}

TEST_CASE("bytes queued on a silent link are discarded when it is closed")
{
  // Guards against requests that are delivered after a network outage, when
  // their callers have given up.
  asio::io_context loop;
  asio::ip::tcp::acceptor peer{ loop, { asio::ip::address_v4::loopback(), 0 } };
  TrafficMeter traffic;
  bool connected = false;
  bool lost = false;
  LinkPool::Handlers handlers = NoOpHandlers();
  handlers.m_onConnected = [&](const std::string&, std::uint64_t) {
    connected = true;
  };
  handlers.m_onConnectionLost = [&](const std::string&) { lost = true; };
  LinkPoolSettings settings;
  settings.m_silenceTimeout = std::chrono::milliseconds{ 50 };
  LinkPool pool{
    loop, LinkHello{ "caller", 1, 0 }, settings, traffic, std::move(handlers)
  };
  const auto runUntil = [&](const bool& aCondition) {
    while (!aCondition && loop.run_one_for(std::chrono::seconds{ 10 }) > 0) {
    }
    REQUIRE(aCondition);
  };
  CallRequest request;
  request.m_call = 7;
  const MemberAddress address{
    "127.0.0.1", 0, 0, peer.local_endpoint().port()
  };
  pool.Send("callee", address, request);
  asio::ip::tcp::socket socket{ loop };
  std::string hello;
  AppendFrame(hello, LinkHello{ "callee", 2, 1 });
  peer.async_accept(socket, [&](const asio::error_code& aError) {
    REQUIRE_FALSE(aError);
    asio::write(socket, asio::buffer(hello));
  });
  runUntil(connected);
  // Exceeds the socket buffers of both ends, so that bytes remain unsent.
  request.m_body = std::string(1'000'000, 'x');
  for (std::uint64_t call = 8; call < 40; ++call) {
    request.m_call = call;
    pool.Send("callee", address, request);
  }
  const TimePoint later = Clock::now() + std::chrono::seconds{ 1 };
  pool.OnTick(later);
  runUntil(lost);
  asio::error_code end;
  std::array<char, 65536> buffer{};
  while (!end) {
    socket.read_some(asio::buffer(buffer), end);
  }
  CHECK(end == asio::error::connection_reset);
}

TEST_CASE("a request that is canceled while the link opens is not sent")
{
  asio::io_context loop;
  std::vector<std::uint64_t> received;
  TrafficMeter traffic;
  LinkServer callee{ loop,
                     "127.0.0.1",
                     0,
                     LinkHello{ "callee", 2, 0 },
                     traffic,
                     { .m_onNewEpoch = [](std::uint64_t, std::uint64_t) {},
                       .m_onFrame =
                         [&](LinkConnection&, const LinkFrame& aFrame) {
                           received.push_back(
                             std::get<CallRequest>(aFrame).m_call);
                         } } };
  LinkPool pool{
    loop, LinkHello{ "caller", 1, 0 }, {}, traffic, NoOpHandlers()
  };
  const MemberAddress address{ "127.0.0.1", 0, 0, callee.Port() };
  CallRequest request;
  request.m_call = 7;
  pool.Send("callee", address, request);
  CHECK(pool.Cancel("callee", { 7, true }, TimePoint::max()) ==
        CancelDelivery::Withdrawn);
  request.m_call = 8;
  pool.Send("callee", address, request);
  while (received.empty() && loop.run_one_for(std::chrono::seconds{ 10 }) > 0) {
  }
  CHECK(received == std::vector<std::uint64_t>{ 8 });
}
