#include "greengagehub/rollout/rollout_plan.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace greengagehub {

namespace {

constexpr std::uint32_t kAll = 1000;
/// Runs a second that tell a version with a third of its runs failing from a
/// good one within a second.
constexpr double kTrialRunsPerSecond = 60.0;
constexpr double kLeastTrial = 0.03;
constexpr double kMostTrial = 0.12;
/// Part of what a bad version may get that the trial uses up.
constexpr double kTrialPart = 0.5;
/// The workers on trial give way to the next ones after this, so that a verdict
/// rests on more of them.
constexpr std::chrono::milliseconds kTurn{ 1200 };
/// The trial lasts for this part of the time, and each larger share for
/// another, which is shorter where the trial took too long.
constexpr double kTrialUntil = 0.54;
constexpr std::array kLarger{ 150U, 400U };
constexpr double kStepPart = 0.08;
constexpr double kLateFrom = 0.70;
constexpr double kLateStepPart = 0.04;
/// A version of which nobody is sure by now is rolled back.
constexpr double kSureBy = 0.78;
/// The last moment to say that it is complete: before the deadline by a part of
/// the time, and by what two calls to the store take.
constexpr double kCompleteBy = 0.94;
constexpr std::chrono::milliseconds kStoreTime{ 300 };
/// The new version has had all calls for so long before it is complete.
constexpr std::chrono::milliseconds kHasAllFor{ 1200 };

double
PartOf(const RolloutView& aView)
{
  const std::chrono::duration<double> age = aView.m_age;
  const std::chrono::duration<double> all = aView.m_duration;
  return all.count() > 0.0 ? age / all : 1.0;
}

/// As many as bear that share with the load of one of the old ones, in turn.
TrialLeave
LeaveAt(const RolloutView& aView, std::uint32_t aPermille)
{
  if (aPermille >= kAll) {
    return { aPermille, 0, 0, {} };
  }
  const double share = static_cast<double>(aPermille) / kAll;
  const auto workers = static_cast<std::uint32_t>(
    std::max(1.0, std::round(share * aView.m_oldWorkers)));
  const auto turn = static_cast<std::uint32_t>(aView.m_age / kTurn);
  return { aPermille, workers, workers * turn, {} };
}

}

std::uint32_t
TrialPermille(const RolloutLimits& aLimits, const RolloutView& aView) noexcept
{
  const double rate = std::max(1.0, aView.m_callsPerSecond);
  const double seconds =
    std::chrono::duration<double>(aView.m_duration).count();
  const double allowed =
    aLimits.m_maxShare + aLimits.m_slack / std::max(1.0, rate * seconds);
  const double most = kTrialPart * allowed / kTrialUntil;
  // One worker at least is to have the load of an old one.
  const double ofOne = 1.0 / std::max(1U, aView.m_oldWorkers);
  const double share = std::min(
    std::max({ kTrialRunsPerSecond / rate, kLeastTrial, ofOne }), most);
  return static_cast<std::uint32_t>(
    std::clamp(share, kLeastTrial / 2, kMostTrial) * kAll);
}

RolloutStep
NextStep(const RolloutLimits& aLimits, const RolloutView& aView)
{
  using Verdict = VersionJudge::Verdict;
  const double part = PartOf(aView);
  RolloutStep step;
  if (part >= kSureBy && aView.m_verdict != Verdict::Good &&
      aView.m_permille < kAll) {
    return { RolloutState::RolledBack, RollbackCause::TooFewRuns, {} };
  }
  if (aView.m_newWorkers == 0) {
    return step;
  }
  if (aView.m_permille >= kAll) {
    step.m_leave = LeaveAt(aView, kAll);
    const auto latest =
      std::chrono::duration<double>(aView.m_duration) * kCompleteBy -
      kStoreTime;
    const bool isLate = aView.m_age >= latest;
    const bool isDone = aView.m_oldIdle && aView.m_hasShareFor >= kHasAllFor;
    if (isLate || isDone) {
      step.m_state = RolloutState::Completing;
    }
    return step;
  }
  const std::uint32_t trial = TrialPermille(aLimits, aView);
  if (aView.m_permille < kLarger.front()) {
    const bool isTried =
      aView.m_verdict == Verdict::Good && part >= kTrialUntil;
    step.m_leave = LeaveAt(aView, isTried ? kLarger.front() : trial);
    return step;
  }
  const double stepPart = part < kLateFrom ? kStepPart : kLateStepPart;
  const bool grows = aView.m_verdict == Verdict::Good &&
                     aView.m_hasShareFor >= stepPart * aView.m_duration;
  const auto* next = std::ranges::upper_bound(kLarger, aView.m_permille);
  const std::uint32_t larger = next == kLarger.end() ? kAll : *next;
  step.m_leave = LeaveAt(aView, grows ? larger : aView.m_permille);
  return step;
}

}
