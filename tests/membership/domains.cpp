#include "group.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;
using test::Group;

namespace {

constexpr int kDomains = 5;
/// Each relay sends one probe per period, which is answered by an ack.
constexpr std::uint64_t kCrossingsPerSecond =
  2ULL * kDomains * Membership::kRelaysPerDomain;

}

TEST_CASE("traffic between domains does not grow with the number of members")
{
  for (const std::uint16_t count : { 20, 60, 120 }) {
    CAPTURE(count);
    Group group{ count, kDomains };
    group.Run(10s);
    const std::uint64_t before = group.CrossDomainSends();
    group.Run(20s);
    CHECK(group.CrossDomainSends() - before <= 20 * kCrossingsPerSecond);
    CHECK(group.CrossDomainSends() - before >= 10 * kCrossingsPerSecond);
    CHECK(group.At(1).Members().Present() + 1 == count);
  }
}

TEST_CASE("draining and dead members are known in all domains within seconds")
{
  constexpr std::uint16_t kCount = 60;
  Group group{ kCount, kDomains };
  group.Send(7, group.At(7).Announce(MemberState::Leaving));
  group.Run(8s);
  CHECK(group.CountSeeing(7, MemberState::Leaving) == kCount - 1);
  group.Kill(13);
  // Covers the probe periods and the suspicion timeout.
  group.Run(20s);
  CHECK(group.CountSeeing(13, MemberState::Dead) == kCount - 1);
}

TEST_CASE(
  "updates reach other domains after both relays of a domain are killed")
{
  constexpr std::uint16_t kCount = 60;
  Group group{ kCount, kDomains };
  std::vector<std::uint16_t> relays;
  std::uint16_t other = 0;
  for (std::uint16_t i = kDomains; i <= kCount; i += kDomains) {
    if (group.At(i).IsDomainRelay()) {
      relays.push_back(i);
    } else {
      other = i;
    }
  }
  REQUIRE(relays.size() == Membership::kRelaysPerDomain);
  group.Send(other, group.At(other).Announce(MemberState::Leaving));
  for (const std::uint16_t each : relays) {
    group.Kill(each);
  }
  group.Run(15s);
  CHECK(group.CountSeeing(other, MemberState::Leaving) ==
        kCount - 1 - relays.size());
  std::size_t successors = 0;
  for (std::uint16_t i = kDomains; i <= kCount; i += kDomains) {
    const bool killed =
      std::find(relays.begin(), relays.end(), i) != relays.end();
    successors += !killed && group.At(i).IsDomainRelay() ? 1 : 0;
  }
  CHECK(successors == Membership::kRelaysPerDomain);
}

TEST_CASE("domains rejoin after a network partition")
{
  // Relays must probe members that they treat as dead.
  constexpr std::uint16_t kCount = 30;
  Group group{ kCount, kDomains };
  group.SetCut([](std::uint16_t aFrom, std::uint16_t aTo) {
    return aFrom % kDomains != aTo % kDomains;
  });
  group.Run(90s);
  CHECK(group.At(1).Members().Present() < kCount / 2);
  group.SetCut([](std::uint16_t, std::uint16_t) { return false; });
  group.Run(60s);
  for (std::uint16_t i = 1; i <= kCount; ++i) {
    CHECK(group.At(i).Members().Present() + 1 == kCount);
  }
}

TEST_CASE("domains rejoin after all daemons restart at once")
{
  // Each daemon joins through its own domain, so without DomainDiscovery the
  // domains would stay separate.
  constexpr std::uint16_t kCount = 30;
  Group group{ kCount, kDomains };
  group.RestartAll(2);
  group.Run(10s);
  for (std::uint16_t i = 1; i <= kCount; ++i) {
    CHECK(group.At(i).Members().Present() + 1 == kCount);
  }
}

TEST_CASE("the readers of all domains have positions of their own")
{
  // Guards against readers whose watches end together.
  constexpr std::uint16_t kCount = 21;
  Group group{ kCount, kDomains };
  std::set<std::size_t> positions;
  for (std::uint16_t i = 1; i <= kCount; ++i) {
    const ReaderPosition position = group.At(i).PositionAmongReaders();
    CHECK(position.m_count == kDomains * Membership::kRelaysPerDomain);
    if (group.At(i).IsDomainRelay()) {
      CHECK(position.m_index < position.m_count);
      CHECK(positions.insert(position.m_index).second);
    }
  }
  CHECK(positions.size() == kDomains * Membership::kRelaysPerDomain);
}

TEST_CASE("a domain of one member counts as one reader")
{
  Group group{ 4, 3 };
  std::set<std::size_t> positions;
  for (std::uint16_t i = 1; i <= 4; ++i) {
    const ReaderPosition position = group.At(i).PositionAmongReaders();
    CHECK(position.m_count == 4);
    positions.insert(position.m_index);
  }
  CHECK(positions == std::set<std::size_t>{ 0, 1, 2, 3 });
}
