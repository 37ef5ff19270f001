#include "greengagehub/daemon/control_plane.hpp"
#include "greengagehub/dissemination/push_message.hpp"

#include <algorithm>

// Exchange of roll-out records and counts between daemons.

namespace greengagehub {

namespace {

/// Peers of its domain to which a daemon forwards a change of state. With four,
/// one in e^4 of a domain's members is not reached; those are updated when a
/// probe shows a different digest, and stop when their permit expires.
constexpr std::size_t kStateFanout = 4;
/// Number of peers to which a daemon forwards a renewed permit. Fewer suffice,
/// as a permit is renewed after a third of its lifetime.
constexpr std::size_t kPermitFanout = 2;
/// Shortest time between two transmissions of all roll-outs.
constexpr std::chrono::milliseconds kRolloutsInterval{ 200 };
/// Number of roll-out records that fit into a datagram with the sender's
/// record.
constexpr std::size_t kRecordsPerDatagram = 6;

}

RolloutService::Dependencies
ControlPlane::RolloutDependencies()
{
  return {
    .m_store = m_store,
    .m_log = m_log,
    .m_limits =
      [this] {
        const PlatformSettings& platform = m_settings.m_platform;
        return RolloutLimits{ platform.m_canaryShare, platform.m_canarySlack };
      },
    .m_publish =
      [this](const std::vector<RolloutRecord>& aRecords,
             RolloutService::Scope aScope,
             RolloutTable::Change aChange) {
        PublishRollouts(aRecords, aScope, aChange);
      },
    .m_sendCounts =
      [this](WorkerCounts aCounts) { SendCounts(std::move(aCounts)); },
    .m_isLeader =
      [this] {
        return m_memberSync.HasJoined() && m_membership.IsHighestRanked();
      },
    .m_isBackupWriter = [this] { return m_membership.IsDomainRelay(); },
    .m_workers =
      [this](const RolloutRecord& aRecord) { return WorkersOf(aRecord); },
    .m_mostCommonVersion =
      [this](const std::string& aService) {
        return MostCommonVersionOf(aService);
      },
    .m_workerCounts = m_handlers.m_workerCounts,
    .m_resetWorkerCounts = m_handlers.m_resetWorkerCounts
  };
}

void
ControlPlane::SendRollouts(const std::vector<MemberPeer>& aTo,
                           const std::vector<RolloutRecord>& aRecords)
{
  for (std::size_t i = 0; i < aRecords.size(); i += kRecordsPerDatagram) {
    GossipMessage message = MakePushMessage(m_membership);
    const std::size_t end = std::min(aRecords.size(), i + kRecordsPerDatagram);
    message.m_rollouts.assign(aRecords.begin() + static_cast<std::ptrdiff_t>(i),
                              aRecords.begin() +
                                static_cast<std::ptrdiff_t>(end));
    for (const MemberPeer& each : aTo) {
      SendGossip({ each, message });
    }
  }
}

void
ControlPlane::PublishRollouts(const std::vector<RolloutRecord>& aRecords,
                              RolloutService::Scope aScope,
                              RolloutTable::Change aChange)
{
  const bool isState = aChange == RolloutTable::Change::State;
  SendRollouts(
    m_membership.SampleOwnDomain(isState ? kStateFanout : kPermitFanout),
    aRecords);
  if (aScope == RolloutService::Scope::AllDomains) {
    // Sends the records twice to compensate for datagram loss.
    SendRollouts(m_membership.SampleOtherDomains(), aRecords);
    SendRollouts(m_membership.SampleOtherDomains(), aRecords);
  }
}

void
ControlPlane::SyncRollouts(TimePoint aNow, const GossipMessage& aMessage)
{
  const RolloutTable& own = m_rollouts.Table();
  const bool differs = aMessage.m_rolloutsDigest != own.Summary();
  if (!differs || own.Summary() == 0 || aNow < m_nextRolloutSync) {
    return;
  }
  m_nextRolloutSync = aNow + kRolloutsInterval;
  SendRollouts({ m_membership.PeerOf(aMessage.m_sender) }, own.All(aNow));
}

void
ControlPlane::SendCounts(WorkerCounts aCounts)
{
  const auto leader = m_membership.HighestRanked();
  if (!leader) {
    return;
  }
  GossipMessage message = MakePushMessage(m_membership);
  message.m_counts = std::move(aCounts);
  SendGossip({ *leader, std::move(message) });
}

RolloutLeader::Workers
ControlPlane::WorkersOf(const RolloutRecord& aRecord) const
{
  RolloutLeader::Workers workers;
  const auto count = [&](const MemberRecord& aMember) {
    const bool isCounted = aMember.m_service == aRecord.m_order.m_service &&
                           TakesCalls(aMember.m_state) && aMember.m_slots > 0;
    if (!isCounted) {
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
ControlPlane::MostCommonVersionOf(const std::string& aService) const
{
  std::map<std::string, std::size_t> counts;
  const auto count = [&](const MemberRecord& aMember) {
    const bool isKnown = aMember.m_service == aService &&
                         IsPresent(aMember.m_state) &&
                         !aMember.m_workerVersion.empty();
    if (isKnown) {
      ++counts[aMember.m_workerVersion];
    }
  };
  count(m_membership.Self());
  m_membership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) { count(aRow.m_record); });
  const auto mostCommon = std::ranges::max_element(
    counts, {}, [](const auto& aEach) { return aEach.second; });
  return mostCommon == counts.end() ? std::string{} : mostCommon->first;
}

}
