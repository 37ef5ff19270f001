#include "greengagehub/calls/dispatcher.hpp"

namespace greengagehub {

namespace {

/// How long past the deadline the worker's daemon may take to say "not run";
/// then the caller is told that the outcome is unknown.
constexpr auto kGrace = std::chrono::milliseconds{ 2 };
constexpr std::uint16_t kFirstServerError = 500;

std::chrono::microseconds
TimeLeft(TimePoint aNow, TimePoint aDeadline)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDeadline -
                                                               aNow);
}

}

Dispatcher::Dispatcher(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

Dispatcher::Call*
Dispatcher::ByAttempt(std::uint64_t aAttempt)
{
  const auto attempt = m_attempts.find(aAttempt);
  if (attempt == m_attempts.end()) {
    return nullptr;
  }
  const auto call = m_calls.find(attempt->second);
  return call == m_calls.end() ? nullptr : &call->second;
}

void
Dispatcher::Finish(DispatchActions& aOut, Call& aCall, CallAnswer aAnswer)
{
  const std::uint64_t call = aCall.m_id;
  aAnswer.m_call = call;
  m_attempts.erase(aCall.m_attempt);
  m_deadlines.erase({ aCall.m_plan.m_deadline + kGrace, call });
  m_calls.erase(call);
  aOut.emplace_back(FinishCall{ call, std::move(aAnswer) });
}

void
Dispatcher::EndAttempt(TimePoint aNow,
                       Call& aCall,
                       bool aFailed,
                       std::optional<std::uint32_t> aLoad)
{
  m_workers.Ended(aCall.m_slot, aNow, aFailed, aLoad, m_random);
}

void
Dispatcher::Try(TimePoint aNow,
                DispatchActions& aOut,
                Call& aCall,
                CallAnswer aElse)
{
  const auto chosen = m_workers.Choose(
    TwoChoices{}, aCall.m_plan.m_service, aCall.m_tried, aNow, m_random);
  if (!chosen) {
    Finish(aOut, aCall, std::move(aElse));
    return;
  }
  m_workers.Sent(*chosen);
  m_attempts.erase(aCall.m_attempt);
  aCall.m_attempt = ++m_lastAttempt;
  aCall.m_slot = m_workers.At(*chosen).m_slot;
  aCall.m_process = 0;
  aCall.m_inDoubt = false;
  aCall.m_tried.push_back(aCall.m_slot);
  m_attempts.emplace(aCall.m_attempt, aCall.m_id);
  aOut.emplace_back(SendAttempt{ aCall.m_id,
                                 aCall.m_attempt,
                                 aCall.m_slot,
                                 TimeLeft(aNow, aCall.m_plan.m_deadline),
                                 aCall.m_plan.m_triesLeft });
}

DispatchActions
Dispatcher::Begin(TimePoint aNow, std::uint64_t aCall, CallPlan aPlan)
{
  DispatchActions out;
  m_budget.Deposit();
  Call call;
  call.m_id = aCall;
  call.m_plan = std::move(aPlan);
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

void
Dispatcher::RetryOrFinish(TimePoint aNow,
                          DispatchActions& aOut,
                          Call& aCall,
                          CallAnswer aAnswer)
{
  const bool safe =
    aAnswer.m_outcome == CallOutcome::NotRun || aCall.m_plan.m_idempotent;
  const bool wanted =
    safe && aNow < aCall.m_plan.m_deadline && aCall.m_plan.m_triesLeft > 0;
  if (!wanted || !m_budget.Withdraw()) {
    Finish(aOut, aCall, std::move(aAnswer));
    return;
  }
  --aCall.m_plan.m_triesLeft;
  Try(aNow, aOut, aCall, std::move(aAnswer));
}

DispatchActions
Dispatcher::OnAnswer(TimePoint aNow, CallAnswer aAnswer)
{
  DispatchActions out;
  Call* call = ByAttempt(aAnswer.m_call);
  if (call == nullptr) {
    return out;
  }
  if (aAnswer.m_outcome == CallOutcome::Answered) {
    const bool broken = aAnswer.m_response.m_status >= kFirstServerError;
    EndAttempt(aNow, *call, broken, aAnswer.m_load);
    Finish(out, *call, std::move(aAnswer));
    return out;
  }
  if (aAnswer.m_reason == RefusalReason::Leaving) {
    m_workers.SetLeaving(call->m_slot);
  }
  const bool broken = aAnswer.m_outcome == CallOutcome::Unknown ||
                      aAnswer.m_reason == RefusalReason::WorkerUnreachable;
  EndAttempt(aNow, *call, broken, aAnswer.m_load);
  RetryOrFinish(aNow, out, *call, std::move(aAnswer));
  return out;
}

DispatchActions
Dispatcher::OnCancelResult(TimePoint aNow,
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
  EndAttempt(aNow, *call, true, std::nullopt);
  const auto outcome = aState == AttemptState::NotStarted
                         ? CallOutcome::NotRun
                         : CallOutcome::Unknown;
  RetryOrFinish(aNow, out, *call, Refuse(0, outcome, RefusalReason::LinkLost));
  return out;
}

DispatchActions
Dispatcher::OnLinkLost(TimePoint aNow, const std::string& aSlot)
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
    EndAttempt(aNow, call, true, std::nullopt);
    RetryOrFinish(aNow,
                  out,
                  call,
                  Refuse(id, CallOutcome::Unknown, RefusalReason::LinkLost));
  }
  return out;
}

DispatchActions
Dispatcher::OnLinkUp(TimePoint aNow,
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
    EndAttempt(aNow, call, true, std::nullopt);
    RetryOrFinish(aNow,
                  out,
                  call,
                  Refuse(id, CallOutcome::Unknown, RefusalReason::Restarted));
  }
  return out;
}

DispatchActions
Dispatcher::OnNotSent(TimePoint aNow, std::uint64_t aAttempt)
{
  DispatchActions out;
  if (Call* call = ByAttempt(aAttempt)) {
    EndAttempt(aNow, *call, true, std::nullopt);
    RetryOrFinish(aNow,
                  out,
                  *call,
                  Refuse(0, CallOutcome::NotRun, RefusalReason::LinkLost));
  }
  return out;
}

DispatchActions
Dispatcher::OnCallerGone(TimePoint aNow, std::uint64_t aCall)
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
  EndAttempt(aNow, call, false, std::nullopt);
  Finish(
    out, call, Refuse(aCall, CallOutcome::Unknown, RefusalReason::Cancelled));
  return out;
}

DispatchActions
Dispatcher::OnTick(TimePoint aNow)
{
  DispatchActions out;
  while (!m_deadlines.empty() && m_deadlines.begin()->m_at <= aNow) {
    const std::uint64_t id = m_deadlines.begin()->m_call;
    Call& call = m_calls.at(id);
    if (!call.m_inDoubt) {
      out.emplace_back(SendCancel{ call.m_attempt, call.m_slot, true });
    }
    EndAttempt(aNow, call, true, std::nullopt);
    Finish(out,
           call,
           Refuse(id, CallOutcome::Unknown, RefusalReason::DeadlinePassed));
  }
  return out;
}

std::optional<TimePoint>
Dispatcher::NextDeadline() const
{
  if (m_deadlines.empty()) {
    return std::nullopt;
  }
  return m_deadlines.begin()->m_at;
}

void
Dispatcher::SentTo(std::uint64_t aAttempt, std::uint64_t aProcess)
{
  if (Call* call = ByAttempt(aAttempt)) {
    call->m_process = aProcess;
  }
}

}
