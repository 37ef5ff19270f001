#include "greengagehub/daemon/control_plane.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

// Versions between daemons: applied, pushed, pulled, served.

namespace greengagehub {

namespace {

constexpr auto kPullTimeout = std::chrono::milliseconds{ 3000 };
/// How long a start from the store may take before peers are asked: twice what
/// the copy takes on a tenth of a core.
constexpr auto kReadsStoreFor = std::chrono::milliseconds{ 800 };
/// News in one pull after which members are soon compared again.
constexpr std::size_t kMuchNews = 8;

}

void
ControlPlane::StageAll(const std::vector<VersionEntry>& aEntries)
{
  const Version before = m_holder.GetVersion();
  for (const VersionEntry& each : aEntries) {
    const StageResult result = m_holder.Stage(each);
    if (result == StageResult::Forked || result == StageResult::Corrupt) {
      m_log.Error("config",
                  "version_not_usable",
                  { { "version", each.m_version.m_number },
                    { "forked", result == StageResult::Forked } });
    }
  }
  if (m_holder.GetVersion() > before) {
    OnAdvanced(before);
  }
}

void
ControlPlane::OnAdvanced(Version aBefore)
{
  m_log.Info(
    "config",
    "version_in_force",
    { { "version", m_holder.GetVersion().m_number },
      { "before", aBefore.m_number },
      { "time_ms",
        static_cast<std::int64_t>(WallNow().time_since_epoch().count()) } });
  m_handlers.m_onVersion();
  Push(aBefore);
}

void
ControlPlane::Push(Version aBefore)
{
  const auto entries = m_disseminator.ToPush(m_holder, aBefore);
  const std::uint32_t fanout = m_disseminator.Settings().m_fanout;
  for (const MemberAddress& each : PushTargets(fanout)) {
    GossipMessage message;
    message.m_kind = GossipMessage::Kind::Push;
    message.m_sender = m_membership.Self();
    message.m_entries = entries;
    SendGossip(GossipSend{ each, std::move(message) });
  }
}

std::vector<MemberAddress>
ControlPlane::PushTargets(std::uint32_t aFanout)
{
  if (!m_settings.m_platform.m_enabled || aFanout == 0) {
    return m_membership.Sample(aFanout);
  }
  // Each domain reads the store itself; one push beyond it covers for a domain
  // whose readers are lost at that moment.
  std::vector<MemberAddress> targets = m_membership.SampleNear(aFanout - 1);
  const auto any = m_membership.Sample(1);
  targets.insert(targets.end(), any.begin(), any.end());
  return targets;
}

void
ControlPlane::PullWhenDue(TimePoint aNow)
{
  // A daemon that has just started reads the store by itself; a peer's whole
  // configuration would come second and take the link meanwhile.
  const bool readsStore = m_settings.m_platform.m_enabled &&
                          m_holder.GetVersion() == Version{} &&
                          aNow - m_started < kReadsStoreFor;
  if (readsStore) {
    return;
  }
  if (const auto peer = m_disseminator.DuePull(aNow, m_holder)) {
    PullFrom(*peer, false);
  }
}

void
ControlPlane::PullFrom(const MemberAddress& aPeer, bool aMembers)
{
  if (aPeer.m_bulkPort == 0) {
    return;
  }
  const PullRequest request{ m_settings.m_slot,
                             m_holder.GetVersion(),
                             aMembers,
                             aMembers ? m_membership.Digests()
                                      : MemberDigests{} };
  m_bulk.Pull(aPeer,
              request,
              kPullTimeout,
              [this, aMembers](std::optional<PullAnswer> aAnswer) {
                if (aMembers && !aAnswer) {
                  m_nextSync = TimePoint{};
                }
                OnPulled(std::move(aAnswer));
              });
}

void
ControlPlane::OnPulled(std::optional<PullAnswer> aAnswer)
{
  m_disseminator.PullEnded();
  if (!aAnswer) {
    return;
  }
  m_gate.Raise(std::max(aAnswer->m_head.m_version, aAnswer->m_floor));
  MembershipActions news =
    m_membership.OnRecords(Clock::now(), aAnswer->m_members);
  if (news.m_events.size() >= kMuchNews) {
    m_syncEvery = kFirstMemberSync;
  }
  Carry(std::move(news));
  if (!aAnswer->m_members.empty()) {
    SetJoined();
  }
  if (!aAnswer->m_snapshot.empty()) {
    const Version before = m_holder.GetVersion();
    const auto text = Decompress(aAnswer->m_snapshot, kMaxUnpackedBytes);
    const StageResult result =
      text ? m_holder.StageSnapshot(aAnswer->m_snapshotHead, text.value())
           : StageResult::Corrupt;
    if (result == StageResult::Corrupt) {
      m_log.Error("config", "snapshot_damaged");
    }
    if (m_holder.GetVersion() > before) {
      OnAdvanced(before);
    }
  }
  StageAll(aAnswer->m_entries);
}

PullAnswer
ControlPlane::Serve(const PullRequest& aRequest)
{
  PullAnswer answer;
  answer.m_head = { m_holder.GetVersion(), m_holder.Active()->m_chain };
  answer.m_floor = m_membership.FloorOf(aRequest.m_slot);
  if (aRequest.m_wantMembers) {
    answer.m_members = m_membership.RecordsFor(aRequest.m_members);
  }
  bool complete = false;
  answer.m_entries = m_holder.EntriesAfter(aRequest.m_have, complete);
  if (!complete) {
    const ActiveConfig& active = *m_holder.Active();
    if (m_packedVersion != active.m_version) {
      m_packedSnapshot = Compress(active.m_content.ToJson());
      m_packedVersion = active.m_version;
    }
    answer.m_snapshot = m_packedSnapshot;
    answer.m_snapshotHead = VersionEntry{
      active.m_version, {}, active.m_chain, active.m_content.GetDigest()
    };
  }
  return answer;
}

}
