#include "greengagehub/calls/dispatcher.hpp"

#include "dispatch_rules.hpp"

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
BasicDispatcher<Policy>::ByAttempt(std::uint64_t aAttempt)
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
    // The last attempt was refused, but an earlier one was sent: "not run"
    // would be false.
    aAnswer.m_outcome = CallOutcome::Unknown;
  }
  m_attempts.erase(aCall.m_attempt);
  m_deadlines.erase({ aCall.m_plan.m_deadline + kGrace, call });
  m_calls.erase(call);
  aOut.emplace_back(FinishCall{ call, std::move(aAnswer) });
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::EndAttempt(TimePoint aNow,
                                    Call& aCall,
                                    Verdict aVerdict,
                                    const std::optional<LoadReport>& aReport)
{
  m_workers.Ended(aCall.m_slot, aNow, aVerdict, aReport, m_random);
}

template<RoutingPolicy Policy>
std::optional<WorkerTable::Index>
BasicDispatcher<Policy>::ChooseFor(TimePoint aNow, Call& aCall)
{
  if (m_rollouts == nullptr || m_rollouts->IsEmpty()) {
    return ChooseAmong(aNow, aCall, nullptr);
  }
  const bool triesTrial = aCall.m_drewTrial && !aCall.m_hasArrived;
  const VersionRules rules =
    m_rollouts->RulesFor(aNow, aCall.m_plan.m_service, triesTrial);
  if (rules.IsEmpty()) {
    return ChooseAmong(aNow, aCall, nullptr);
  }
  for (const VersionRule& each : rules) {
    if (const auto chosen = ChooseAmong(aNow, aCall, &each)) {
      return chosen;
    }
  }
  return std::nullopt;
}

template<RoutingPolicy Policy>
std::optional<WorkerTable::Index>
BasicDispatcher<Policy>::ChooseAmong(TimePoint aNow,
                                     const Call& aCall,
                                     const VersionRule* aRule)
{
  const RoutingContext context{
    aNow,
    aCall.m_plan.m_kind,
    std::min(aCall.m_plan.m_target, aCall.m_plan.m_deadline) - aNow,
    aCall.m_plan.m_crossing,
    aCall.m_plan.m_deadline - aNow
  };
  const Fingerprint content = aCall.m_plan.m_content;
  if (m_quarantine != nullptr && m_quarantine->IsSuspect(content)) {
    OnePlace place{ content };
    return m_workers.Choose(
      place, aCall.m_plan.m_service, aCall.m_tried, context, m_random, aRule);
  }
  if (aCall.m_busy.size() < m_decisions.m_maxBusy) {
    std::vector<std::string> exclude = aCall.m_tried;
    exclude.insert(exclude.end(), aCall.m_busy.begin(), aCall.m_busy.end());
    const auto chosen = m_workers.Choose(
      m_policy, aCall.m_plan.m_service, exclude, context, m_random, aRule);
    // Rather than beyond the domain it may wait at one of those that were
    // asked: what they told is weighed against the crossing.
    if (chosen && IsNear(m_policy, m_workers.At(*chosen))) {
      return chosen;
    }
  }
  return m_workers.Choose(
    m_policy, aCall.m_plan.m_service, aCall.m_tried, context, m_random, aRule);
}

