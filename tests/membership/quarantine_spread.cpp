#include "group.hpp"

#include "greengagehub/quarantine/quarantine.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;
using test::Record;

namespace {

/// Bounds of the network and processing delay of a datagram.
constexpr Duration kMinLatency = 500us;
constexpr Duration kMaxLatency = 5ms;
/// One receiver in ten is not scheduled for up to kMaxStall.
constexpr std::uint64_t kStalledOneIn = 10;
constexpr Duration kMaxStall = 100ms;
constexpr std::uint64_t kLossPercent = 3;
/// Fanout of ControlPlane::Spread.
constexpr std::size_t kFanout = 4;

struct SpreadResult
{
  std::size_t m_missed{ 0 };
  Duration m_lastDelivery{};
};

/// The origin sends the update to kFanout members of its domain and two of each
/// other domain; each receiver forwards it to kFanout members of its own
/// domain.
SpreadResult
SimulateSpread(std::uint16_t aCount, int aDomains, std::uint64_t aSeed)
{
  std::vector<MemberRecord> records;
  for (std::uint16_t i = 1; i <= aCount; ++i) {
    records.push_back(Record(i, 1, i % aDomains));
  }
  std::vector<Membership> members;
  for (std::uint16_t i = 1; i <= aCount; ++i) {
    members.emplace_back(
      records[i - 1U], MembershipSettings{}, aSeed * 1000 + i);
    static_cast<void>(members.back().OnRecords(TimePoint{ 1h }, records));
  }
  Random random{ aSeed * 0x9E3779B97F4A7C15U };
  const auto between = [&](Duration aLow, Duration aHigh) {
    const auto span = static_cast<std::uint64_t>((aHigh - aLow).count());
    return aLow + Duration{ static_cast<Duration::rep>(Below(random, span)) };
  };
  std::multimap<Duration, std::uint16_t> arriving{ { 0ms, 1 } };
  std::set<std::uint16_t> received;
  SpreadResult result;
  while (!arriving.empty()) {
    const auto [now, member] = *arriving.begin();
    arriving.erase(arriving.begin());
    const bool isOrigin = received.empty();
    if (!received.insert(member).second) {
      continue;
    }
    result.m_lastDelivery = now;
    Membership& here = members[member - 1U];
    auto targets = here.SampleOwnDomain(kFanout);
    if (isOrigin) {
      for (const auto& far :
           { here.SampleOtherDomains(), here.SampleOtherDomains() }) {
        targets.insert(targets.end(), far.begin(), far.end());
      }
    }
    for (const MemberPeer& each : targets) {
      if (Below(random, 100) < kLossPercent) {
        continue;
      }
      const bool stalled = Below(random, kStalledOneIn) == 0;
      arriving.emplace(now + between(kMinLatency, kMaxLatency) +
                         (stalled ? between(0ms, kMaxStall) : 0ms),
                       each.m_address.m_gossipPort);
    }
  }
  result.m_missed = aCount - received.size();
  return result;
}

}

TEST_CASE("a quarantine update reaches nearly all daemons within half a second")
{
  // Daemons that the datagrams miss receive the update with a probe.
  std::uint16_t count = 9;
  int domains = 3;
  SUBCASE("9 daemons") {}
  SUBCASE("60 daemons")
  {
    count = 60;
    domains = 4;
  }
  SUBCASE("295 daemons")
  {
    count = 295;
    domains = 5;
  }
  constexpr std::uint64_t kRuns = 20;
  Duration longest{};
  std::size_t missed = 0;
  std::size_t maxMissed = 0;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    const SpreadResult spread = SimulateSpread(count, domains, seed);
    longest = std::max(longest, spread.m_lastDelivery);
    missed += spread.m_missed;
    maxMissed = std::max(maxMissed, spread.m_missed);
  }
  MESSAGE(
    count
    << " daemons: last delivery within "
    << std::chrono::duration_cast<std::chrono::milliseconds>(longest).count()
    << " ms; missed " << missed << " of " << count * kRuns
    << ", at most in one run " << maxMissed);
  CHECK(longest < 500ms);
  // With a fanout of 4, about one member in e^4 is not reached, and slightly
  // more because of lost datagrams.
  CHECK(missed * 20 <= count * kRuns);
}
