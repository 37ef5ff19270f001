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
RunTable::FirstWithinShare(TimePoint aNow, Run& aBest)
{
  // A rank whose best call is ahead is served nevertheless, by another
  // workspace of the rank.
  Run* first = &aBest;
  WorkRank highest = Rank(aNow, aBest);
  for (Run& each : m_queuedRuns) {
    if (!IsOfSameRank(&aBest.m_share, &each.m_share)) {
      continue;
    }
    const WorkRank rank = Rank(aNow, each);
    if (rank.IsBefore(highest)) {
      first = &each;
      highest = rank;
    }
  }
  return first;
}

RunTable::Run*
RunTable::LastOfOtherRanks(TimePoint aNow, const Run& aFor)
{
  Run* last = nullptr;
  for (Run& each : m_queuedRuns) {
    const bool isBehind =
      last == nullptr || !Rank(aNow, each).IsBefore(Rank(aNow, *last));
    if (isBehind && !IsOfSameRank(&aFor.m_share, &each.m_share)) {
      last = &each;
    }
  }
  const bool isOutranked =
    last != nullptr && Rank(aNow, aFor).IsBefore(Rank(aNow, *last));
  return isOutranked ? last : nullptr;
}

RunTable::Run*
RunTable::LastOfFurthestAhead(TimePoint aNow,
                              const Run& aFor,
                              bool aIsClassFull)
{
  Run* last = nullptr;
  // Of two calls of a workspace, the one of lower rank.
  const auto isBehind = [&](const Run& aOne, const Run& aOther) {
    const ShareFlow& one = *aOne.m_share.m_flow;
    const ShareFlow& other = *aOther.m_share.m_flow;
    return &one != &other
             ? FairShares::FinishTag(one) > FairShares::FinishTag(other)
             : Rank(aNow, aOther).IsBefore(Rank(aNow, aOne));
  };
  for (Run& each : m_queuedRuns) {
    const bool isOwn = each.m_share.m_flow == aFor.m_share.m_flow;
    const bool isCounted =
      !aIsClassFull || (each.m_class <= aFor.m_class && !isOwn);
    if (IsOfSameRank(&aFor.m_share, &each.m_share) && isCounted &&
        isBehind(each, aFor) && (last == nullptr || !isBehind(*last, each))) {
      last = &each;
    }
  }
  return last;
}

RunTable::Run*
RunTable::FindDisplaceable(TimePoint aNow, const Run& aFor, bool aIsClassFull)
{
  Run* ahead = LastOfFurthestAhead(aNow, aFor, aIsClassFull);
  Run* outranked = aIsClassFull ? nullptr : LastOfOtherRanks(aNow, aFor);
  const bool isPreferred =
    outranked != nullptr &&
    (ahead == nullptr || outranked->m_priority > aFor.m_priority);
  return isPreferred ? outranked : ahead;
}

}
