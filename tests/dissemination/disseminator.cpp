#include "greengagehub/dissemination/disseminator.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };
const MemberPeer kPeer{ { "127.0.0.1", 1, 2, 3 }, true };

void
Advance(ConfigHolder& aHolder, int aCount, std::size_t aPadding = 0)
{
  for (int i = 0; i < aCount; ++i) {
    const ActiveConfig& active = *aHolder.Active();
    const Version next = active.m_version.Next();
    const std::string patch = fmt::format(R"({{"services":{{"s{}":{{}}}}{}}})",
                                          next.m_number,
                                          std::string(aPadding, ' '));
    Content content = active.m_content;
    REQUIRE(content.Apply(patch).empty());
    REQUIRE(aHolder.Stage({ next,
                            patch,
                            NextChain(active.m_chain, next, patch),
                            content.GetDigest() }) == StageResult::Applied);
  }
}

}

TEST_CASE("new versions that fit into a datagram are pushed")
{
  ConfigHolder holder;
  Advance(holder, 3);
  const std::size_t maxBytes = DisseminationSettings{}.m_maxDatagramBytes;
  CHECK(EntriesToPush(holder, Version{ 1 }, maxBytes).size() == 2);
  ConfigHolder large;
  Advance(large, 3, 2000);
  CHECK(EntriesToPush(large, Version{ 0 }, maxBytes).empty());
}

TEST_CASE("a lagging peer receives the next versions in order")
{
  ConfigHolder holder;
  Advance(holder, 40);
  const Disseminator disseminator{ {}, 1 };
  const auto repair = disseminator.EntriesToRepair(holder, Version{ 10 });
  REQUIRE(repair.size() > 2);
  CHECK(repair.front().m_version.m_number == 11);
}

TEST_CASE("a pull is delayed in favour of a pending push")
{
  // An immediate pull would transfer every version twice.
  ConfigHolder holder;
  Disseminator disseminator{ {}, 1 };
  disseminator.OnDigest(kStart, holder, { Version{ 1 }, {} }, kPeer);
  CHECK_FALSE(disseminator.NextPull(kStart, holder));
  CHECK(disseminator.NextPull(kStart + 200ms, holder));
}

TEST_CASE("a pull without a result is retried from another peer")
{
  ConfigHolder holder;
  Disseminator disseminator{ {}, 1 };
  disseminator.OnDigest(kStart, holder, { Version{ 1 }, {} }, kPeer);
  REQUIRE(disseminator.NextPull(kStart + 200ms, holder));
  CHECK_FALSE(disseminator.NextPull(kStart + 300ms, holder));
  disseminator.OnPullEnded(kPeer);
  disseminator.OnDigest(kStart + 1s, holder, { Version{ 1 }, {} }, kPeer);
  CHECK(disseminator.NextPull(kStart + 2s, holder));
}

TEST_CASE("two sources in a row that do not answer delay a pull by two hedges")
{
  // Guards against waiting for a peer that has stopped while others that
  // reported the version are known.
  ConfigHolder holder;
  const DisseminationSettings settings{};
  Disseminator disseminator{ settings, 1 };
  for (const std::uint16_t port : { 1, 2, 3, 4 }) {
    disseminator.OnDigest(kStart,
                          holder,
                          { Version{ 1 }, {} },
                          { { "127.0.0.1", port, port, 0 }, false });
  }
  std::vector<MemberPeer> asked;
  const TimePoint end =
    kStart + settings.m_pullDelay + 2 * settings.m_hedgeDelay;
  for (TimePoint now = kStart; now <= end; now += 10ms) {
    if (const auto peer = disseminator.NextPull(now, holder)) {
      CHECK(std::ranges::find(asked, *peer) == asked.end());
      asked.push_back(*peer);
    }
  }
  CHECK(asked.size() == 3);
  // No more than three at a time load the links.
  CHECK_FALSE(disseminator.NextPull(end + 1s, holder));
}

TEST_CASE("another domain is asked if the own one does not answer")
{
  // Guards against a domain whose only source has stopped.
  ConfigHolder holder;
  const DisseminationSettings settings{};
  Disseminator disseminator{ settings, 1 };
  const MemberPeer own{ { "127.0.0.2", 1, 2, 3 }, false };
  disseminator.OnDigest(kStart, holder, { Version{ 2 }, {} }, kPeer);
  disseminator.OnDigest(kStart, holder, { Version{ 1 }, {} }, own);
  CHECK(disseminator.NextPull(kStart + 200ms, holder) == own);
  CHECK_FALSE(disseminator.NextPull(kStart + 300ms, holder));
  CHECK(disseminator.NextPull(kStart + 200ms + settings.m_hedgeDelay, holder) ==
        kPeer);
}

TEST_CASE("a pull that ends without the version is followed by another")
{
  // Guards against forgetting the other sources with the one that failed.
  ConfigHolder holder;
  Disseminator disseminator{ {}, 1 };
  for (const std::uint16_t port : { 1, 2 }) {
    disseminator.OnDigest(kStart,
                          holder,
                          { Version{ 1 }, {} },
                          { { "127.0.0.1", port, port, 0 }, false });
  }
  const auto first = disseminator.NextPull(kStart + 200ms, holder);
  REQUIRE(first);
  disseminator.OnPullEnded(*first);
  const auto second = disseminator.NextPull(kStart + 210ms, holder);
  REQUIRE(second);
  CHECK_FALSE(*second == *first);
}

TEST_CASE("a version that arrived by push is not pulled")
{
  ConfigHolder holder;
  Disseminator disseminator{ {}, 1 };
  disseminator.OnDigest(kStart, holder, { Version{ 1 }, {} }, kPeer);
  Advance(holder, 1);
  CHECK_FALSE(disseminator.NextPull(kStart + 1s, holder));
}

TEST_CASE("a peer of the own domain is preferred over other domains")
{
  ConfigHolder holder;
  Disseminator disseminator{ { .m_otherDomainDelay = 400ms }, 1 };
  const MemberPeer ownDomainPeer{ { "127.0.0.2", 1, 2, 3 }, false };
  disseminator.OnDigest(kStart, holder, { Version{ 1 }, {} }, kPeer);
  CHECK_FALSE(disseminator.NextPull(kStart + 300ms, holder));
  SUBCASE("a peer of the own domain has it")
  {
    disseminator.OnDigest(
      kStart + 100ms, holder, { Version{ 1 }, {} }, ownDomainPeer);
    const auto source = disseminator.NextPull(kStart + 300ms, holder);
    REQUIRE(source);
    CHECK(*source == ownDomainPeer);
  }
  SUBCASE("no peer of the own domain has it")
  {
    CHECK(disseminator.NextPull(kStart + 600ms, holder));
  }
}
