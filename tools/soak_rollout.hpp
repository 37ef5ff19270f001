#pragma once

#include "testkit/exposure.hpp"
#include "testkit/fleet.hpp"

#include <fmt/format.h>
#include <optional>

namespace greengagehub::testkit {

/// \returns How many runs there were.
inline std::uint64_t
SumOf(const RunCounts& aRuns)
{
  std::uint64_t sum = 0;
  for (const auto& each : aRuns) {
    sum += each.second;
  }
  return sum;
}

/// \brief A version of the soak's service whose runs all fail, brought in by an
/// order while everything else goes on.
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
    m_fleet.PutIntoStore("op/rollout/lockers",
                         nlohmann::json{ { "service", "lockers" },
                                         { "target_version", "v2" },
                                         { "duration_s", kSeconds } }
                           .dump());
  }

  /// \brief Adds what its workers ran, by request.
  void AddRunsTo(RunCounts& aRuns) const
  {
    for (const std::string& each : m_slots) {
      const nlohmann::json counts = m_fleet.WorkerCounts(each);
      for (const auto& id : counts["runs"].items()) {
        aRuns[id.key()] += id.value().get<std::uint32_t>();
      }
    }
  }

  /// \param aRunsOfOthers of the version in service.
  /// \returns What is wrong, if anything.
  [[nodiscard]] std::optional<std::string> Check(
    std::uint64_t aRunsOfOthers) const
  {
    RunCounts own;
    AddRunsTo(own);
    const std::uint64_t runs = SumOf(own);
    if (!IsExposureBounded(runs, runs + aRunsOfOthers)) {
      return fmt::format(
        "a bad version got {} runs beside {}", runs, aRunsOfOthers);
    }
    if (!WaitUntil([this] { return IsRolledBack(); })) {
      return "a bad version was not rolled back: " + m_fleet.FromStore(kStatus);
    }
    return std::nullopt;
  }

private:
  static constexpr double kSeconds = 10.0;
  static constexpr const char* kStatus = "status/rollout/lockers";

  [[nodiscard]] bool IsRolledBack() const
  {
    const auto status =
      nlohmann::json::parse(m_fleet.FromStore(kStatus), nullptr, false);
    return status.is_object() && status.value("state", "") == "rolled_back";
  }

  Fleet& m_fleet;
  std::vector<std::string> m_slots;
};

}
