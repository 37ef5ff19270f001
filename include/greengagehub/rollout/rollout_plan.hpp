#pragma once

#include "greengagehub/rollout/canary_analyzer.hpp"
#include "greengagehub/rollout/rollout_record.hpp"

#include <optional>

namespace greengagehub {

/// \brief Limits set by operators for the exposure to a bad version.
struct RolloutLimits
{
  /// Calls that a bad version may receive from the order to its deadline: a
  /// share of the service's calls, plus a fixed number.
  double m_maxShare{ 0.1 };
  double m_slack{ 50.0 };
};

/// \brief Inputs to the decision on the next step.
struct StepInputs
{
  /// Time since the order.
  Duration m_age{};
  /// Time allowed for the whole roll-out.
  std::chrono::milliseconds m_duration{ 0 };
  CanaryAnalyzer::Verdict m_verdict{ CanaryAnalyzer::Verdict::Inconclusive };
  /// Workers that accept calls, of the version in service and of the new one.
  std::uint32_t m_oldWorkers{ 0 };
  std::uint32_t m_newWorkers{ 0 };
  /// Calls to the service per second; 0 if not known yet.
  double m_callsPerSecond{ 0.0 };
  /// Current canary share, in thousandths, and the time since it was set.
  std::uint32_t m_permille{ 0 };
  Duration m_shareAge{};
  /// The old workers have no running, queued or recently arrived calls.
  bool m_isOldIdle{ false };
};

/// \brief The state, rollback cause and permit to apply.
struct RolloutStep
{
  RolloutState m_state{ RolloutState::Running };
  RollbackCause m_cause{ RollbackCause::None };
  /// m_left is filled in by the leader.
  CanaryPermit m_permit{};
};

/// \returns The next step: a canary on few workers for more than half of the
/// time, then short steps with larger shares at the load per worker of the old
/// version, then all calls. Rolls back without a conclusive verdict in time.
[[nodiscard]] RolloutStep
NextStep(const RolloutLimits& aLimits, const StepInputs& aInputs);

/// \returns The canary share before the ramp, in thousandths.
[[nodiscard]] std::uint32_t
CanaryPermille(const RolloutLimits& aLimits,
               const StepInputs& aInputs) noexcept;

}
