#include "greengagehub/calls/dispatcher.hpp"

#include "dispatch_rules.hpp"

// Lost and new connections, disconnected callers and deadlines.

namespace greengagehub {

using Verdict = WorkerTable::Verdict;

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnCancelResult(TimePoint aNow,
                                        std::uint64_t aAttempt,
                                        AttemptState aState)
{
  DispatchActions out;
  Call* call = FindByAttempt(aAttempt);
  if (call == nullptr || !call->m_inDoubt) {
    return out;
  }
  if (aState == AttemptState::Started) {
    call->m_inDoubt = false; // the answer arrives on the new connection
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
  m_reservations.SetSupport(aSlot, false);
  const std::vector<Announcement> dropped = m_reservations.TakeAllAt(aSlot);
  std::vector<std::uint64_t> affected;
  for (const auto& [id, call] : m_calls) {
    if (call.m_slot == aSlot && !call.m_inDoubt) {
      affected.push_back(id);
    }
  }
  for (const std::uint64_t id : affected) {
    Call& call = m_calls.at(id);
    if (!call.m_plan.m_idempotent) {
      call.m_inDoubt = true; // the state is queried on the next connection
      continue;
    }
    EndAttempt(aNow, call, Verdict::Failed, std::nullopt);
    RetryOrFinish(aNow,
                  out,
                  call,
                  Refuse(id, CallOutcome::Unknown, RefusalReason::LinkLost));
  }
  for (const Announcement& each : dropped) {
    OnAnnouncementLost(
      aNow, out, each, Refuse(0, CallOutcome::NotRun, RefusalReason::LinkLost));
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
  std::vector<std::uint64_t> inDoubt;
  for (const auto& [id, call] : m_calls) {
    if (call.m_slot == aSlot && call.m_inDoubt) {
      inDoubt.push_back(id);
    }
  }
  for (const std::uint64_t id : inDoubt) {
    Call& call = m_calls.at(id);
    if (call.m_process == aProcess) {
      out.emplace_back(SendCancel{ call.m_attempt, aSlot, false });
      continue;
    }
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
BasicDispatcher<Policy>::OnSendFailed(TimePoint aNow, std::uint64_t aAttempt)
{
  DispatchActions out;
  if (const auto announced = m_reservations.Take(aAttempt)) {
    OnAnnouncementLost(aNow,
                       out,
                       *announced,
                       Refuse(0, CallOutcome::NotRun, RefusalReason::LinkLost));
  } else if (Call* call = FindByAttempt(aAttempt)) {
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
BasicDispatcher<Policy>::OnCallerDisconnected(TimePoint aNow,
                                              std::uint64_t aCall)
{
  DispatchActions out;
  const auto found = m_calls.find(aCall);
  if (found == m_calls.end()) {
    return out;
  }
  Call& call = found->second;
  if (m_reservations.IsReserving(aCall)) {
    WithdrawAll(out, aCall);
  } else {
    if (!call.m_inDoubt) {
      out.emplace_back(SendCancel{ call.m_attempt, call.m_slot, true });
    }
    EndAttempt(aNow, call, Verdict::Good, std::nullopt);
  }
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
    if (m_reservations.IsReserving(id)) {
      WithdrawAll(out, id);
      Finish(out,
             call,
             Refuse(id, CallOutcome::NotRun, RefusalReason::DeadlinePassed));
      continue;
    }
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
