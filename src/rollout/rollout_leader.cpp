#include "greengagehub/rollout/rollout_leader.hpp"

#include "greengagehub/rollout/rollout_table.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

/// Same as the interval at which daemons publish their counts.
constexpr std::chrono::milliseconds kEvaluationInterval{ 300 };
constexpr std::chrono::milliseconds kPublishInterval{ 500 };
/// A roll-out that is known only from the store is rolled back after this time.
constexpr std::chrono::seconds kStateLostAfter{ 3 };
/// Consecutive evaluations without calls, after which old workers are idle.
constexpr std::uint32_t kIdleEvaluations = 2;
/// Weight of the latest value in the moving average of the call rate.
constexpr double kRateWeight = 0.3;

VerdictEvidence
EvidenceOf(const CanaryAnalyzer::Judgement& aJudgement)
{
  const auto rounded = [](double aCount) {
    return static_cast<std::uint32_t>(std::lround(aCount));
  };
  return { rounded(aJudgement.m_runs),
           rounded(aJudgement.m_badRuns),
           rounded(aJudgement.m_expected) };
}

}

RolloutLeader::RolloutLeader(TimePoint aNow,
                             std::string aTarget,
                             RolloutLimits aLimits)
  : m_target(std::move(aTarget))
  , m_limits(aLimits)
  , m_analyzer(m_target)
  , m_startedAt(aNow)
  , m_evaluatedAt(aNow)
{
}

void
RolloutLeader::Evaluate(TimePoint aNow)
{
  const std::chrono::duration<double> since = aNow - m_evaluatedAt;
  m_evaluatedAt = aNow;
  m_judgement = m_analyzer.Evaluate();
  const CanaryAnalyzer::Traffic& traffic = m_analyzer.LastTraffic();
  const double rate = (traffic.m_oldArrived + traffic.m_newArrived) /
                      std::max(since.count(), 1e-3);
  const bool isFirst = m_callsPerSecond <= 0.0;
  m_callsPerSecond += (isFirst ? 1.0 : kRateWeight) * (rate - m_callsPerSecond);
  const bool isIdle =
    traffic.m_oldPendingCalls == 0 && traffic.m_oldArrived == 0;
  m_idleEvaluations = isIdle ? m_idleEvaluations + 1 : 0;
}

StepInputs
RolloutLeader::MakeInputs(TimePoint aNow,
                          const RolloutRecord& aRecord,
                          const Workers& aWorkers) const
{
  StepInputs inputs;
  inputs.m_age = aRecord.m_age;
  inputs.m_duration = aRecord.m_order.m_duration;
  inputs.m_verdict = m_judgement.m_verdict;
  inputs.m_oldWorkers = aWorkers.m_old;
  inputs.m_newWorkers = aWorkers.m_new;
  inputs.m_callsPerSecond = m_callsPerSecond;
  inputs.m_permille = aRecord.m_permit.m_permille;
  inputs.m_shareAge = aNow - m_permilleSince;
  inputs.m_isOldIdle = m_idleEvaluations >= kIdleEvaluations;
  return inputs;
}

std::optional<RolloutLeader::Decision>
RolloutLeader::OnTick(TimePoint aNow,
                      const RolloutRecord& aRecord,
                      const Workers& aWorkers)
{
  const bool isStateLost =
    aRecord.m_isFromStore && aNow - m_startedAt >= kStateLostAfter;
  if (IsFinal(aRecord.m_state) || (aRecord.m_isFromStore && !isStateLost)) {
    return std::nullopt;
  }
  if (aNow - m_evaluatedAt >= kEvaluationInterval) {
    Evaluate(aNow);
  }
  if (aRecord.m_permit.m_permille != m_permille) {
    m_permille = aRecord.m_permit.m_permille;
    m_permilleSince = aNow;
  }
  Decision decision{
    aRecord, false, m_judgement, MakeInputs(aNow, aRecord, aWorkers)
  };
  RolloutStep step;
  if (isStateLost) {
    step = { RolloutState::RolledBack, RollbackCause::StateLost, {} };
  } else if (m_judgement.m_verdict == CanaryAnalyzer::Verdict::Bad) {
    step = { RolloutState::RolledBack, m_judgement.m_cause, {} };
  } else {
    step = NextStep(m_limits, decision.m_inputs);
  }
  // The state never goes back from completing to running.
  step.m_state = std::max(step.m_state, aRecord.m_state);
  // A change of the number of workers is published with the next permit.
  decision.m_isStep = step.m_state != aRecord.m_state ||
                      step.m_permit.m_permille != aRecord.m_permit.m_permille;
  if (!decision.m_isStep && aNow - m_publishedAt < kPublishInterval) {
    return std::nullopt;
  }
  m_publishedAt = aNow;
  RolloutRecord& record = decision.m_record;
  record.m_state = step.m_state;
  record.m_cause = step.m_cause;
  record.m_evidence = EvidenceOf(m_judgement);
  record.m_permit = step.m_permit;
  if (step.m_state == RolloutState::Running) {
    record.m_permit.m_remainingTime = RolloutTable::kPermitTime;
  }
  record.m_isFromStore = false;
  ++record.m_step;
  return decision;
}

}
