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
/// Part of what a bad version may get that the trial uses up.
constexpr double kTrialPart = 0.4;
/// Workers on trial, of which the worst quarter does not count; a third of all
/// where there are few.
constexpr std::uint32_t kTrialWorkers = 8;
constexpr std::uint32_t kLeastWorkers = 2;
constexpr std::uint32_t kTrialPartOfWorkers = 3;
/// Steps by the part of the time that has passed.
struct Stage
{
  double m_until;
  std::uint32_t m_permille;
};
constexpr double kTrialUntil = 0.54;
constexpr std::array kLarger{ Stage{ 0.62, 150 }, Stage{ 0.70, 400 } };
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

/// As many as bear that share with the load of one of the old ones.
std::uint32_t
WorkersFor(const RolloutView& aView, std::uint32_t aPermille)
{
  const std::uint32_t few = std::clamp(
    aView.m_newWorkers / kTrialPartOfWorkers, kLeastWorkers, kTrialWorkers);
  const double share = static_cast<double>(aPermille) / kAll;
  const auto alike =
    static_cast<std::uint32_t>(std::ceil(share * aView.m_oldWorkers));
  return std::max(few, alike);
}

TrialLeave
LeaveAt(const RolloutView& aView, std::uint32_t aPermille)
{
  return { aPermille,
           aPermille >= kAll ? 0 : WorkersFor(aView, aPermille),
           {} };
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
  const double share =
    std::min(std::max(kTrialRunsPerSecond / rate, kLeastTrial), most);
  return static_cast<std::uint32_t>(
    std::clamp(share * kAll, 1.0, static_cast<double>(kAll)));
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
  const bool mayGrow = aView.m_verdict == Verdict::Good && part >= kTrialUntil;
  if (aView.m_permille >= kAll) {
    step.m_leave = LeaveAt(aView, kAll);
    const auto latest =
      std::chrono::duration<double>(aView.m_duration) * kCompleteBy -
      kStoreTime;
    const bool isLate = aView.m_age >= latest;
    const bool isDone = aView.m_oldIdle && aView.m_hasAllFor >= kHasAllFor;
    if (isLate || isDone) {
      step.m_state = RolloutState::Completing;
    }
    return step;
  }
  if (!mayGrow) {
    const std::uint32_t permille =
      std::max(TrialPermille(aLimits, aView),
               std::min(aView.m_permille, kLarger[0].m_permille));
    step.m_leave = LeaveAt(aView, permille);
    return step;
  }
  // Each step is taken in its turn, also by a daemon that took over late.
  for (const Stage& each : kLarger) {
    if (part < each.m_until || aView.m_permille < each.m_permille) {
      step.m_leave = LeaveAt(aView, each.m_permille);
      return step;
    }
  }
  step.m_leave = LeaveAt(aView, kAll);
  return step;
}

}
