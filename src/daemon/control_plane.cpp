#include "greengagehub/daemon/control_plane.hpp"

#include "greengagehub/daemon/wall_clock.hpp"
#include "platform/names.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds{ 100 };
/// Changes are coalesced for m_maxConfigDelay divided by this.
constexpr int kCoalesceDivisor = 8;
/// Gap between the ends of two readers' watches, in fifths of the time in which
/// a change must be in force. The rest is for the check and the dissemination.
constexpr int kWatchGapFifths = 2;
/// Time without a datagram after which a daemon treats itself as isolated; a
/// multiple of the probe interval.
constexpr auto kIsolatedAfter = std::chrono::milliseconds{ 2500 };
/// Computing this daemon's rank scans all members.
constexpr auto kRankInterval = std::chrono::milliseconds{ 500 };
constexpr auto kMaxFeedBackoff = std::chrono::milliseconds{ 500 };
/// Up to this bandwidth the whole configuration would delay calls noticeably:
/// half a megabyte takes 0.2 s at this rate and 0.9 s at 5 Mbit/s.
constexpr std::uint32_t kSlowLinkMbps = 20;
/// Limits the probes that one operator request causes.
constexpr std::size_t kMaxProbedMembers = 64;

MemberRecord
MakeSelf(const Settings& aSettings,
         std::uint64_t aProcess,
         std::uint16_t aGossipPort,
         std::uint16_t aBulkPort)
{
  MemberRecord self;
  self.m_slot = aSettings.m_slot;
  self.m_incarnation = aProcess << 16U;
  self.m_service = aSettings.m_service;
  self.m_domain = aSettings.m_domain;
  self.m_region = aSettings.m_region;
  // The platform's workers report their slots in heartbeats.
  self.m_slots = aSettings.m_platform.m_enabled ? 0 : aSettings.m_runs.m_slots;
  self.m_linkMbps = aSettings.m_linkMbps;
  self.m_address = { aSettings.m_listen.m_host, aGossipPort, aBulkPort, 0 };
  return self;
}

}

ControlPlane::ControlPlane(asio::io_context& aLoop,
                           const Settings& aSettings,
                           const Log& aLog,
                           std::uint64_t aProcess,
                           std::uint64_t aSeed,
                           TrafficMeter& aTraffic,
                           Handlers aHandlers)
  : m_settings(aSettings)
  , m_log(aLog)
  , m_traffic(aTraffic)
  , m_handlers(std::move(aHandlers))
  , m_random(aSeed)
  , m_store(aLoop, aSettings.m_store.m_url, aSettings.m_store.m_timeout)
  , m_gossip(aLoop,
             aSettings.m_listen.m_host,
             aSettings.m_listen.m_gossipPort,
             aTraffic,
             [this](const MemberAddress& aFrom, const GossipMessage& aMessage) {
               OnGossip(aFrom, aMessage);
             })
  , m_bulk(
      aLoop,
      aSettings.m_listen.m_host,
      aSettings.m_listen.m_bulkPort,
      [this](const PullRequest& aRequest) { return ServePull(aRequest); },
      [this](const PullRequest& aRequest, std::size_t aBytes) {
        RecordAnswerBytes(aRequest, aBytes);
      })
  , m_membership(MakeSelf(aSettings, aProcess, m_gossip.Port(), m_bulk.Port()),
                 aSettings.m_membership,
                 m_random())
  , m_disseminator(aSettings.m_dissemination, m_random())
  , m_pusher(aSettings.m_dissemination, m_random())
  , m_quarantineGossip(m_random())
  , m_watchLease(aSettings.m_watch, m_membership.Self(), m_random())
  , m_seedPublisher(m_membership.Self(), m_random())
  , m_storeSync(
      aLoop,
      m_store,
      m_holder,
      aLog,
      { .m_watch = aSettings.m_store.m_watch,
        .m_maxBackoff = aSettings.m_store.m_maxBackoff },
      m_random(),
      { .m_onAdvanced =
          [this](Version aBefore) {
            OnAdvanced(aBefore, { VersionChannel::StoreRead });
          },
        .m_onHead =
          [this](Version aHead) { m_readinessGate.RecordStoreHead(aHead); },
        .m_onConfirmed =
          [this](TimePoint aRequestedAt, const StoredConfig& aConfig) {
            m_workspaces.OnConfirmed(aRequestedAt, aConfig);
          } })
  , m_configFeed(
      aLoop,
      m_store,
      m_holder,
      aLog,
      std::string{ platform::kConfigKey },
      std::string{ platform::kOperatorsPrefix },
      { .m_watch = { .m_longest = aSettings.m_store.m_watch,
                     .m_gap = aSettings.m_platform.m_maxConfigDelay *
                              kWatchGapFifths / 5 },
        .m_coalesceDelay =
          aSettings.m_platform.m_maxConfigDelay / kCoalesceDivisor,
        .m_maxBackoff = kMaxFeedBackoff },
      m_random(),
      { .m_onAdvanced =
          [this](Version aBefore, VersionChannel aChannel) {
            OnAdvanced(aBefore, { aChannel });
          },
        .m_onReplaced = [this] { OnReplaced(); },
        .m_onHead =
          [this](Version aHead) { m_readinessGate.RecordStoreHead(aHead); },
        .m_onConfirmed =
          [this](TimePoint aRequestedAt, const StoredConfig& aConfig) {
            m_workspaces.OnConfirmed(aRequestedAt, aConfig);
          },
        .m_onPrefixChanged =
          [this](const std::vector<StoreItem>& aItems) {
            m_rollouts.OnStoreItems(aItems);
          },
        .m_onChangesMissed = [this] { m_rollouts.OnStoreChangesMissed(); },
        .m_position = [this] { return m_membership.PositionAmongReaders(); } })
  , m_decisions(m_store,
                m_holder,
                aLog,
                CompactionLimits{},
                [this](const std::vector<VersionEntry>& aEntries) {
                  StageAll(aEntries, { VersionChannel::Decision });
                })
  , m_quarantine(
      { m_store,
        aLog,
        [this](const QuarantineUpdate& aUpdate,
               QuarantineService::Scope aScope) {
          SendAll(m_quarantineGossip.OnChanged(
            Clock::now(), m_membership, m_quarantine.Table(), aUpdate, aScope));
        },
        [this] { return m_membership.IsHighestRanked(); } })
  , m_rollouts(RolloutDependencies())
  , m_workspaces(WorkspaceDependencies(aLoop), aProcess, m_random())
  , m_tickTimer(aLoop)
  , m_memberSync(Clock::now(), m_random())
  , m_readinessGate(aSettings.m_platform.m_enabled
                      ? ReadinessGate::Authority::StoreOrPeers
                      : ReadinessGate::Authority::PeersFirst)
{
}

