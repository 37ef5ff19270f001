#include "group.hpp"

#include <doctest/doctest.h>

// Members of several failure domains, between which bytes are dear. What
// crosses must not grow with the members, and news must cross all the same,
// whoever of those that carry it is lost.

using namespace greengagehub;
using namespace std::chrono_literals;
using test::Group;

namespace {

constexpr int kDomains = 5;
/// Each speaker probes once a period, and is answered.
constexpr std::uint64_t kCrossings = 2ULL * kDomains * Membership::kSpeakers;

}

TEST_CASE("messages between domains do not grow with the members")
{
  // Each of 295 daemons probed any member each second: 240 probes a second
  // crossed on a day on which no call needed to, 32 MB in 50 s.
  for (const std::uint16_t count : { 20, 60, 120 }) {
    CAPTURE(count);
    Group group{ count, kDomains };
    group.Run(10s);
    const std::uint64_t before = group.FarSends();
    group.Run(20s);
    CHECK(group.FarSends() - before <= 20 * kCrossings);
    CHECK(group.FarSends() - before >= 10 * kCrossings);
    CHECK(group.At(1).Members().Present() + 1 == count);
  }
}

TEST_CASE("a leave and a death are known in all domains within seconds")
{
  // Each domain's news crosses by its two speakers and by those that probe it.
  constexpr std::uint16_t kCount = 60;
  Group group{ kCount, kDomains };
  group.Carry(7, group.At(7).Announce(MemberState::Leaving));
  group.Run(8s);
  CHECK(group.CountSeeing(7, MemberState::Leaving) == kCount - 1);
  group.Kill(13);
  // Suspected within a period or two, and then given the time to refute.
  group.Run(20s);
  CHECK(group.CountSeeing(13, MemberState::Dead) == kCount - 1);
}

TEST_CASE("news crosses although both speakers of its domain have been killed")
{
  constexpr std::uint16_t kCount = 60;
  Group group{ kCount, kDomains };
  std::vector<std::uint16_t> speakers;
  std::uint16_t other = 0;
  for (std::uint16_t i = kDomains; i <= kCount; i += kDomains) {
    if (group.At(i).SpeaksForDomain()) {
      speakers.push_back(i);
    } else {
      other = i;
    }
  }
  REQUIRE(speakers.size() == Membership::kSpeakers);
  group.Carry(other, group.At(other).Announce(MemberState::Leaving));
  for (const std::uint16_t each : speakers) {
    group.Kill(each);
  }
  group.Run(15s);
  CHECK(group.CountSeeing(other, MemberState::Leaving) ==
        kCount - 1 - speakers.size());
  std::size_t successors = 0;
  for (std::uint16_t i = kDomains; i <= kCount; i += kDomains) {
    const bool killed =
      std::find(speakers.begin(), speakers.end(), i) != speakers.end();
    successors += !killed && group.At(i).SpeaksForDomain() ? 1 : 0;
  }
  CHECK(successors == Membership::kSpeakers);
}

TEST_CASE("domains that were cut off from each other find each other again")
{
  // For a minute nothing crosses. Each side takes the other for dead; within a
  // minute after the cut all see all, with nobody's help from outside.
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

TEST_CASE("after all lost power the domains find each other again")
{
  // Each joins those of its own domain and remembers nobody else. The domains
  // stayed apart for good: one that had no worker of a service refused all
  // calls for it from then on (a small deployment lost a third of its worth).
  constexpr std::uint16_t kCount = 30;
  Group group{ kCount, kDomains };
  group.RestartAll(2);
  group.Run(10s);
  for (std::uint16_t i = 1; i <= kCount; ++i) {
    CHECK(group.At(i).Members().Present() + 1 == kCount);
  }
}
