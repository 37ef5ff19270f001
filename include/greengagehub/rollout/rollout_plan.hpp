#pragma once

#include "greengagehub/rollout/canary_analyzer.hpp"
#include "greengagehub/rollout/rollout_record.hpp"

#include <optional>

namespace greengagehub {

struct RolloutLimits
{
  /// Share of the service's calls during a roll-out that a bad version may
  /// receive, in addition to m_slack calls.
  double m_maxShare{ 0.1 };
  double m_slack{ 50.0 };
};

struct StepInputs
{
  /// Time since the order.
  Duration m_age{};
  /// Time allowed for the whole roll-out.
  std::chrono::milliseconds m_duration{ 0 };
  CanaryAnalyzer::Verdict m_verdict{ CanaryAnalyzer::Verdict::Inconclusive };
  /// Workers that accept calls, by version.
  std::uint32_t m_oldWorkers{ 0 };
  std::uint32_t m_newWorkers{ 0 };
  /// Calls to the service per second; 0 if not known yet.
  double m_callsPerSecond{ 0.0 };
  /// Current canary share, in thousandths.
  std::uint32_t m_permille{ 0 };
  /// Time since the share was set.
  Duration m_shareAge{};
  /// The old workers have no running, queued or recently arrived calls.
  bool m_isOldIdle{ false };
};

struct RolloutStep
{
  RolloutState m_state{ RolloutState::Running };
  RollbackCause m_cause{ RollbackCause::None };
  /// m_remainingTime is filled in by the leader.
  CanaryPermit m_permit{};
};

/// \returns The next step: a canary on few workers for about half of the time,
/// then increasing shares, then all calls; or a rollback if the verdict is
/// late.
[[nodiscard]] RolloutStep
NextStep(const RolloutLimits& aLimits, const StepInputs& aInputs);

/// \returns The canary share before the ramp, in thousandths.
[[nodiscard]] std::uint32_t
CanaryPermille(const RolloutLimits& aLimits,
               const StepInputs& aInputs) noexcept;

}
