#pragma once

#include "testkit/exposure.hpp"
#include "testkit/fleet.hpp"

#include <fmt/format.h>
#include <optional>

namespace greengagehub::testkit {

inline std::uint64_t
TotalRuns(const RunCounts& aRuns)
{
  std::uint64_t sum = 0;
  for (const auto& each : aRuns) {
    sum += each.second;
  }
  return sum;
}

/// \brief A version of the soak's service whose runs all fail, and its
/// roll-out.
class FailingVersion
{
public:
  FailingVersion(Fleet& aFleet, std::uint32_t aWorkers)
    : m_fleet(aFleet)
  {
    for (std::uint32_t i = 0; i < aWorkers; ++i) {
      m_slots.push_back(fmt::format("n{:02}", i));
      m_fleet.Add({ .m_slot = m_slots.back(),
                    .m_service = "lockers",
                    .m_domain = i % 2 == 0 ? "solna" : "kista",
                    .m_slots = 8,
                    .m_serviceMs = 20,
                    .m_backendArguments = { "--version", "v2" },
                    .m_onPlatform = true });
      m_fleet.ControlWorker(m_slots.back(), { { "fail", true } });
    }
  }

  void Order() const
  {
    m_fleet.WriteToStore("op/rollout/lockers",
                         nlohmann::json{ { "service", "lockers" },
                                         { "target_version", "v2" },
                                         { "duration_s", kDurationSeconds } }
                           .dump());
  }

  void AddRunsTo(RunCounts& aRuns) const
  {
    for (const std::string& each : m_slots) {
      const nlohmann::json counts = m_fleet.WorkerCounts(each);
      for (const auto& id : counts["runs"].items()) {
        aRuns[id.key()] += id.value().get<std::uint32_t>();
      }
    }
  }

  /// \param aRunsInService Runs of the current version.
  /// \returns A description of the violation, if any.
  [[nodiscard]] std::optional<std::string> Check(
    std::uint64_t aRunsInService) const
  {
    RunCounts runsById;
    AddRunsTo(runsById);
    const std::uint64_t runs = TotalRuns(runsById);
    if (!IsExposureBounded(runs, runs + aRunsInService)) {
      return fmt::format("the failing version got {} runs, the current one {}",
                         runs,
                         aRunsInService);
    }
    if (!WaitUntil([this] { return IsRolledBack(); })) {
      return "the failing version was not rolled back; its status: " +
             m_fleet.ReadFromStore(kStatusKey);
    }
    return std::nullopt;
  }

private:
  static constexpr double kDurationSeconds = 10.0;
  static constexpr const char* kStatusKey = "status/rollout/lockers";

  [[nodiscard]] bool IsRolledBack() const
  {
    const auto status =
      nlohmann::json::parse(m_fleet.ReadFromStore(kStatusKey), nullptr, false);
    return status.is_object() && status.value("state", "") == "rolled_back";
  }

  Fleet& m_fleet;
  std::vector<std::string> m_slots;
};

}
