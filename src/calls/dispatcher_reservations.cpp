#include "greengagehub/calls/dispatcher.hpp"

#include "dispatch_rules.hpp"

// Late binding: announcements of calls, and offers of slots for them.

namespace greengagehub {

using Verdict = WorkerTable::Verdict;

template<RoutingPolicy Policy>
bool
BasicDispatcher<Policy>::MayReserve(const Call& aCall) const
{
  // A suspect request stays at the worker that its fingerprint selects.
  const bool isSuspect = m_quarantine != nullptr &&
                         m_quarantine->IsSuspect(aCall.m_plan.m_fingerprint);
  return m_decisions.m_reservations > 0 && !aCall.m_wasAnnounced &&
         !isSuspect && !aCall.m_busySlots.empty() &&
         aCall.m_busySlots.size() >= m_decisions.m_maxBusyReplies;
}

template<RoutingPolicy Policy>
bool
BasicDispatcher<Policy>::Reserve(TimePoint aNow,
                                 DispatchActions& aOut,
                                 Call& aCall)
{
  // SelectWorker() then compares all workers, busy ones included.
  const std::vector<std::string> tried = aCall.m_tried;
  std::uint32_t announced = 0;
  while (announced < m_decisions.m_reservations) {
    const auto next = SelectWorker(aNow, aCall);
    if (!next) {
      break;
    }
    const std::string& slot = m_workers.At(*next).m_slot;
    aCall.m_tried.push_back(slot);
    if (!m_reservations.IsSupported(slot)) {
      continue;
    }
    m_reservations.Add({ aCall.m_id, ++m_lastAttempt, slot });
    aOut.emplace_back(SendAnnouncement{
      aCall.m_id,
      m_lastAttempt,
      slot,
      TimeLeft(aNow, aCall.m_plan.m_deadline),
      TimeLeft(aNow,
               std::min(aCall.m_plan.m_target, aCall.m_plan.m_deadline)) });
    ++announced;
  }
  aCall.m_tried = tried;
  aCall.m_wasAnnounced = true;
  if (announced == 0) {
    return false;
  }
  m_attempts.erase(aCall.m_attempt);
  aCall.m_attempt = 0;
  aCall.m_slot.clear();
  aCall.m_inDoubt = false;
  return true;
}

template<RoutingPolicy Policy>
DispatchActions
BasicDispatcher<Policy>::OnOffer(TimePoint aNow,
                                 const std::string& aSlot,
                                 std::uint64_t aAttempt)
{
  DispatchActions out;
  const auto announced = m_reservations.Take(aAttempt);
  const auto worker = m_workers.Find(aSlot);
  if (!announced) {
    ++m_reservations.m_counts.m_declined;
    out.emplace_back(SendCancel{ aAttempt, aSlot, true });
    return out;
  }
  Call& call = m_calls.at(announced->m_call);
  if (!worker || QuarantineTimeLeft(aNow, call)) {
    ++m_reservations.m_counts.m_declined;
    out.emplace_back(SendCancel{ aAttempt, aSlot, true });
    OnAnnouncementLost(
      aNow,
      out,
      *announced,
      Refuse(0, CallOutcome::NotRun, RefusalReason::WorkerUnreachable));
    return out;
  }
  ++m_reservations.m_counts.m_taken;
  WithdrawAll(out, call.m_id);
  SendTo(aNow, out, call, *worker, aAttempt, true);
  return out;
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::WithdrawAll(DispatchActions& aOut, std::uint64_t aCall)
{
  for (const Announcement& each : m_reservations.TakeAll(aCall)) {
    ++m_reservations.m_counts.m_withdrawn;
    aOut.emplace_back(SendCancel{ each.m_attempt, each.m_slot, true });
  }
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::OnAnnouncementLost(TimePoint aNow,
                                            DispatchActions& aOut,
                                            const Announcement& aAnnouncement,
                                            CallAnswer aAnswer)
{
  if (m_reservations.IsReserving(aAnnouncement.m_call)) {
    return;
  }
  Call& call = m_calls.at(aAnnouncement.m_call);
  RetryOrFinish(aNow, aOut, call, std::move(aAnswer));
}

template<RoutingPolicy Policy>
void
BasicDispatcher<Policy>::OnDeclined(TimePoint aNow,
                                    DispatchActions& aOut,
                                    const Announcement& aAnnouncement,
                                    CallAnswer aAnswer)
{
  ++m_reservations.m_counts.m_refused;
  const std::string& slot = aAnnouncement.m_slot;
  m_workers.RecordStatement(aNow, slot, aAnswer, m_random);
  if (aAnswer.m_reason == RefusalReason::Leaving) {
    m_workers.MarkUnavailable(slot);
  }
  OnAnnouncementLost(aNow, aOut, aAnnouncement, std::move(aAnswer));
}

template class BasicDispatcher<RandomChoice>;
template class BasicDispatcher<TwoChoices>;
template class BasicDispatcher<ShortestQueue>;
template class BasicDispatcher<JoinWithTagging>;
template class BasicDispatcher<LowestExpectedLoss>;

}
