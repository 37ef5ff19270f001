#pragma once

#include "fleet.hpp"

#include <algorithm>

namespace greengagehub::test {

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

}
