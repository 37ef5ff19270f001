#include "fleet.hpp"
#include "spread_scenarios.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace greengagehub;
using namespace greengagehub::test;

namespace {

/// Longest time from the acknowledgement of a change to its being in force, as
/// operators require it.
constexpr std::chrono::milliseconds kMaxConfigDelay{ 2500 };
constexpr std::size_t kFitsIntoDatagram = 100;
/// Above a datagram; peers pull the entry.
constexpr std::size_t kPulledAsEntry = 4000;
/// Above the largest patch that is kept; peers pull the whole configuration.
constexpr std::size_t kPulledAsSnapshot = kMaxPatchBytes + 1;

/// \returns The latest daemon of all seeds.
template<class Scenario>
std::chrono::milliseconds
LatestOfSeeds(const std::string& aName, const Scenario& aScenario)
{
  return LongestOfSeeds(
    aName, aScenario, [](const Fleet& aFleet) { return aFleet.Latest(); });
}

void
PauseMost(Fleet& aFleet, std::uint64_t aSeed)
{
  PauseMembers(aFleet, 0, 80, aSeed);
  aFleet.Run(100ms);
}

void
PublishStorm(Fleet& aFleet, std::size_t aBytes)
{
  for (int i = 0; i < 15; ++i) {
    aFleet.Publish(aBytes);
    aFleet.Run(200ms);
  }
  aFleet.Run(4s);
}

}

TEST_CASE("a version reaches each running daemon while most members of its "
          "domain are paused")
{
  // Guards against counting a version as delivered that was sent to members
  // which do not answer.
  const auto pauseAndPublish = [](std::size_t aBytes) {
    return [aBytes](Fleet& aFleet, std::uint64_t aSeed) {
      PauseMost(aFleet, aSeed);
      aFleet.Publish(aBytes);
      aFleet.Run(4s);
    };
  };
  CHECK(LatestOfSeeds("small", pauseAndPublish(kFitsIntoDatagram)) <=
        kMaxConfigDelay);
  CHECK(LatestOfSeeds("entry pulled", pauseAndPublish(kPulledAsEntry)) <=
        kMaxConfigDelay);
  CHECK(LatestOfSeeds("snapshot pulled", pauseAndPublish(kPulledAsSnapshot)) <=
        kMaxConfigDelay);
}

TEST_CASE("a storm of versions reaches each running daemon while most members "
          "of its domain are paused")
{
  // Guards against each new version restarting the search for members that
  // answer.
  const auto pauseAndPublish = [](std::size_t aBytes) {
    return [aBytes](Fleet& aFleet, std::uint64_t aSeed) {
      PauseMost(aFleet, aSeed);
      PublishStorm(aFleet, aBytes);
    };
  };
  CHECK(LatestOfSeeds("storm, small", pauseAndPublish(kFitsIntoDatagram)) <=
        kMaxConfigDelay);
  CHECK(LatestOfSeeds("storm, entry pulled", pauseAndPublish(kPulledAsEntry)) <=
        kMaxConfigDelay);
}

TEST_CASE("a domain whose readers are paused gets versions from other domains")
{
  // Guards against relays that push to one member of a domain and do not notice
  // that it is paused.
  const auto pauseAndPublish = [](Fleet& aFleet, std::uint64_t aSeed) {
    for (const int each : aFleet.Readers(0)) {
      aFleet.Pause(each);
    }
    PauseMembers(aFleet, 0, 60, aSeed);
    aFleet.Run(100ms);
    aFleet.Publish(kFitsIntoDatagram);
    aFleet.Run(4s);
  };
  CHECK(LatestOfSeeds("readers paused", pauseAndPublish) <= kMaxConfigDelay);
}

TEST_CASE("a fleet of one domain gets a version while both readers are paused")
{
  // Guards against waiting for probes to find that the readers have stopped.
  std::chrono::milliseconds latest{};
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet{ { .m_members = 15, .m_domains = 1, .m_seed = seed } };
    fleet.Run(3s);
    for (const int each : fleet.Readers(0)) {
      fleet.Pause(each);
    }
    fleet.Run(100ms);
    fleet.Publish(kFitsIntoDatagram);
    fleet.Run(6s);
    latest = std::max(latest, fleet.Latest());
  }
  MESSAGE("one domain, readers paused: longest ", latest.count(), " ms");
  CHECK(latest <= kMaxConfigDelay);
}

TEST_CASE("in calm a version costs a bounded number of datagrams")
{
  // Guards against deliveries that are bought with traffic.
  Fleet fleet{ { .m_lostPerMille = 0 } };
  fleet.Run(3s);
  const auto count = [&] {
    const std::uint64_t all = fleet.Datagrams();
    const std::uint64_t remote = fleet.CrossDomainDatagrams();
    fleet.Run(2s);
    return std::pair{ fleet.Datagrams() - all,
                      fleet.CrossDomainDatagrams() - remote };
  };
  const auto [allBefore, remoteBefore] = count();
  fleet.Publish(kFitsIntoDatagram);
  const auto [all, remote] = count();
  CHECK(fleet.Latest() <= kMaxConfigDelay);
  // Each push is confirmed with one datagram.
  constexpr std::uint64_t kPerPush = 2;
  const auto members = static_cast<std::uint64_t>(fleet.Size());
  const DisseminationSettings settings{};
  CHECK(all - allBefore <= kPerPush * settings.m_fanout * members);
  constexpr std::uint64_t kDomainPairs = 12;
  constexpr std::uint64_t kRelays = Membership::kRelaysPerDomain;
  CHECK(remote - remoteBefore <= kPerPush * kRelays * kDomainPairs);
}

TEST_CASE("in calm a storm of versions reaches each daemon")
{
  const auto publish = [](std::size_t aBytes) {
    return
      [aBytes](Fleet& aFleet, std::uint64_t) { PublishStorm(aFleet, aBytes); };
  };
  CHECK(LatestOfSeeds("calm, small", publish(kFitsIntoDatagram)) <=
        kMaxConfigDelay);
  CHECK(LatestOfSeeds("calm, entry pulled", publish(kPulledAsEntry)) <=
        kMaxConfigDelay);
}
