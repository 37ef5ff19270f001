#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/daemon/config_feed.hpp"
#include "greengagehub/daemon/decision_service.hpp"
#include "greengagehub/daemon/quarantine_service.hpp"
#include "greengagehub/daemon/rollout_service.hpp"
#include "greengagehub/daemon/store_sync.hpp"
#include "greengagehub/daemon/workspace_service.hpp"
#include "greengagehub/dissemination/version_origin.hpp"
#include "greengagehub/dissemination/version_pusher.hpp"
#include "greengagehub/membership/domain_discovery.hpp"
#include "greengagehub/membership/member_sync.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/membership/seed_publisher.hpp"
#include "greengagehub/membership/watch_lease.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/settings/settings.hpp"
#include "greengagehub/transport/bulk_channel.hpp"
#include "greengagehub/transport/gossip_socket.hpp"
#include "platform/kv_store.hpp"

#include <asio/steady_timer.hpp>
#include <functional>

namespace greengagehub {

/// \brief Connects membership, configuration and the store to sockets.
///
/// Passes time and messages to libraries that do no I/O themselves, and
/// executes the actions that they return.
class ControlPlane
{
public:
  struct Handlers
  {
    std::function<void(const MemberEvent&)> m_onMember;
    std::function<void()> m_onVersion;
    /// Results of the local worker since the last reset; the version is empty
    /// if no worker is known.
    std::function<WorkerCounts()> m_workerCounts;
    std::function<void()> m_resetWorkerCounts;
    /// A peer knows the worker of an earlier process of this daemon.
    std::function<void(const WorkerDescription&)> m_onPreviousWorker;
  };

  ControlPlane(asio::io_context& aLoop,
               const Settings& aSettings,
               const Log& aLog,
               std::uint64_t aProcess,
               std::uint64_t aSeed,
               TrafficMeter& aTraffic,
               Handlers aHandlers);

  [[nodiscard]] const ConfigHolder& Holder() const noexcept { return m_holder; }
  [[nodiscard]] const Membership& Members() const noexcept
  {
    return m_membership;
  }
  [[nodiscard]] DecisionService<platform::KvStore>& Decisions() noexcept
  {
    return m_decisions;
  }
  [[nodiscard]] QuarantineService& GetQuarantine() noexcept
  {
    return m_quarantine;
  }
  [[nodiscard]] RolloutService& GetRollouts() noexcept { return m_rollouts; }
  [[nodiscard]] WorkspaceService& GetWorkspaces() noexcept
  {
    return m_workspaces;
  }
  [[nodiscard]] const platform::KvStore& GetStore() const noexcept
  {
    return m_store;
  }
  [[nodiscard]] const GossipSocket& Gossip() const noexcept { return m_gossip; }
  [[nodiscard]] const BulkChannel& Bulk() const noexcept { return m_bulk; }
  [[nodiscard]] bool IsWatching() const;
  [[nodiscard]] const VersionCounts& Versions() const noexcept
  {
    return m_versionCounts;
  }
  [[nodiscard]] Version HighestKnownVersion() const noexcept
  {
    return std::max(m_holder.GetVersion(),
                    m_disseminator.HighestKnownVersion());
  }
  [[nodiscard]] bool IsStoreBehind() const noexcept
  {
    return m_storeSync.IsBehind();
  }
  /// \returns Whether an accepted version is in force that is not below the
  /// minimum version of this daemon's slot.
  [[nodiscard]] bool IsReady();
  /// \returns The lowest version in force on this daemon and on present
  /// members, as they last reported it.
  [[nodiscard]] Version LowestInForce() const;
  /// \brief Probes members whose last reported version is below `aVersion`.
  void ProbeBelowVersion(Version aVersion);

