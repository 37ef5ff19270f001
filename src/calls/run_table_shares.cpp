#include "greengagehub/calls/run_table.hpp"

// Shares of the worker among workspaces.

namespace greengagehub {

ShareTicket
RunTable::QueueShare(TimePoint aNow, const WorkDemand& aDemand)
{
  const bool isNeeded = aDemand.m_share.m_workspace != 0 || m_shares.IsInUse();
  if (!m_settings.m_sharesFairly || !isNeeded) {
    return {};
  }
  return m_shares.Queue(aNow,
                        aDemand.m_priority,
                        aDemand.m_share,
                        m_serviceTimes.Estimate(aDemand.m_kind));
}

RunTable::Run*
RunTable::FindDisplaceable(TimePoint aNow, const Run& aFor, bool aIsClassFull)
{
  const WorkRank rank = Rank(aNow, aFor);
  // The last one of other ranks, and the last one of the workspace that is
  // furthest ahead.
  Run* last = nullptr;
  Run* ahead = nullptr;
  for (Run& each : m_queuedRuns) {
    const WorkRank other = Rank(aNow, each);
    if (!IsOfSameRank(&aFor.m_share, &each.m_share)) {
      if (last == nullptr || !other.IsBefore(Rank(aNow, *last))) {
        last = &each;
      }
      continue;
    }
    const ShareFlow* flow = each.m_share.m_flow;
    const bool isOwn = flow == aFor.m_share.m_flow;
    const bool isCounted = !aIsClassFull || each.m_class <= aFor.m_class;
    const bool isFurther = isOwn
                             ? !aIsClassFull && rank.IsBefore(other)
                             : FairShares::FinishTag(*flow) >
                                 FairShares::FinishTag(*aFor.m_share.m_flow);
    if (!isCounted || !isFurther) {
      continue;
    }
    const ShareFlow* best = ahead != nullptr ? ahead->m_share.m_flow : flow;
    const double difference =
      FairShares::FinishTag(*flow) - FairShares::FinishTag(*best);
    if (ahead == nullptr || difference > 0.0 ||
        (difference == 0.0 && !other.IsBefore(Rank(aNow, *ahead)))) {
      ahead = &each;
    }
  }
  const bool isOutranked =
    !aIsClassFull && last != nullptr && rank.IsBefore(Rank(aNow, *last));
  if (isOutranked && (ahead == nullptr || last->m_priority > aFor.m_priority)) {
    return last;
  }
  return ahead;
}

}