bool
ControlPlane::IsWatching() const
{
  return m_settings.m_platform.m_enabled ? m_configFeed.IsWatching()
                                         : m_watchLease.Holds(Clock::now());
}

bool
ControlPlane::IsReady()
{
  return m_readinessGate.IsOpen(m_holder.GetVersion(),
                                m_membership.Members().Present());
}

Version
ControlPlane::LowestInForce() const
{
  Version lowest = m_holder.GetVersion();
  m_membership.Members().Rows().Each(
    [&lowest](MemberTable::Index, const MemberRow& aRow) {
      if (IsPresent(aRow.m_record.m_state)) {
        lowest = std::min(lowest, aRow.m_version);
      }
    });
  return lowest;
}

void
ControlPlane::ProbeBelowVersion(Version aVersion)
{
  std::vector<MemberPeer> lagging;
  m_membership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) {
      const bool isLagging = IsPresent(aRow.m_record.m_state) &&
                             aRow.m_version < aVersion &&
                             lagging.size() < kMaxProbedMembers;
      if (isLagging) {
        lagging.push_back(m_membership.PeerOf(aRow.m_record));
      }
    });
  for (const MemberPeer& each : lagging) {
    Contact(each);
  }
}

void
ControlPlane::Start(std::uint16_t aLinkPort)
{
  MemberRecord self = m_membership.Self();
  self.m_address.m_linkPort = aLinkPort;
  m_membership = Membership{ self, m_settings.m_membership, m_random() };
  m_watchLease = WatchLease{ m_settings.m_watch, self, m_random() };
  m_seedPublisher = SeedPublisher{ self, m_random() };
  m_startedAt = Clock::now();
  // Jitter spreads the first store requests of daemons that restart together.
  m_nextJoin = m_startedAt + Jittered(m_random, m_joinBackoff);
  m_memberSync = MemberSync{ m_startedAt, m_random() };
  for (const MemberAddress& each : m_settings.m_seeds) {
    Contact({ each });
  }
  if (m_settings.m_platform.m_enabled) {
    const std::uint32_t linkMbps = m_settings.m_linkMbps;
    m_configFeed.SetSlowLink(linkMbps > 0 && linkMbps <= kSlowLinkMbps);
    m_configFeed.Read();
  }
  m_quarantine.Start();
  m_store.OnRestored([this] { OnStoreRestored(); });
  Tick();
}

