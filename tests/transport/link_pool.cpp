#include "greengagehub/transport/link_pool.hpp"
#include "greengagehub/transport/link_server.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace greengagehub;

TEST_CASE("a request is never handed to another instance at the same address")
{
  // An instance is lost for good, and its address is given to another one
  // with another service. A caller's daemon that still knows the old one opens
  // a link there and would send a release to a ledger. The greeting names the
  // instance: the request is reported as not sent, and the old one as gone.
  asio::io_context loop;
  int received = 0;
  TrafficMeter traffic;
  LinkServer stranger{ loop,
                       "127.0.0.1",
                       0,
                       LinkHello{ "new-instance", 2, 0 },
                       traffic,
                       { .m_onEpoch = [](std::uint64_t, std::uint64_t) {},
                         .m_onFrame = [&](LinkConnection&,
                                          const LinkFrame&) { ++received; } } };
  std::vector<std::uint64_t> notSent;
  std::vector<std::string> gone;
  LinkPool::Handlers handlers;
  handlers.m_onFrame = [](const std::string&, const LinkFrame&) {};
  handlers.m_onUp = [](const std::string&, std::uint64_t) {};
  handlers.m_onLost = [](const std::string&) {};
  handlers.m_onRefused = [&](const std::string& aSlot) {
    gone.push_back(aSlot);
  };
  handlers.m_onSent = [](std::uint64_t, std::uint64_t) {};
  handlers.m_onNotSent = [&](std::uint64_t aAttempt) {
    notSent.push_back(aAttempt);
  };
  LinkPool pool{
    loop, LinkHello{ "caller", 1, 0 }, {}, traffic, std::move(handlers)
  };
  CallRequest request;
  request.m_call = 7;
  pool.Send("old-instance",
            MemberAddress{ "127.0.0.1", 0, 0, stranger.Port() },
            std::move(request));
  while (gone.empty() && loop.run_one_for(std::chrono::seconds{ 10 }) > 0) {
  }
  CHECK(notSent == std::vector<std::uint64_t>{ 7 });
  CHECK(gone == std::vector<std::string>{ "old-instance" });
  loop.poll();
  CHECK(received == 0);
}