  /// \brief Sets the port of call links and starts to join the fleet.
  void Start(std::uint16_t aLinkPort);
  void Announce(MemberState aState);
  void Announce(MemberState aState, WorkerDescription aWorker);
  void OnProcessResumed();
  /// \brief Records that a newer version is in force at a member.
  void OnNewerVersion(const std::string& aSlot, Version aVersion);

private:
  void Tick();
  void Join();
  /// \brief On a domain relay, looks for failure domains without known members.
  void DiscoverDomains(TimePoint aNow);
  void ContactWhileJoining(TimePoint aNow);
  void OnSeeds(const StoreReply& aReply);
  /// \returns Whether this daemon knows its peers, or that it has none.
  [[nodiscard]] bool KnowsPeers() const
  {
    const bool isAlone =
      m_hasFoundNoPeers && m_membership.Members().Present() == 0;
    return m_memberSync.HasJoined() || isAlone;
  }
  void Contact(const MemberPeer& aPeer);
  void OnGossip(const MemberAddress& aFrom, const GossipMessage& aMessage);
  void Execute(MembershipActions aActions);
  void SendGossip(GossipSend aSend);
  void SendAll(std::vector<GossipSend> aSends);
  void StageAll(const std::vector<VersionEntry>& aEntries,
                const VersionOrigin& aOrigin);
  void OnAdvanced(Version aBefore, const VersionOrigin& aOrigin);
  /// \brief The active version has another content than before.
  void OnReplaced();
  void OnContentChanged();
  /// \returns Whether a version that this daemon knows has another content
  /// there.
  [[nodiscard]] bool IsOnAnotherHistory(const VersionDigest& aHead) const;
  void OnAnotherHistory(const GossipMessage& aMessage);
  void PullWhenDue(TimePoint aNow);
  void RecordAnswerBytes(const PullRequest& aRequest, std::size_t aBytes);
  void PullFrom(const MemberPeer& aPeer, bool aPullsMembers);
  void OnPulled(const MemberPeer& aPeer,
                bool aPullsMembers,
                std::optional<PullAnswer> aAnswer);
  [[nodiscard]] PullAnswer ServePull(const PullRequest& aRequest);
  [[nodiscard]] RolloutService::Dependencies RolloutDependencies();
  [[nodiscard]] WorkspaceService::Dependencies WorkspaceDependencies(
    asio::io_context& aLoop);
  void PublishRollouts(const std::vector<RolloutRecord>& aRecords,
                       RolloutService::Scope aScope,
                       RolloutTable::Change aChange);
  void SendRollouts(const std::vector<MemberPeer>& aTo,
                    const std::vector<RolloutRecord>& aRecords);
  /// \brief Sends this daemon's roll-outs to a peer whose digest differs.
  void SyncRollouts(TimePoint aNow, const GossipMessage& aMessage);
  void SendCounts(WorkerCounts aCounts);
  [[nodiscard]] RolloutLeader::Workers WorkersOf(
    const RolloutRecord& aRecord) const;
  [[nodiscard]] std::string MostCommonVersionOf(
    const std::string& aService) const;
  void UpdateWatchLease(TimePoint aNow);
  void UpdateStoreRoles(TimePoint aNow);
  /// \brief Writes again what a store restored from a backup may have lost.
  void OnStoreRestored();
  void ExecuteLeaseRequest(StoreRequest aRequest);
  /// \brief Records that the member table is as complete as a peer's.
  void SetJoined();
  void SyncMembers(TimePoint aNow, const GossipMessage& aMessage);

  /// After this time without peers or a configuration, a daemon reads the store
  /// itself.
  static constexpr auto kStandaloneAfter = std::chrono::milliseconds{ 1500 };

  const Settings& m_settings;
  const Log& m_log;
  TrafficMeter& m_traffic;
  Handlers m_handlers;
  Random m_random;
  ConfigHolder m_holder;
  platform::KvStore m_store;
  GossipSocket m_gossip;
  BulkChannel m_bulk;
  Membership m_membership;
  Disseminator m_disseminator;
  VersionPusher m_pusher;
  QuarantineGossip m_quarantineGossip;
  VersionCounts m_versionCounts{};
  WatchLease m_watchLease;
  SeedPublisher m_seedPublisher;
  StoreSync<platform::KvStore> m_storeSync;
  ConfigFeed<platform::KvStore> m_configFeed;
  DecisionService<platform::KvStore> m_decisions;
  QuarantineService m_quarantine;
  RolloutService m_rollouts;
  TimePoint m_nextRolloutSync{};
  WorkspaceService m_workspaces;
  TimePoint m_lastDatagramAt{};
  asio::steady_timer m_tickTimer;
  TimePoint m_nextJoin{};
  TimePoint m_nextContact{};
  /// Addresses to contact while no member is known.
  std::vector<MemberPeer> m_knownSeeds{};
  std::chrono::milliseconds m_joinBackoff{ 250 };
  std::uint32_t m_joinAttempts{ 0 };
  TimePoint m_startedAt{};
  /// Snapshot of m_compressedConfig that is served to peers.
  std::string m_compressedSnapshot;
  ActiveConfigPtr m_compressedConfig;
  MemberSync m_memberSync;
  DomainDiscovery m_domainDiscovery;
  ReadinessGate m_readinessGate;
  TimePoint m_nextRank{};
  bool m_hasFallbackRead{ false };
  /// The seeds read last, some time after the start, named no other daemon.
  bool m_hasFoundNoPeers{ false };
};

}
