#pragma once

#include "greengagehub/calls/dispatcher.hpp"

#include <algorithm>
#include <vector>

namespace greengagehub {

// What happens to calls when links are lost and opened again.

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
  EndAttempt(aNow, *call, WorkerTable::Verdict::Failed, std::nullopt);
  if (aState == AttemptState::NotStarted && !SelectWorker(aNow, *call)) {
    // Its worker has not failed, and the link is open again.
    std::erase(call->m_tried, call->m_slot);
  }
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
  std::vector<std::uint64_t> affected;
  for (const auto& [id, call] : m_calls) {
    if (call.m_slot == aSlot && !call.m_inDoubt) {
      affected.push_back(id);
    }
  }
  for (const std::uint64_t id : affected) {
    Call& call = m_calls.at(id);
    // Without another worker a repeatable attempt is not given up either: its
    // worker may be running it.
    if (!call.m_plan.m_idempotent || !SelectWorker(aNow, call)) {
      call.m_inDoubt = true; // the state is queried on the next connection
      continue;
    }
    // Otherwise its worker could run it beside the repetition.
    Abandon(out, call);
    EndAttempt(aNow, call, WorkerTable::Verdict::Failed, std::nullopt);
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
  std::vector<std::uint64_t> inDoubt;
  for (const auto& [id, call] : m_calls) {
    if (call.m_slot == aSlot && call.m_inDoubt) {
      inDoubt.push_back(id);
    }
  }
  for (const std::uint64_t id : inDoubt) {
    Call& call = m_calls.at(id);
    if (call.m_process == aProcess) {
      out.emplace_back(SendCancel{ call.m_attempt, aSlot });
      continue;
    }
    EndAttempt(aNow, call, WorkerTable::Verdict::Failed, std::nullopt);
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
  if (Call* call = FindByAttempt(aAttempt)) {
    EndAttempt(aNow, *call, WorkerTable::Verdict::Failed, std::nullopt);
    RetryOrFinish(aNow,
                  out,
                  *call,
                  Refuse(0, CallOutcome::NotRun, RefusalReason::LinkLost));
  }
  return out;
}

}
