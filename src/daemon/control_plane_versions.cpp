#include "greengagehub/daemon/control_plane.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

#include <fmt/format.h>

// Exchange of configuration versions between daemons: staging, push, pull and
// serving pulls.

namespace greengagehub {

namespace {

constexpr auto kPullTimeout = std::chrono::milliseconds{ 3000 };
/// A starting daemon reads the store this long before it pulls from peers;
/// about twice what reading the copy takes on a tenth of a core.
constexpr auto kStoreReadTime = std::chrono::milliseconds{ 800 };

TrafficPurpose
PurposeOf(const PullRequest& aRequest)
{
  return aRequest.m_includeMembers ? TrafficPurpose::Reconciliation
                                   : TrafficPurpose::Versions;
}

}

void
ControlPlane::StageAll(const std::vector<VersionEntry>& aEntries,
                       const VersionOrigin& aOrigin)
{
  const Version before = m_holder.GetVersion();
  for (const VersionEntry& each : aEntries) {
    const StageResult result = m_holder.Stage(each);
    if (result == StageResult::Gap) {
      ++m_versionCounts.m_gaps;
      m_log.Info("config",
                 "entry_on_another_version",
                 { { "version", each.m_version.m_number },
                   { "base", each.m_base.value_or(Version{}).m_number },
                   { "in_force", m_holder.GetVersion().m_number },
                   { "peer", aOrigin.m_peer } });
    }
    if (result == StageResult::Forked || result == StageResult::Corrupt) {
      ++m_versionCounts.m_unusable;
      m_log.Error("config",
                  "version_not_usable",
                  { { "version", each.m_version.m_number },
                    { "forked", result == StageResult::Forked } });
    }
  }
  if (m_holder.GetVersion() > before) {
    OnAdvanced(before, aOrigin);
  }
}

void
ControlPlane::OnAdvanced(Version aBefore, const VersionOrigin& aOrigin)
{
  using std::chrono::milliseconds;
  const TimePoint now = Clock::now();
  ++m_versionCounts.m_applied[static_cast<std::size_t>(aOrigin.m_channel)];
  const auto behind = now - m_disseminator.ReportedAt(aBefore).value_or(now);
  m_log.Info(
    "config",
    "version_in_force",
    { { "version", m_holder.GetVersion().m_number },
      { "before", aBefore.m_number },
      { "channel", NameOf(aOrigin.m_channel) },
      { "peer", aOrigin.m_peer },
      { "behind_ms", std::chrono::duration_cast<milliseconds>(behind).count() },
      { "time_ms",
        static_cast<std::int64_t>(WallNow().time_since_epoch().count()) } });
  OnContentChanged();
  SendAll(m_pusher.OnAdvanced(now, m_holder, m_membership, aBefore));
}

void
ControlPlane::OnReplaced()
{
  ++m_versionCounts.m_replaced;
  m_log.Warning("config",
                "content_replaced",
                { { "version", m_holder.GetVersion().m_number } });
  OnContentChanged();
}

void
ControlPlane::OnContentChanged()
{
  m_workspaces.OnVersion();
  m_handlers.m_onVersion();
}

void
ControlPlane::OnNewerVersion(const std::string& aSlot, Version aVersion)
{
  const auto member = m_membership.Members().Find(aSlot);
  if (!member) {
    return;
  }
  m_membership.RecordVersion(aSlot, aVersion);
  const MemberRecord& record = m_membership.Members().At(*member).m_record;
  m_disseminator.OnDigest(
    Clock::now(), m_holder, { aVersion, {} }, m_membership.PeerOf(record));
}

bool
ControlPlane::IsOnAnotherHistory(const VersionDigest& aHead) const
{
  const ActiveConfig& active = *m_holder.Active();
  if (aHead.m_version == active.m_version) {
    return aHead.m_chain != active.m_chain;
  }
  const VersionEntry* own = m_holder.Entry(aHead.m_version);
  return own != nullptr && own->m_chain != aHead.m_chain;
}

void
ControlPlane::OnAnotherHistory(const GossipMessage& aMessage)
{
  const Version version = aMessage.m_head.m_version;
  m_log.Error("config",
              "peer_on_another_history",
              { { "member", aMessage.m_sender.m_slot },
                { "version", version.m_number } });
  if (m_settings.m_platform.m_enabled && version == m_holder.GetVersion()) {
    m_configFeed.VerifyActive();
  }
}

void
ControlPlane::PullWhenDue(TimePoint aNow)
{
  // Pulling the whole configuration while the store is read would only load
  // the link.
  const bool readsStore = m_settings.m_platform.m_enabled &&
                          m_holder.GetVersion() == Version{} &&
                          aNow - m_startedAt < kStoreReadTime;
  if (readsStore) {
    return;
  }
  if (const auto peer = m_disseminator.NextPull(aNow, m_holder)) {
    PullFrom(*peer, false);
  }
}

void
ControlPlane::PullFrom(const MemberPeer& aPeer, bool aPullsMembers)
{
  if (aPeer.m_address.m_bulkPort == 0) {
    return;
  }
  const PullRequest request{ m_settings.m_slot,
                             m_holder.GetVersion(),
                             aPullsMembers,
                             aPullsMembers ? m_membership.Digests()
                                           : MemberDigests{},
                             m_holder.NeedsSnapshot() };
  const std::size_t bytes = m_bulk.Pull(
    aPeer.m_address,
    request,
    kPullTimeout,
    [this, aPeer, aPullsMembers](std::optional<PullAnswer> aAnswer) {
      if (aPullsMembers && !aAnswer) {
        m_memberSync.OnExchangeFailed();
      }
      OnPulled(aPeer, aPullsMembers, std::move(aAnswer));
    });
  ++m_versionCounts.m_pulls;
  m_traffic.Add(PurposeOf(request), aPeer.m_crossesDomains, bytes);
}

void
ControlPlane::RecordAnswerBytes(const PullRequest& aRequest, std::size_t aBytes)
{
  const auto requester = m_membership.Members().Find(aRequest.m_slot);
  const bool isOtherDomain =
    requester && m_membership.Members().At(*requester).m_record.m_domain !=
                   m_settings.m_domain;
  m_traffic.Add(PurposeOf(aRequest), isOtherDomain, aBytes);
}

void
ControlPlane::OnPulled(const MemberPeer& aPeer,
                       bool aPullsMembers,
                       std::optional<PullAnswer> aAnswer)
{
  if (!aPullsMembers) {
    m_disseminator.OnPullEnded(aPeer);
  }
  const std::string peer =
    fmt::format("{}:{}", aPeer.m_address.m_host, aPeer.m_address.m_bulkPort);
  if (!aAnswer) {
    ++m_versionCounts.m_failedPulls;
    m_log.Info("config", "pull_failed", { { "peer", peer } });
    return;
  }
  // Permits must be known before the members whose versions they cover.
  m_rollouts.OnUpdate(aAnswer->m_rollouts);
  m_readinessGate.RequireVersion(
    std::max(aAnswer->m_head.m_version, aAnswer->m_minimumVersion));
  MembershipActions actions =
    m_membership.OnRecords(Clock::now(), aAnswer->m_members);
  m_memberSync.OnExchangeSucceeded(actions.m_events.size());
  Execute(std::move(actions));
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
      OnAdvanced(before, { VersionChannel::PulledSnapshot, peer });
    }
  }
  StageAll(aAnswer->m_entries, { VersionChannel::PulledEntries, peer });
}

PullAnswer
ControlPlane::ServePull(const PullRequest& aRequest)
{
  PullAnswer answer;
  answer.m_head = { m_holder.GetVersion(), m_holder.Active()->m_chain };
  answer.m_minimumVersion = m_membership.MinimumVersionOf(aRequest.m_slot);
  if (aRequest.m_includeMembers) {
    answer.m_members = m_membership.DifferingRecords(aRequest.m_members);
    answer.m_rollouts = m_rollouts.Table().All(Clock::now());
  }
  bool complete = false;
  answer.m_entries = m_holder.EntriesAfter(aRequest.m_knownVersion, complete);
  if (!complete || aRequest.m_wantsSnapshot) {
    answer.m_entries.clear();
    const ActiveConfig& active = *m_holder.Active();
    if (m_compressedConfig != m_holder.Active()) {
      m_compressedSnapshot = Compress(active.m_content.ToJson());
      m_compressedConfig = m_holder.Active();
    }
    ++m_versionCounts.m_snapshotsSent;
    answer.m_snapshot = m_compressedSnapshot;
    answer.m_snapshotHead = VersionEntry{
      active.m_version, {}, active.m_chain, active.m_content.GetDigest()
    };
  }
  return answer;
}

}
