#include "greengagehub/rollout/rollout_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace greengagehub {

namespace {

constexpr std::uint32_t kAllPermille = 1000;
/// Enough to detect within a second that a third of the runs fail.
constexpr double kCanaryRunsPerSecond = 60.0;
constexpr double kMinCanaryShare = 0.03;
constexpr double kMaxCanaryShare = 0.12;
/// Part of the allowed exposure that the canary phase may use.
constexpr double kCanaryBudgetPart = 0.5;
/// Rotation covers more of the new workers.
constexpr std::chrono::milliseconds kRotationInterval{ 1200 };
/// End of the canary phase; this and the constants below that end in Until,
/// From, Part or Deadline are parts of the roll-out's duration.
constexpr double kCanaryUntil = 0.54;
constexpr std::array kRampPermilles{ 150U, 400U };
constexpr double kRampStepPart = 0.08;
constexpr double kLateFrom = 0.70;
constexpr double kLateRampStepPart = 0.04;
/// An inconclusive verdict leads to a rollback from here on.
constexpr double kVerdictDeadline = 0.78;
/// Latest completion, less kStoreWriteTime for two calls to the store.
constexpr double kCompletionDeadline = 0.94;
constexpr std::chrono::milliseconds kStoreWriteTime{ 300 };
/// Time at full traffic before completion.
constexpr std::chrono::milliseconds kFullTrafficTime{ 1200 };

double
ElapsedPart(const StepInputs& aInputs)
{
  const std::chrono::duration<double> age = aInputs.m_age;
  const std::chrono::duration<double> all = aInputs.m_duration;
  return all.count() > 0.0 ? age / all : 1.0;
}

/// Selects workers in rotation, each with the load of an old worker.
CanaryPermit
MakePermit(const StepInputs& aInputs, std::uint32_t aPermille)
{
  if (aPermille >= kAllPermille) {
    return { aPermille, 0, 0, {} };
  }
  const double share = static_cast<double>(aPermille) / kAllPermille;
  const auto workers = static_cast<std::uint32_t>(
    std::max(1.0, std::round(share * aInputs.m_oldWorkers)));
  const auto rotation =
    static_cast<std::uint32_t>(aInputs.m_age / kRotationInterval);
  return { aPermille, workers, workers * rotation, {} };
}

}

std::uint32_t
CanaryPermille(const RolloutLimits& aLimits, const StepInputs& aInputs) noexcept
{
  const double rate = std::max(1.0, aInputs.m_callsPerSecond);
  const double duration =
    std::chrono::duration<double>(aInputs.m_duration).count();
  const double allowed =
    aLimits.m_maxShare + aLimits.m_slack / std::max(1.0, rate * duration);
  const double maxShare = kCanaryBudgetPart * allowed / kCanaryUntil;
  // At least one worker gets the load of an old one.
  const double oneWorkerShare = 1.0 / std::max(1U, aInputs.m_oldWorkers);
  const double share = std::min(
    std::max({ kCanaryRunsPerSecond / rate, kMinCanaryShare, oneWorkerShare }),
    maxShare);
  return static_cast<std::uint32_t>(
    std::clamp(share, kMinCanaryShare / 2, kMaxCanaryShare) * kAllPermille);
}

RolloutStep
NextStep(const RolloutLimits& aLimits, const StepInputs& aInputs)
{
  using Verdict = CanaryAnalyzer::Verdict;
  const double elapsed = ElapsedPart(aInputs);
  RolloutStep step;
  if (elapsed >= kVerdictDeadline && aInputs.m_verdict != Verdict::Good &&
      aInputs.m_permille < kAllPermille) {
    return { RolloutState::RolledBack, RollbackCause::TooFewRuns, {} };
  }
  if (aInputs.m_newWorkers == 0) {
    return step;
  }
  if (aInputs.m_permille >= kAllPermille) {
    step.m_permit = MakePermit(aInputs, kAllPermille);
    const auto latest =
      std::chrono::duration<double>(aInputs.m_duration) * kCompletionDeadline -
      kStoreWriteTime;
    const bool isLate = aInputs.m_age >= latest;
    const bool isDone =
      aInputs.m_isOldIdle && aInputs.m_shareAge >= kFullTrafficTime;
    if (isLate || isDone) {
      step.m_state = RolloutState::Completing;
    }
    return step;
  }
  const std::uint32_t canary = CanaryPermille(aLimits, aInputs);
  if (aInputs.m_permille < kRampPermilles.front()) {
    const bool isCanaryDone =
      aInputs.m_verdict == Verdict::Good && elapsed >= kCanaryUntil;
    step.m_permit =
      MakePermit(aInputs, isCanaryDone ? kRampPermilles.front() : canary);
    return step;
  }
  const double stepPart =
    elapsed < kLateFrom ? kRampStepPart : kLateRampStepPart;
  const bool isIncreased = aInputs.m_verdict == Verdict::Good &&
                           aInputs.m_shareAge >= stepPart * aInputs.m_duration;
  const auto* next =
    std::ranges::upper_bound(kRampPermilles, aInputs.m_permille);
  const std::uint32_t nextPermille =
    next == kRampPermilles.end() ? kAllPermille : *next;
  step.m_permit =
    MakePermit(aInputs, isIncreased ? nextPermille : aInputs.m_permille);
  return step;
}

}
