#include "greengagehub/rollout/rollout_holder.hpp"

#include "greengagehub/rollout/rollout_table.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

/// Between two looks at the counts; daemons tell theirs as often.
constexpr std::chrono::milliseconds kLookEvery{ 300 };
/// Between two tellings of a leave.
constexpr std::chrono::milliseconds kTellEvery{ 500 };
/// One that is under way by the store, and of which no daemon tells a leave, is
/// rolled back after this: nobody knows how far it came.
constexpr std::chrono::seconds kForgottenAfter{ 3 };
/// Looks in a row that found nothing at the old workers.
constexpr std::uint32_t kIdleLooks = 2;
/// Weight of a look in the mean rate of calls.
constexpr double kRateWeight = 0.3;

RolloutGrounds
GroundsOf(const VersionJudge::Judgement& aJudgement)
{
  const auto whole = [](double aCount) {
    return static_cast<std::uint32_t>(std::lround(aCount));
  };
  return { whole(aJudgement.m_runs),
           whole(aJudgement.m_hits),
           whole(aJudgement.m_expected) };
}

}

RolloutHolder::RolloutHolder(TimePoint aNow,
                             std::string aTarget,
                             RolloutLimits aLimits)
  : m_target(std::move(aTarget))
  , m_limits(aLimits)
  , m_judge(m_target)
  , m_began(aNow)
  , m_lookedAt(aNow)
{
}

void
RolloutHolder::Look(TimePoint aNow)
{
  const std::chrono::duration<double> since = aNow - m_lookedAt;
  m_lookedAt = aNow;
  m_judgement = m_judge.Look();
  const VersionJudge::Work& work = m_judge.LastWork();
  const double rate =
    (work.m_oldArrived + work.m_newArrived) / std::max(since.count(), 1e-3);
  const bool isFirst = m_callsPerSecond <= 0.0;
  m_callsPerSecond += (isFirst ? 1.0 : kRateWeight) * (rate - m_callsPerSecond);
  const bool idle = work.m_oldAtWork == 0 && work.m_oldArrived == 0;
  m_idleLooks = idle ? m_idleLooks + 1 : 0;
}

RolloutView
RolloutHolder::ViewOf(TimePoint aNow,
                      const RolloutRecord& aRecord,
                      const Workers& aWorkers) const
{
  RolloutView view;
  view.m_age = aRecord.m_age;
  view.m_duration = aRecord.m_order.m_duration;
  view.m_verdict = m_judgement.m_verdict;
  view.m_oldWorkers = aWorkers.m_old;
  view.m_newWorkers = aWorkers.m_new;
  view.m_callsPerSecond = m_callsPerSecond;
  view.m_permille = aRecord.m_leave.m_permille;
  view.m_hasShareFor = aNow - m_permilleSince;
  view.m_oldIdle = m_idleLooks >= kIdleLooks;
  return view;
}

std::optional<RolloutHolder::Lead>
RolloutHolder::OnTick(TimePoint aNow,
                      const RolloutRecord& aRecord,
                      const Workers& aWorkers)
{
  const bool isForgotten =
    aRecord.m_isResumed && aNow - m_began >= kForgottenAfter;
  if (IsFinal(aRecord.m_state) || (aRecord.m_isResumed && !isForgotten)) {
    return std::nullopt;
  }
  if (aNow - m_lookedAt >= kLookEvery) {
    Look(aNow);
  }
  if (aRecord.m_leave.m_permille != m_permille) {
    m_permille = aRecord.m_leave.m_permille;
    m_permilleSince = aNow;
  }
  Lead lead{ aRecord, false, m_judgement, ViewOf(aNow, aRecord, aWorkers) };
  RolloutStep step;
  if (isForgotten) {
    step = { RolloutState::RolledBack, RollbackCause::Forgotten, {} };
  } else if (m_judgement.m_verdict == VersionJudge::Verdict::Bad) {
    step = { RolloutState::RolledBack, m_judgement.m_cause, {} };
  } else {
    step = NextStep(m_limits, lead.m_view);
  }
  // A step back, from completing to trying, is not taken.
  step.m_state = std::max(step.m_state, aRecord.m_state);
  // How many workers come and go is told with the next leave.
  lead.m_isStep = step.m_state != aRecord.m_state ||
                  step.m_leave.m_permille != aRecord.m_leave.m_permille;
  if (!lead.m_isStep && aNow - m_toldAt < kTellEvery) {
    return std::nullopt;
  }
  m_toldAt = aNow;
  RolloutRecord& record = lead.m_record;
  record.m_state = step.m_state;
  record.m_cause = step.m_cause;
  record.m_grounds = GroundsOf(m_judgement);
  record.m_leave = step.m_leave;
  if (step.m_state == RolloutState::Running) {
    record.m_leave.m_left = RolloutTable::kLeaveTime;
  }
  record.m_isResumed = false;
  ++record.m_step;
  return lead;
}

}
