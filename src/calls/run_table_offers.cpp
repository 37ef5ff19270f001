#include "greengagehub/calls/run_table.hpp"

// Announced attempts and slots held for them.

namespace greengagehub {

RunTable::Run
RunTable::OfferedRun(TimePoint aNow,
                     CallKey aKey,
                     std::uint64_t aEpoch,
                     const WorkDemand& aDemand) const
{
  Run run;
  run.m_key = aKey;
  run.m_epoch = aEpoch;
  run.m_class = aDemand.m_class;
  run.m_priority = aDemand.m_priority;
  run.m_kind = aDemand.m_kind;
  run.m_target = aNow + aDemand.m_targetLeft;
  run.m_deadline = aNow + aDemand.m_timeLeft;
  return run;
}

Admission
RunTable::Announce(TimePoint aNow,
                   CallKey aKey,
                   std::uint64_t aEpoch,
                   const WorkDemand& aDemand)
{
  const auto refuse = [&](RefusalReason aReason) {
    return Admission{ Admission::Kind::Refused, aReason, ExpectedWait(aNow) };
  };
  if (m_runs.contains(aKey) || IsEvicted(aKey)) {
    return { Admission::Kind::Duplicate, RefusalReason::None, {} };
  }
  if (m_draining) {
    return refuse(RefusalReason::Leaving);
  }
  if (aDemand.m_timeLeft <= m_settings.m_margin) {
    return refuse(RefusalReason::DeadlineTooShort);
  }
  // Offers would reserve starts that the limit may need for queued calls.
  if (m_limiter.IsLimiting(aNow)) {
    return refuse(RefusalReason::RateLimited);
  }
  const Run demand = OfferedRun(aNow, aKey, aEpoch, aDemand);
  const bool isFree = MayOffer(aNow);
  if (!isFree) {
    if (const auto reason = ReasonToRefuse(aNow, demand)) {
      return refuse(*reason);
    }
    if (Announced() >= m_settings.m_queue) {
      return refuse(RefusalReason::Overloaded);
    }
  }
  Run& run = AddRun(aNow, aKey, State::Announced);
  CopyDemand(demand, run);
  run.m_expires = ExpiryOf(aNow, run);
  m_announcedRuns.push_back(run);
  ++m_offers.m_announced;
  if (!isFree) {
    return { Admission::Kind::Queued };
  }
  HoldSlot(aNow, run);
  return { Admission::Kind::Offered };
}

void
RunTable::HoldSlot(TimePoint aNow, Run& aRun)
{
  m_announcedRuns.erase(m_announcedRuns.iterator_to(aRun));
  aRun.m_state = State::Held;
  aRun.m_stateSince = aNow;
  aRun.m_expires = aNow + m_settings.m_offerTimeout;
  m_heldRuns.push_back(aRun);
  ++m_offers.m_offered;
}

void
RunTable::OfferSlots(TimePoint aNow, RunActions& aOut)
{
  while (!m_announcedRuns.empty() && MayOffer(aNow)) {
    Run* run = HighestRanked(aNow, m_announcedRuns);
    HoldSlot(aNow, *run);
    aOut.m_offered.push_back(run->m_key);
  }
}

void
RunTable::EraseAnnounced(TimePoint aNow, Run& aRun)
{
  if (aRun.m_state == State::Held) {
    m_offers.m_heldTime += aNow - aRun.m_stateSince;
    m_heldRuns.erase(m_heldRuns.iterator_to(aRun));
  } else {
    m_announcedRuns.erase(m_announcedRuns.iterator_to(aRun));
  }
  m_runs.erase(aRun.m_key);
}

bool
RunTable::IsAnnounced(CallKey aKey) const
{
  const auto known = m_runs.find(aKey);
  return known != m_runs.end() && (known->second->m_state == State::Announced ||
                                   known->second->m_state == State::Held);
}

bool
RunTable::TakeAnnounced(TimePoint aNow, CallKey aKey)
{
  if (!IsAnnounced(aKey)) {
    return false;
  }
  Run& run = *m_runs.at(aKey);
  const bool isHeld = run.m_state == State::Held;
  m_offers.m_taken += isHeld ? 1 : 0;
  EraseAnnounced(aNow, run);
  return isHeld;
}

RunActions
RunTable::Withdraw(TimePoint aNow, CallKey aKey)
{
  RunActions out;
  if (!IsAnnounced(aKey)) {
    return out;
  }
  Run& run = *m_runs.at(aKey);
  m_offers.m_declined += run.m_state == State::Held ? 1 : 0;
  EraseAnnounced(aNow, run);
  StartQueued(aNow, out);
  return out;
}

RunActions
RunTable::WithdrawEpochs(TimePoint aNow,
                         std::uint64_t aProcess,
                         std::uint64_t aBelowEpoch)
{
  for (RunList* list : { &m_announcedRuns, &m_heldRuns }) {
    for (auto it = list->begin(); it != list->end();) {
      Run& run = *it++;
      if (run.m_key.m_process == aProcess && run.m_epoch < aBelowEpoch) {
        m_offers.m_declined += run.m_state == State::Held ? 1 : 0;
        EraseAnnounced(aNow, run);
      }
    }
  }
  RunActions out;
  StartQueued(aNow, out);
  return out;
}

void
RunTable::ExpireAnnounced(TimePoint aNow, RunActions& aOut)
{
  while (!m_heldRuns.empty() && m_heldRuns.front().m_expires <= aNow) {
    // Nothing is reported: the request may be on its way.
    ++m_offers.m_timedOut;
    EraseAnnounced(aNow, m_heldRuns.front());
  }
  for (auto it = m_announcedRuns.begin(); it != m_announcedRuns.end();) {
    Run& run = *it++;
    if (run.m_expires <= aNow) {
      aOut.m_refused.push_back(
        { run.m_key, RefusalReason::DeadlinePassed, ExpectedWait(aNow) });
      EraseAnnounced(aNow, run);
    }
  }
}

void
RunTable::RefuseAnnounced(TimePoint aNow,
                          RefusalReason aReason,
                          RunActions& aOut)
{
  while (!m_announcedRuns.empty()) {
    aOut.m_refused.push_back({ m_announcedRuns.front().m_key, aReason, {} });
    EraseAnnounced(aNow, m_announcedRuns.front());
  }
  // Nothing is reported of these: their requests may be on their way.
  while (!m_heldRuns.empty()) {
    EraseAnnounced(aNow, m_heldRuns.front());
  }
}

}
