#include "greengagehub/calls/dispatcher.hpp"

#include "dispatch_rules.hpp"
#include "dispatcher_links.hpp"

#include "greengagehub/core/link_pacer.hpp"

#include <algorithm>

namespace greengagehub {

using Verdict = WorkerTable::Verdict;

template<RoutingPolicy Policy>
BasicDispatcher<Policy>::BasicDispatcher(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

template<RoutingPolicy Policy>
typename BasicDispatcher<Policy>::Call*
BasicDispatcher<Policy>::FindByAttempt(std::uint64_t aAttempt)
{
  const auto attempt = m_attempts.find(aAttempt);
  if (attempt == m_attempts.end()) {
    return nullptr;
  }
  const auto call = m_calls.find(attempt->second);
  return call == m_calls.end() ? nullptr : &call->second;
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::Finish(DispatchActions& aOut,
                                Call& aCall,
                                CallAnswer aAnswer)
{
  const std::uint64_t call = aCall.m_id;
  if (aAnswer.m_outcome != CallOutcome::Answered && aCall.m_fallback) {
    aAnswer = std::move(*aCall.m_fallback);
  }
  aAnswer.m_call = call;
  if (aAnswer.m_outcome == CallOutcome::NotRun && aCall.m_mayHaveRun) {
    aAnswer.m_outcome = CallOutcome::Unknown;
  }
  m_attempts.erase(aCall.m_attempt);
  m_deadlines.erase({ aCall.m_plan.m_deadline + kReplyGrace, call });
  m_calls.erase(call);
  aOut.emplace_back(FinishCall{ call, std::move(aAnswer) });
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::Abandon(DispatchActions& aOut, const Call& aCall) const
{
  aOut.emplace_back(
    SendCancel{ aCall.m_attempt, aCall.m_slot, true, aCall.m_plan.m_deadline });
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::EndAttempt(TimePoint aNow,
                                    Call& aCall,
                                    Verdict aVerdict,
                                    const std::optional<LoadReport>& aReport)
{
  m_workers.RecordResult(aCall.m_slot, aNow, aVerdict, aReport, m_random);
}

template<RoutingPolicy Policy>
std::optional<WorkerTable::Index>
BasicDispatcher<Policy>::SelectWorker(TimePoint aNow, Call& aCall)
{
  if (m_rollouts == nullptr || m_rollouts->IsEmpty()) {
    return SelectWorkerByRule(aNow, aCall, nullptr);
  }
  const bool toCanary = aCall.m_isAssignedToCanary && !aCall.m_hasReachedWorker;
  const VersionRules rules =
    m_rollouts->RulesFor(aNow, aCall.m_plan.m_service, toCanary);
  if (rules.IsEmpty()) {
    return SelectWorkerByRule(aNow, aCall, nullptr);
  }
  for (const VersionRule& each : rules) {
    if (const auto selected = SelectWorkerByRule(aNow, aCall, &each)) {
      return selected;
    }
  }
  return std::nullopt;
}

template<RoutingPolicy Policy>
std::optional<WorkerTable::Index>
BasicDispatcher<Policy>::SelectWorkerByRule(TimePoint aNow,
                                            const Call& aCall,
                                            const VersionRule* aRule)
{
  const RoutingContext context = ContextOf(aNow, aCall.m_plan);
  const Fingerprint fingerprint = aCall.m_plan.m_fingerprint;
  if (m_quarantine != nullptr && m_quarantine->IsSuspect(fingerprint)) {
    RendezvousPolicy pinned{ fingerprint };
    return m_workers.Choose(
      pinned, aCall.m_plan.m_service, aCall.m_tried, context, m_random, aRule);
  }
  if (aCall.m_busySlots.size() < m_decisions.m_maxBusyReplies) {
    std::vector<std::string> skip = aCall.m_tried;
    skip.insert(skip.end(), aCall.m_busySlots.begin(), aCall.m_busySlots.end());
    const auto selected = m_workers.Choose(
      m_policy, aCall.m_plan.m_service, skip, context, m_random, aRule);
    // Otherwise crossing is compared below with waiting, which may cost less.
    if (selected && IsInOwnDomain(m_policy, m_workers.At(*selected))) {
      return selected;
    }
  }
  return m_workers.Choose(
    m_policy, aCall.m_plan.m_service, aCall.m_tried, context, m_random, aRule);
}

template<RoutingPolicy Policy>
bool
BasicDispatcher<Policy>::IsBusyReplyFast(TimePoint aNow,
                                         const Call& aCall) const
{
  const Duration left = std::max<Duration>(aCall.m_plan.m_target - aNow, {});
  return m_busyReplyTime <= left / m_decisions.m_busyWaitDivisor;
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::StartAttempt(TimePoint aNow,
                                      DispatchActions& aOut,
                                      Call& aCall,
                                      CallAnswer aPrevious)
{
  if (const auto left = QuarantineTimeLeft(aNow, aCall)) {
    Finish(
      aOut,
      aCall,
      Refuse(
        aCall.m_id, CallOutcome::NotRun, RefusalReason::Quarantined, *left));
    return;
  }
  const auto next = SelectWorker(aNow, aCall);
  const bool isRetry = !aCall.m_tried.empty();
  // A redirect stops at a refusing worker: where all queues are full, asking
  // further daemons multiplies messages under overload. The budget bounds other
  // retries.
  const bool isRefused = next && isRetry &&
                         WouldRefuseToo(aPrevious,
                                        m_workers.At(*next),
                                        ContextOf(aNow, aCall.m_plan));
  if (!next || isRefused) {
    const auto room = m_workers.TimeUntilRoom(aNow, aCall.m_plan.m_service);
    if (!next && !isRetry && room) {
      aPrevious = Refuse(
        aCall.m_id, CallOutcome::NotRun, RefusalReason::RateLimited, *room);
    }
    Finish(aOut, aCall, std::move(aPrevious));
    return;
  }
  const bool wasBusy =
    std::find(aCall.m_busySlots.begin(),
              aCall.m_busySlots.end(),
              m_workers.At(*next).m_slot) != aCall.m_busySlots.end();
  const bool mayRefuse =
    aCall.m_busySlots.size() < m_decisions.m_maxBusyReplies && !wasBusy &&
    IsInOwnDomain(m_policy, m_workers.At(*next));
  const bool refuseIfBusy = mayRefuse && IsBusyReplyFast(aNow, aCall);
  if (mayRefuse && !refuseIfBusy) {
    // Decays without samples, so that busy replies are requested again.
    m_busyReplyTime -= m_busyReplyTime / kBusyReplyDecayDivisor;
  }
  m_workers.RecordSent(*next);
  m_attempts.erase(aCall.m_attempt);
  aCall.m_attempt = ++m_lastAttempt;
  aCall.m_slot = m_workers.At(*next).m_slot;
  aCall.m_process = 0;
  aCall.m_sentAt = aNow;
  aCall.m_inDoubt = false;
  aCall.m_tried.push_back(aCall.m_slot);
  m_attempts.emplace(aCall.m_attempt, aCall.m_id);
  aOut.emplace_back(SendAttempt{
    aCall.m_id,
    aCall.m_attempt,
    aCall.m_slot,
    TimeLeft(aNow, aCall.m_plan.m_deadline),
    TimeLeft(aNow, std::min(aCall.m_plan.m_target, aCall.m_plan.m_deadline)),
    aCall.m_plan.m_retriesLeft,
    aCall.m_hasReachedWorker,
    refuseIfBusy,
    m_workers.Signals().KnownLimit(aCall.m_slot) });
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::Begin(TimePoint aNow,
                               std::uint64_t aCall,
                               CallPlan aPlan)
{
  DispatchActions out;
  m_budget.Deposit(
    aNow, aPlan.m_service, aPlan.m_priority, aPlan.m_retriedRunProbability);
  Call call;
  call.m_id = aCall;
  call.m_plan = std::move(aPlan);
  call.m_isAssignedToCanary =
    m_rollouts != nullptr &&
    m_rollouts->DrawsCanary(aNow, call.m_plan.m_service, m_random);
  m_deadlines.insert({ call.m_plan.m_deadline + kReplyGrace, aCall });
  Call& inserted = m_calls.emplace(aCall, std::move(call)).first->second;
  StartAttempt(aNow,
               out,
               inserted,
               Refuse(aCall,
                      CallOutcome::NotRun,
                      RefusalReason::NoWorker,
                      std::chrono::seconds{ 1 }));
  return out;
}

template<RoutingPolicy Policy>
std::optional<std::chrono::milliseconds>
BasicDispatcher<Policy>::QuarantineTimeLeft(TimePoint aNow,
                                            const Call& aCall) const
{
  return m_quarantine == nullptr
           ? std::nullopt
           : m_quarantine->QuarantineTimeLeft(aNow, aCall.m_plan.m_fingerprint);
}

template<RoutingPolicy Policy>
bool
BasicDispatcher<Policy>::IsFirstCrash(const Call& aCall,
                                      const CallAnswer& aAnswer) const
{
  const std::uint32_t knownCrashes =
    !m_quarantine ? 0 : m_quarantine->CrashCount(aCall.m_plan.m_fingerprint);
  return std::max(knownCrashes, aAnswer.m_crashCount) <
         Quarantine::kSuspectCrashes;
}

template<RoutingPolicy Policy>
bool
BasicDispatcher<Policy>::MayRetry(TimePoint aNow,
                                  Call& aCall,
                                  const CallAnswer& aAnswer)
{
  if (aAnswer.m_reason == RefusalReason::Busy) {
    std::erase(aCall.m_tried, aCall.m_slot);
    aCall.m_busySlots.push_back(aCall.m_slot);
    m_busyReplyTime +=
      (aNow - aCall.m_sentAt - m_busyReplyTime) / kBusyReplyTimeDivisor;
    return true;
  }
  if (aAnswer.m_reason == RefusalReason::Quarantined ||
      aAnswer.m_reason == RefusalReason::ConfigBehind ||
      aAnswer.m_reason == RefusalReason::RetryBudgetExhausted) {
    return false;
  }
  // Another attempt may crash the next worker and fail all calls there.
  if (aAnswer.m_reason == RefusalReason::WorkerCrashed &&
      !IsFirstCrash(aCall, aAnswer)) {
    return false;
  }
  const bool isSafe =
    aAnswer.m_outcome == CallOutcome::NotRun || aCall.m_plan.m_idempotent;
  if (!isSafe || aNow >= aCall.m_plan.m_deadline) {
    return false;
  }
  const bool reachedNoWorker =
    aAnswer.m_outcome == CallOutcome::NotRun && !aAnswer.m_reachedWorker;
  if (reachedNoWorker && IsWorkerUnavailable(aAnswer.m_reason)) {
    return ++aCall.m_unavailableAttempts <= kMaxUnavailableWorkers;
  }
  if (reachedNoWorker) {
    // A redirect adds no load to workers, so the retry budget doesn't apply.
    return ++aCall.m_redirects <= m_decisions.m_maxRedirects;
  }
  if (aCall.m_plan.m_retriesLeft == 0 ||
      !m_budget.Withdraw(
        aNow, aCall.m_plan.m_service, aCall.m_plan.m_priority)) {
    return false;
  }
  --aCall.m_plan.m_retriesLeft;
  aCall.m_hasReachedWorker = true;
  return true;
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::RetryOrFinish(TimePoint aNow,
                                       DispatchActions& aOut,
                                       Call& aCall,
                                       CallAnswer aAnswer)
{
  aCall.m_mayHaveRun =
    aCall.m_mayHaveRun || aAnswer.m_outcome == CallOutcome::Unknown;
  if (MayRetry(aNow, aCall, aAnswer)) {
    StartAttempt(aNow, aOut, aCall, std::move(aAnswer));
  } else {
    Finish(aOut, aCall, std::move(aAnswer));
  }
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::OnWorkerAnswer(TimePoint aNow,
                                        DispatchActions& aOut,
                                        Call& aCall,
                                        CallAnswer aAnswer)
{
  const bool failed = aAnswer.m_response.m_status >= kFirstServerError;
  // Retries only if the cause is local and an answer can meet the target.
  const bool isCommon = failed && m_decisions.m_detectsCommonCause &&
                        m_workers.MeanFailureShare(aCall.m_plan.m_service) >
                          kCommonCauseFailureShare;
  const bool retry = failed && !isCommon && aCall.m_plan.m_idempotent &&
                     aNow + 2 * aAnswer.m_serviceTime < aCall.m_plan.m_target;
  if (!retry) {
    Finish(aOut, aCall, std::move(aAnswer));
    return;
  }
  aCall.m_fallback = aAnswer;
  RetryOrFinish(aNow, aOut, aCall, std::move(aAnswer));
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnAnswer(TimePoint aNow, CallAnswer aAnswer)
{
  DispatchActions out;
  Call* call = FindByAttempt(aAnswer.m_call);
  if (call == nullptr) {
    return out;
  }
  m_workers.RecordStatement(aNow, call->m_slot, aAnswer, m_random);
  // A paced answer takes time on links, which says nothing about other calls.
  if (aAnswer.m_response.m_body.Size() <= LinkPacer::kPartBytes) {
    m_workers.RecordTransit(
      aNow, call->m_slot, aNow - call->m_sentAt, aAnswer.m_timeAtWorker);
  }
  const LoadReport report{ aAnswer.m_load,
                           aAnswer.m_slots,
                           call->m_plan.m_kind,
                           aAnswer.m_serviceTime,
                           aAnswer.m_wait + aAnswer.m_linkWait };
  if (aAnswer.m_outcome == CallOutcome::Answered) {
    const bool failed = aAnswer.m_response.m_status >= kFirstServerError;
    EndAttempt(aNow, *call, failed ? Verdict::Failed : Verdict::Good, report);
    OnWorkerAnswer(aNow, out, *call, std::move(aAnswer));
    return out;
  }
  if (aAnswer.m_reason == RefusalReason::Leaving) {
    m_workers.MarkUnavailable(call->m_slot);
  }
  EndAttempt(aNow, *call, VerdictOf(aAnswer), report);
  RetryOrFinish(aNow, out, *call, std::move(aAnswer));
  return out;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnCallerDisconnected(TimePoint aNow,
                                              std::uint64_t aCall)
{
  DispatchActions out;
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return out;
  }
  Call& call = found->second;
  Abandon(out, call);
  EndAttempt(aNow, call, Verdict::Good, std::nullopt);
  Finish(
    out, call, Refuse(aCall, CallOutcome::Unknown, RefusalReason::Cancelled));
  return out;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::Expire(TimePoint aNow, TimePoint aUntil)
{
  DispatchActions out;
  while (!m_deadlines.empty() && m_deadlines.begin()->m_at <= aUntil) {
    const std::uint64_t id = m_deadlines.begin()->m_call;
    Call& call = m_calls.at(id);
    Abandon(out, call);
    EndAttempt(aNow, call, Verdict::Failed, std::nullopt);
    Finish(out,
           call,
           Refuse(id, CallOutcome::Unknown, RefusalReason::DeadlinePassed));
  }
  return out;
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::RecordProcess(std::uint64_t aAttempt,
                                       std::uint64_t aProcess)
{
  if (Call* call = FindByAttempt(aAttempt)) {
    call->m_process = aProcess;
  }
}

template class BasicDispatcher<RandomChoice>;
template class BasicDispatcher<TwoChoices>;
template class BasicDispatcher<ShortestQueue>;
template class BasicDispatcher<JoinWithTagging>;
template class BasicDispatcher<LowestExpectedLoss>;

}
