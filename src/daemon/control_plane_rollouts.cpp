#include "greengagehub/daemon/control_plane.hpp"

#include <algorithm>

// News of versions on trial, between daemons.

namespace greengagehub {

namespace {

/// Members of the own domain that each daemon tells a new state. With four all
/// but one in e^4 hear it within as many hops as the logarithm of the domain's
/// size; who does not is told on a probe, and stops when its leave runs out.
constexpr std::size_t kStateFanout = 4;
/// The same for a leave that is renewed: the next one comes in a third of the
/// time for which it is lent.
constexpr std::size_t kLeaveFanout = 2;
/// Between two tellings of all roll-outs to peers that have others.
constexpr std::chrono::milliseconds kRolloutsEvery{ 200 };
/// Records in a datagram of 1,400 bytes beside its sender.
constexpr std::size_t kRecordsAtOnce = 6;

}

RolloutKeeper::Parts
ControlPlane::RolloutParts()
{
  return {
    .m_store = m_store,
    .m_log = m_log,
    .m_limits =
      [this] {
        const PlatformSettings& platform = m_settings.m_platform;
        return RolloutLimits{ platform.m_trialShare, platform.m_trialSlack };
      },
    .m_spread =
      [this](const std::vector<RolloutRecord>& aRecords,
             RolloutKeeper::Reach aReach,
             RolloutTable::Change aChange) {
        SpreadRollouts(aRecords, aReach, aChange);
      },
    .m_tell = [this](WorkerCounts aCounts) { TellCounts(std::move(aCounts)); },
    .m_leads =
      [this] {
        return m_memberSync.HasJoined() && m_membership.IsFirstOfAll();
      },
    .m_writesForOthers = [this] { return m_membership.SpeaksForDomain(); },
    .m_workers =
      [this](const RolloutRecord& aRecord) { return WorkersOf(aRecord); },
    .m_mainVersion =
      [this](const std::string& aService) { return MainVersionOf(aService); },
    .m_ownCounts = m_handlers.m_ownCounts,
    .m_countAnew = m_handlers.m_countAnew
  };
}

void
ControlPlane::SendRollouts(const std::vector<MemberPeer>& aTo,
                           const std::vector<RolloutRecord>& aRecords)
{
  for (std::size_t i = 0; i < aRecords.size(); i += kRecordsAtOnce) {
    GossipMessage message;
    message.m_kind = GossipMessage::Kind::Push;
    message.m_sender = m_membership.Self();
    message.m_members = m_membership.Digests().Summary();
    const std::size_t end = std::min(aRecords.size(), i + kRecordsAtOnce);
    message.m_rollouts.assign(aRecords.begin() + static_cast<std::ptrdiff_t>(i),
                              aRecords.begin() +
                                static_cast<std::ptrdiff_t>(end));
    for (const MemberPeer& each : aTo) {
      SendGossip({ each, message });
    }
  }
}

void
ControlPlane::SpreadRollouts(const std::vector<RolloutRecord>& aRecords,
                             RolloutKeeper::Reach aReach,
                             RolloutTable::Change aChange)
{
  const bool isState = aChange == RolloutTable::Change::State;
  SendRollouts(m_membership.SampleNear(isState ? kStateFanout : kLeaveFanout),
               aRecords);
  if (aReach == RolloutKeeper::Reach::All) {
    // Twice: a domain that misses it goes on until a probe tells.
    SendRollouts(m_membership.SampleEachDomain(), aRecords);
    SendRollouts(m_membership.SampleEachDomain(), aRecords);
  }
}

void
ControlPlane::CompareRollouts(TimePoint aNow, const GossipMessage& aMessage)
{
  const RolloutTable& own = m_rollouts.Table();
  const bool differs = aMessage.m_rolloutsDigest != own.Summary();
  if (!differs || own.Summary() == 0 || aNow < m_nextRollouts) {
    return;
  }
  m_nextRollouts = aNow + kRolloutsEvery;
  SendRollouts({ m_membership.PeerOf(aMessage.m_sender) }, own.All(aNow));
}

void
ControlPlane::TellCounts(WorkerCounts aCounts)
{
  const auto first = m_membership.FirstOfAll();
  if (!first) {
    return;
  }
  GossipMessage message;
  message.m_kind = GossipMessage::Kind::Push;
  message.m_sender = m_membership.Self();
  message.m_members = m_membership.Digests().Summary();
  message.m_counts = std::move(aCounts);
  SendGossip({ *first, std::move(message) });
}

RolloutHolder::Workers
ControlPlane::WorkersOf(const RolloutRecord& aRecord) const
{
  RolloutHolder::Workers workers;
  const auto count = [&](const MemberRecord& aMember) {
    const bool counts = aMember.m_service == aRecord.m_order.m_service &&
                        TakesCalls(aMember.m_state) && aMember.m_slots > 0;
    if (!counts) {
      return;
    }
    const bool isNew = aMember.m_workerVersion == aRecord.m_order.m_target;
    ++(isNew ? workers.m_new : workers.m_old);
  };
  count(m_membership.Self());
  m_membership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) { count(aRow.m_record); });
  return workers;
}

std::string
ControlPlane::MainVersionOf(const std::string& aService) const
{
  std::map<std::string, std::size_t> counts;
  const auto count = [&](const MemberRecord& aMember) {
    const bool tells = aMember.m_service == aService &&
                       IsPresent(aMember.m_state) &&
                       !aMember.m_workerVersion.empty();
    if (tells) {
      ++counts[aMember.m_workerVersion];
    }
  };
  count(m_membership.Self());
  m_membership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) { count(aRow.m_record); });
  const auto most = std::ranges::max_element(
    counts, {}, [](const auto& aEach) { return aEach.second; });
  return most == counts.end() ? std::string{} : most->first;
}

}