template<RoutingPolicy Policy>
bool
BasicDispatcher<Policy>::IsAskingCheap(TimePoint aNow, const Call& aCall) const
{
  const Duration left = std::max<Duration>(aCall.m_plan.m_target - aNow, {});
  return m_askTime <= left / m_decisions.m_busyPart;
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::Try(TimePoint aNow,
                             DispatchActions& aOut,
                             Call& aCall,
                             CallAnswer aElse)
{
  if (const auto left = HeldFor(aNow, aCall)) {
    Finish(aOut,
           aCall,
           Refuse(aCall.m_id, CallOutcome::NotRun, RefusalReason::Held, *left));
    return;
  }
  const auto chosen = ChooseFor(aNow, aCall);
  const bool again = !aCall.m_tried.empty();
  // Where all queues are full, asking one daemon after the other multiplies the
  // messages just when there is most to do. A worker that turns calls away by
  // itself is another matter: it may take the next, and the budget bounds how
  // many are tried.
  const bool hopeless = chosen && again && !aElse.m_reachedWorker &&
                        aElse.m_reason != RefusalReason::Busy &&
                        m_workers.At(*chosen).m_refusals > kKnownToRefuse;
  if (!chosen || hopeless) {
    Finish(aOut, aCall, std::move(aElse));
    return;
  }
  const bool wasBusy =
    std::find(aCall.m_busy.begin(),
              aCall.m_busy.end(),
              m_workers.At(*chosen).m_slot) != aCall.m_busy.end();
  const bool mayAsk = aCall.m_busy.size() < m_decisions.m_maxBusy && !wasBusy &&
                      IsNear(m_policy, m_workers.At(*chosen));
  const bool asks = mayAsk && IsAskingCheap(aNow, aCall);
  if (mayAsk && !asks) {
    // Or it would never be measured again.
    m_askTime -= m_askTime / kAskForgets;
  }
  m_workers.Sent(*chosen);
  m_attempts.erase(aCall.m_attempt);
  aCall.m_attempt = ++m_lastAttempt;
  aCall.m_slot = m_workers.At(*chosen).m_slot;
  aCall.m_process = 0;
  aCall.m_sent = aNow;
  aCall.m_inDoubt = false;
  aCall.m_tried.push_back(aCall.m_slot);
  m_attempts.emplace(aCall.m_attempt, aCall.m_id);
  aOut.emplace_back(SendAttempt{
    aCall.m_id,
    aCall.m_attempt,
    aCall.m_slot,
    TimeLeft(aNow, aCall.m_plan.m_deadline),
    TimeLeft(aNow, std::min(aCall.m_plan.m_target, aCall.m_plan.m_deadline)),
    aCall.m_plan.m_triesLeft,
    aCall.m_hasArrived,
    asks });
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::Begin(TimePoint aNow,
                               std::uint64_t aCall,
                               CallPlan aPlan)
{
  DispatchActions out;
  m_budget.Deposit(aNow, aPlan.m_service, aPlan.m_priority, aPlan.m_inherited);
  Call call;
  call.m_id = aCall;
  call.m_plan = std::move(aPlan);
  call.m_drewTrial =
    m_rollouts != nullptr &&
    m_rollouts->DrawsTrial(aNow, call.m_plan.m_service, m_random);
  m_deadlines.insert({ call.m_plan.m_deadline + kGrace, aCall });
  Call& kept = m_calls.emplace(aCall, std::move(call)).first->second;
  Try(aNow,
      out,
      kept,
      Refuse(aCall,
             CallOutcome::NotRun,
             RefusalReason::NoWorker,
             std::chrono::seconds{ 1 }));
  return out;
}

template<RoutingPolicy Policy>
std::optional<std::chrono::milliseconds>
BasicDispatcher<Policy>::HeldFor(TimePoint aNow, const Call& aCall) const
{
  return m_quarantine == nullptr
           ? std::nullopt
           : m_quarantine->HeldFor(aNow, aCall.m_plan.m_content);
}

template<RoutingPolicy Policy>
bool
BasicDispatcher<Policy>::IsFirstEnd(const Call& aCall,
                                    const CallAnswer& aAnswer) const
{
  const std::uint32_t known =
    m_quarantine == nullptr ? 0
                            : m_quarantine->EndsUnder(aCall.m_plan.m_content);
  return std::max(known, aAnswer.m_ends) < Quarantine::kSuspectEnds;
}

template<RoutingPolicy Policy>
bool
BasicDispatcher<Policy>::MayTryAgain(TimePoint aNow,
                                     Call& aCall,
                                     const CallAnswer& aAnswer)
{
  if (aAnswer.m_reason == RefusalReason::Busy) {
    std::erase(aCall.m_tried, aCall.m_slot);
    aCall.m_busy.push_back(aCall.m_slot);
    m_askTime += (aNow - aCall.m_sent - m_askTime) / kAskWeight;
    return true;
  }
  if (aAnswer.m_reason == RefusalReason::Held ||
      aAnswer.m_reason == RefusalReason::NoRepeats) {
    return false;
  }
  // Another try may end the next worker, with all that runs there.
  if (aAnswer.m_reason == RefusalReason::WorkerEnded &&
      !IsFirstEnd(aCall, aAnswer)) {
    return false;
  }
  const bool safe =
    aAnswer.m_outcome == CallOutcome::NotRun || aCall.m_plan.m_idempotent;
  if (!safe || aNow >= aCall.m_plan.m_deadline) {
    return false;
  }
  const bool reachedNone =
    aAnswer.m_outcome == CallOutcome::NotRun && !aAnswer.m_reachedWorker;
  if (reachedNone && IsAbsent(aAnswer.m_reason)) {
    return ++aCall.m_absent <= kMaxAbsent;
  }
  if (reachedNone) {
    // Puts no load on any worker, so that only the messages count.
    return ++aCall.m_redirects <= m_decisions.m_maxRedirects;
  }
  if (aCall.m_plan.m_triesLeft == 0 ||
      !m_budget.Withdraw(
        aNow, aCall.m_plan.m_service, aCall.m_plan.m_priority)) {
    return false;
  }
  --aCall.m_plan.m_triesLeft;
  aCall.m_hasArrived = true;
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
  if (MayTryAgain(aNow, aCall, aAnswer)) {
    Try(aNow, aOut, aCall, std::move(aAnswer));
  } else {
    Finish(aOut, aCall, std::move(aAnswer));
  }
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::OnWorkersAnswer(TimePoint aNow,
                                         DispatchActions& aOut,
                                         Call& aCall,
                                         CallAnswer aAnswer)
{
  const bool failed = aAnswer.m_response.m_status >= kFirstServerError;
  // Another worker may do better, if an answer can still be in time.
  const bool commonCause =
    failed && m_decisions.m_seesCommonCause &&
    m_workers.MeanFailures(aCall.m_plan.m_service) > kCommonFailures;
  const bool again = failed && !commonCause && aCall.m_plan.m_idempotent &&
                     aNow + 2 * aAnswer.m_serviceTime < aCall.m_plan.m_target;
  if (!again) {
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
  Call* call = ByAttempt(aAnswer.m_call);
  if (call == nullptr) {
    return out;
  }
  const LoadReport report{ aAnswer.m_load,
                           aAnswer.m_slots,
                           call->m_plan.m_kind,
                           aAnswer.m_serviceTime,
                           aAnswer.m_wait };
  if (aAnswer.m_outcome == CallOutcome::Answered) {
    const bool broken = aAnswer.m_response.m_status >= kFirstServerError;
    EndAttempt(aNow, *call, broken ? Verdict::Failed : Verdict::Good, report);
    OnWorkersAnswer(aNow, out, *call, std::move(aAnswer));
    return out;
  }
  if (aAnswer.m_reason == RefusalReason::Leaving) {
    m_workers.SetLeaving(call->m_slot);
  }
  EndAttempt(aNow, *call, VerdictOf(aAnswer), report);
  RetryOrFinish(aNow, out, *call, std::move(aAnswer));
  return out;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnCancelResult(TimePoint aNow,
                                        std::uint64_t aAttempt,
                                        AttemptState aState)
{
  DispatchActions out;
  Call* call = ByAttempt(aAttempt);
  if (call == nullptr || !call->m_inDoubt) {
    return out;
  }
  if (aState == AttemptState::Started) {
    // Its answer will come on the new connection.
    call->m_inDoubt = false;
    return out;
  }
  EndAttempt(aNow, *call, Verdict::Failed, std::nullopt);
  const auto outcome = aState == AttemptState::NotStarted
                         ? CallOutcome::NotRun
                         : CallOutcome::Unknown;
  RetryOrFinish(aNow, out, *call, Refuse(0, outcome, RefusalReason::LinkLost));
  return out;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnLinkLost(TimePoint aNow, const std::string& aSlot)
{
  DispatchActions out;
  std::vector<std::uint64_t> hit;
  for (const auto& [id, call] : m_calls) {
    if (call.m_slot == aSlot && !call.m_inDoubt) {
      hit.push_back(id);
    }
  }
  for (const std::uint64_t id : hit) {
    Call& call = m_calls.at(id);
    if (!call.m_plan.m_idempotent) {
      // Only the worker's daemon can tell whether it started: ask on the next
      // connection. Until then nothing may be sent again or told.
      call.m_inDoubt = true;
      continue;
    }
    EndAttempt(aNow, call, Verdict::Failed, std::nullopt);
    RetryOrFinish(aNow,
                  out,
                  call,
                  Refuse(id, CallOutcome::Unknown, RefusalReason::LinkLost));
  }
  return out;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnLinkUp(TimePoint aNow,
                                  const std::string& aSlot,
                                  std::uint64_t aProcess)
{
  DispatchActions out;
  std::vector<std::uint64_t> doubted;
  for (const auto& [id, call] : m_calls) {
    if (call.m_slot == aSlot && call.m_inDoubt) {
      doubted.push_back(id);
    }
  }
  for (const std::uint64_t id : doubted) {
    Call& call = m_calls.at(id);
    if (call.m_process == aProcess) {
      out.emplace_back(SendCancel{ call.m_attempt, aSlot, false });
      continue;
    }
    // Another process: the one that knew is gone, and its worker may have run
    // the call.
    EndAttempt(aNow, call, Verdict::Failed, std::nullopt);
    RetryOrFinish(aNow,
                  out,
                  call,
                  Refuse(id, CallOutcome::Unknown, RefusalReason::Restarted));
  }
  return out;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnNotSent(TimePoint aNow, std::uint64_t aAttempt)
{
  DispatchActions out;
  if (Call* call = ByAttempt(aAttempt)) {
    EndAttempt(aNow, *call, Verdict::Failed, std::nullopt);
    RetryOrFinish(aNow,
                  out,
                  *call,
                  Refuse(0, CallOutcome::NotRun, RefusalReason::LinkLost));
  }
  return out;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnCallerGone(TimePoint aNow, std::uint64_t aCall)
{
  DispatchActions out;
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return out;
  }
  Call& call = found->second;
  if (!call.m_inDoubt) {
    out.emplace_back(SendCancel{ call.m_attempt, call.m_slot, true });
  }
  EndAttempt(aNow, call, Verdict::Good, std::nullopt);
  Finish(
    out, call, Refuse(aCall, CallOutcome::Unknown, RefusalReason::Cancelled));
  return out;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnTick(TimePoint aNow)
{
  DispatchActions out;
  while (!m_deadlines.empty() && m_deadlines.begin()->m_at <= aNow) {
    const std::uint64_t id = m_deadlines.begin()->m_call;
    Call& call = m_calls.at(id);
    if (!call.m_inDoubt) {
      out.emplace_back(SendCancel{ call.m_attempt, call.m_slot, true });
    }
    EndAttempt(aNow, call, Verdict::Failed, std::nullopt);
    Finish(out,
           call,
           Refuse(id, CallOutcome::Unknown, RefusalReason::DeadlinePassed));
  }
  return out;
}

template<RoutingPolicy Policy>
std::optional<TimePoint>
BasicDispatcher<Policy>::NextDeadline() const
{
  if (m_deadlines.empty()) {
    return std::nullopt;
  }
  return m_deadlines.begin()->m_at;
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::SentTo(std::uint64_t aAttempt, std::uint64_t aProcess)
{
  if (Call* call = ByAttempt(aAttempt)) {
    call->m_process = aProcess;
  }
}

template class BasicDispatcher<RandomChoice>;
template class BasicDispatcher<TwoChoices>;
template class BasicDispatcher<ShortestQueue>;
template class BasicDispatcher<JoinWithTagging>;
template class BasicDispatcher<NearestFit>;

}
