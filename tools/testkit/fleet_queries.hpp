#pragma once

#include "testkit/fleet.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \returns The runs of each request at these platform workers.
[[nodiscard]] inline RunCounts
WorkerRuns(const Fleet& aFleet, const std::vector<std::string>& aSlots)
{
  RunCounts runs;
  for (const std::string& slot : aSlots) {
    const nlohmann::json counts = aFleet.WorkerCounts(slot);
    for (const auto& each : counts["runs"].items()) {
      runs[each.key()] += each.value().get<std::uint32_t>();
    }
  }
  return runs;
}

/// \returns The port at the end of a URL without a path.
[[nodiscard]] inline std::uint16_t
PortOf(const std::string& aUrl)
{
  return static_cast<std::uint16_t>(
    std::stoi(aUrl.substr(aUrl.rfind(':') + 1)));
}

}