void
ControlPlane::Tick()
{
  const TimePoint now = Clock::now();
  Execute(m_membership.OnTick(now));
  if (now >= m_nextJoin && m_membership.Members().Present() == 0) {
    Join();
  }
  ContactWhileJoining(now);
  DiscoverDomains(now);
  const bool joined = m_memberSync.HasJoined();
  const bool isJoinOverdue = !joined && now - m_startedAt >= kStandaloneAfter;
  const bool readsStore =
    isJoinOverdue || (joined && m_membership.IsDomainRelay());
  m_quarantine.OnTick(now, readsStore);
  m_rollouts.OnTick(now, readsStore && m_settings.m_platform.m_enabled);
  m_workspaces.OnTick();
  SendAll(m_pusher.OnTick(now, m_holder, m_membership));
  SendAll(m_quarantineGossip.OnTick(now, m_membership, m_quarantine.Table()));
  PullWhenDue(now);
  if (m_settings.m_platform.m_enabled) {
    UpdateStoreRoles(now);
  } else {
    UpdateWatchLease(now);
  }
  const bool isStandalone =
    m_holder.GetVersion() == Version{} && now - m_startedAt > kStandaloneAfter;
  if (isStandalone && !m_hasFallbackRead && !m_settings.m_platform.m_enabled) {
    m_hasFallbackRead = true;
    m_storeSync.ReadOnce();
  }
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
ControlPlane::Contact(const MemberPeer& aPeer)
{
  Execute(m_membership.Contact(aPeer));
}

void
ControlPlane::Announce(MemberState aState)
{
  Execute(m_membership.Announce(aState));
}

void
ControlPlane::Announce(MemberState aState, WorkerDescription aWorker)
{
  Execute(m_membership.Announce(aState, aWorker));
}

void
ControlPlane::OnProcessResumed()
{
  if (m_settings.m_platform.m_enabled) {
    m_configFeed.Read();
  }
  m_rollouts.OnProcessResumed();
}

void
ControlPlane::SendGossip(GossipSend aSend)
{
  aSend.m_message.m_head = { m_holder.GetVersion(),
                             m_holder.Active()->m_chain };
  aSend.m_message.m_watching = IsWatching();
  aSend.m_message.m_verdicts = m_quarantine.Table().Summary();
  aSend.m_message.m_rolloutsDigest = m_rollouts.Table().Summary();
  m_gossip.Send(aSend);
}

void
ControlPlane::SendAll(std::vector<GossipSend> aSends)
{
  for (GossipSend& each : aSends) {
    SendGossip(std::move(each));
  }
}

void
ControlPlane::Execute(MembershipActions aActions)
{
  for (const MemberEvent& each : aActions.m_events) {
    m_log.Debug(
      "membership",
      "member",
      { { "member", each.m_record.m_slot },
        { "state", static_cast<std::int64_t>(each.m_record.m_state) } });
    m_handlers.m_onMember(each);
  }
  SendAll(std::move(aActions.m_sends));
}

void
ControlPlane::OnGossip(const MemberAddress& aFrom,
                       const GossipMessage& aMessage)
{
  m_lastDatagramAt = Clock::now();
  if (aMessage.m_kind == GossipMessage::Kind::Quota) {
    m_workspaces.OnMessage(aMessage);
    return;
  }
  const TimePoint now = Clock::now();
  m_readinessGate.RecordPeer(aMessage.m_sender.m_slot,
                             aMessage.m_head.m_version,
                             aMessage.m_minimumVersion);
  if (aMessage.m_previousWorker.m_idTag != 0) {
    m_handlers.m_onPreviousWorker(aMessage.m_previousWorker);
  }
  const bool isAnswer = aMessage.m_kind == GossipMessage::Kind::Ack;
  StageAll(aMessage.m_entries,
           { isAnswer ? VersionChannel::Repair : VersionChannel::Push,
             aMessage.m_sender.m_slot });
  if (!aMessage.m_quarantine.IsEmpty()) {
    m_quarantine.OnUpdate(aMessage.m_quarantine);
  }
  if (!aMessage.m_rollouts.empty()) {
    m_rollouts.OnUpdate(aMessage.m_rollouts);
  }
  if (aMessage.m_counts) {
    m_rollouts.OnCounts(*aMessage.m_counts);
  }
  SendAll(m_quarantineGossip.OnMessage(
    now, m_membership, m_quarantine.Table(), aMessage));
  SyncRollouts(now, aMessage);
  MembershipActions actions = m_membership.OnMessage(now, aFrom, aMessage);
  // A lagging peer receives the versions that fit into the acknowledgement.
  const Version peerVersion = aMessage.m_head.m_version;
  if (peerVersion < m_holder.GetVersion()) {
    for (GossipSend& each : actions.m_sends) {
      if (each.m_message.m_kind == GossipMessage::Kind::Ack) {
        each.m_message.m_entries =
          m_disseminator.EntriesToRepair(m_holder, peerVersion);
      }
    }
  }
  Execute(std::move(actions));
  SendAll(m_pusher.OnMessage(m_holder, m_membership, aMessage));
  if (IsOnAnotherHistory(aMessage.m_head)) {
    OnAnotherHistory(aMessage);
    return;
  }
  m_disseminator.OnDigest(
    now, m_holder, aMessage.m_head, m_membership.PeerOf(aMessage.m_sender));
  SyncMembers(now, aMessage);
}

void
ControlPlane::UpdateWatchLease(TimePoint aNow)
{
  // Before it has joined, a daemon knows no peers and would rank itself first.
  if (!m_memberSync.HasJoined() && aNow - m_startedAt < kStandaloneAfter) {
    return;
  }
  const std::size_t rank =
    m_watchLease.NeedsRank(aNow) ? m_membership.RankInDomain() : 0;
  if (auto request = m_watchLease.OnTick(aNow, rank)) {
    ExecuteLeaseRequest(std::move(*request));
  }
  m_storeSync.SetWatching(m_watchLease.Holds(aNow));
}

void
ControlPlane::UpdateStoreRoles(TimePoint aNow)
{
  if (aNow < m_nextRank) {
    return;
  }
  m_nextRank = aNow + kRankInterval;
  std::optional<std::size_t> rank;
  if (m_memberSync.HasJoined()) {
    rank = m_membership.RankInDomain();
  }
  if (m_memberSync.HasJoined() || aNow - m_startedAt >= kStandaloneAfter) {
    m_configFeed.SetWatching(rank.value_or(0) < Membership::kRelaysPerDomain);
    // IsHighestRanked() scans all members, so the rank is checked first.
    m_configFeed.SetMaintainsCopy(rank.value_or(0) == 0 &&
                                  m_membership.IsHighestRanked());
  }
  auto request = m_seedPublisher.OnTick(aNow, rank);
  if (request) {
    m_store.Execute(std::move(*request), [this](const StoreReply& aReply) {
      m_seedPublisher.OnReply(Clock::now(), aReply);
    });
  }
}

void
ControlPlane::OnStoreRestored()
{
  m_log.Warning("store", "store_restored");
  m_seedPublisher.OnStoreRestored();
  m_nextRank = TimePoint{};
  m_quarantine.OnStoreRestored();
  m_rollouts.OnStoreRestored();
  m_workspaces.OnStoreRestored();
}

WorkspaceService::Dependencies
ControlPlane::WorkspaceDependencies(asio::io_context& aLoop)
{
  const bool isOnPlatform = m_settings.m_platform.m_enabled;
  return {
    .m_loop = aLoop,
    .m_settings = m_settings,
    .m_log = m_log,
    .m_store = m_store,
    .m_holder = m_holder,
    .m_members = [this]() -> Membership& { return m_membership; },
    .m_knowsPeers = [this] { return KnowsPeers(); },
    .m_hasPeerContact =
      [this] {
        return m_membership.Members().Present() == 0 ||
               Clock::now() - m_lastDatagramAt < kIsolatedAfter;
      },
    .m_send =
      [this](GossipSend aSend) {
        aSend.m_message.m_sender = m_membership.Self();
        SendGossip(std::move(aSend));
      },
    .m_configKey = std::string{ isOnPlatform ? platform::kConfigKey : kLogKey },
    .m_storeConfig =
      [this, isOnPlatform] {
        return isOnPlatform ? m_configFeed.LastRead() : m_storeSync.LastRead();
      },
    .m_onNewerConfig =
      [this, isOnPlatform](StoreReply aReply) {
        return isOnPlatform ? m_configFeed.OnStoreReply(std::move(aReply))
                            : m_storeSync.OnStoreReply(aReply);
      }
  };
}

void
ControlPlane::ExecuteLeaseRequest(StoreRequest aRequest)
{
  m_store.Execute(std::move(aRequest), [this](const StoreReply& aReply) {
    if (auto next = m_watchLease.OnReply(Clock::now(), aReply)) {
      ExecuteLeaseRequest(std::move(*next));
    }
  });
}

}
