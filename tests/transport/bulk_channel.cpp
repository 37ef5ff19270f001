#include "greengagehub/transport/bulk_channel.hpp"

#include "all_descriptors.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

/// Two ends on one loop.
struct Channels
{
  asio::io_context m_loop;
  BulkChannel m_server{ m_loop,
                        "127.0.0.1",
                        0,
                        [](const PullRequest&) { return PullAnswer{}; },
                        [](const PullRequest&, std::size_t) {} };
  BulkChannel m_client{ m_loop,
                        "127.0.0.1",
                        0,
                        [](const PullRequest&) { return PullAnswer{}; },
                        [](const PullRequest&, std::size_t) {} };

  /// \returns Whether an answer arrived.
  [[nodiscard]] bool Pull(std::chrono::milliseconds aTimeout)
  {
    std::optional<bool> isAnswered;
    const MemberAddress server{ "127.0.0.1", 0, m_server.Port(), 0 };
    static_cast<void>(m_client.Pull(
      server, PullRequest{}, aTimeout, [&](std::optional<PullAnswer> aAnswer) {
        isAnswered = aAnswer.has_value();
      }));
    while (!isAnswered && m_loop.run_one_for(10s) > 0) {
    }
    return isAnswered.value_or(false);
  }
};

}

TEST_CASE("a pull without a descriptor for its socket is not answered")
{
  // Guards against a process that ends when its descriptors are used up.
  Channels channels;
  REQUIRE(channels.Pull(10s));
  {
    const AllDescriptors used;
    CHECK_FALSE(channels.Pull(100ms));
    CHECK(channels.m_client.Counts().m_failed == 1);
  }
  CHECK(channels.Pull(10s));
}
