#include "fleet.hpp"
#include "spread_scenarios.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::test;

namespace {

/// A run of a quarantined request counts as late after this time.
constexpr std::chrono::milliseconds kMaxVerdictDelay{ 3000 };

int
FirstRunning(const Fleet& aFleet, int aDomain)
{
  int number = 0;
  while (aFleet.DomainOf(number) != aDomain || !aFleet.IsRunning(number)) {
    ++number;
  }
  return number;
}

/// \returns The latest daemon of all seeds, while a share of domain 0 is
/// paused and members of a domain quarantine requests.
std::chrono::milliseconds
LatestOfSeeds(int aPercentPaused, int aOriginDomain, int aRequests)
{
  const auto quarantine = [&](Fleet& aFleet, std::uint64_t aSeed) {
    PauseMembers(aFleet, 0, aPercentPaused, aSeed);
    aFleet.Run(100ms);
    for (int i = 1; i <= aRequests; ++i) {
      aFleet.Quarantine(FirstRunning(aFleet, aOriginDomain),
                        static_cast<std::uint64_t>(i));
      aFleet.Run(200ms);
    }
    aFleet.Run(5s);
  };
  return LongestOfSeeds(
    fmt::format("{}% paused, origin in domain {}, {} requests",
                aPercentPaused,
                aOriginDomain,
                aRequests),
    quarantine,
    [](const Fleet& aFleet) { return aFleet.LatestVerdict(); });
}

}

TEST_CASE("a verdict reaches each running daemon while most members of a "
          "domain are paused")
{
  // Guards against counting a verdict as delivered that was sent to members
  // which do not answer.
  for (const int percent : { 50, 80 }) {
    for (const int domain : { 0, 1 }) {
      CHECK(LatestOfSeeds(percent, domain, 1) <= kMaxVerdictDelay);
    }
  }
}

TEST_CASE("a storm of verdicts reaches each running daemon while most members "
          "of a domain are paused")
{
  // Guards against each new verdict replacing one that is not delivered yet.
  for (const int domain : { 0, 1 }) {
    CHECK(LatestOfSeeds(80, domain, 15) <= kMaxVerdictDelay);
  }
}

TEST_CASE("in calm a verdict reaches each daemon")
{
  CHECK(LatestOfSeeds(0, 0, 1) <= kMaxVerdictDelay);
  CHECK(LatestOfSeeds(0, 0, 15) <= kMaxVerdictDelay);
}

TEST_CASE("in calm a verdict costs a bounded number of datagrams")
{
  // Guards against deliveries that are bought with traffic.
  Fleet fleet{ { .m_lostPerMille = 0 } };
  fleet.Run(3s);
  const auto count = [&] {
    const std::uint64_t all = fleet.Datagrams();
    fleet.Run(2s);
    return fleet.Datagrams() - all;
  };
  const std::uint64_t before = count();
  fleet.Quarantine(0, 1);
  const std::uint64_t all = count();
  // Each daemon forwards the verdict to four members, and pushes it to one that
  // confirms. Relays and the origin push it to each other domain.
  constexpr std::uint64_t kPerDaemon = 6;
  constexpr std::uint64_t kOtherDomains = 3;
  constexpr std::uint64_t kPushers = 4 * Membership::kRelaysPerDomain + 1;
  const auto members = static_cast<std::uint64_t>(fleet.Size());
  CHECK(all - before <=
        kPerDaemon * members + 2 * (kPushers + 1) * kOtherDomains);
}
