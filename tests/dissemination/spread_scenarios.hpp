#pragma once

#include "fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace greengagehub::test {

inline constexpr std::uint64_t kSeeds = 20;

/// Pauses a share of a domain's members, drawn at random.
inline void
PauseMembers(Fleet& aFleet, int aDomain, int aPercent, std::uint64_t aSeed)
{
  std::vector<int> members;
  for (int i = 0; i < aFleet.Size(); ++i) {
    if (aFleet.DomainOf(i) == aDomain) {
      members.push_back(i);
    }
  }
  Random random{ aSeed };
  std::shuffle(members.begin(), members.end(), random);
  members.resize(members.size() * static_cast<std::size_t>(aPercent) / 100);
  for (const int each : members) {
    aFleet.Pause(each);
  }
}

/// \param aMeasure the delay of interest at the end of a run.
/// \returns The longest delay of all seeds.
template<class Scenario, class Measure>
std::chrono::milliseconds
LongestOfSeeds(const std::string& aName,
               const Scenario& aScenario,
               const Measure& aMeasure)
{
  std::vector<std::chrono::milliseconds> delays;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet{ { .m_seed = seed } };
    fleet.Run(3s);
    aScenario(fleet, seed);
    delays.push_back(aMeasure(fleet));
  }
  std::sort(delays.begin(), delays.end());
  MESSAGE(aName,
          ": latest daemon, median ",
          delays[delays.size() / 2].count(),
          " ms, longest ",
          delays.back().count(),
          " ms");
  return delays.back();
}

}
