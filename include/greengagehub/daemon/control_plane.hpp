#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/daemon/config_feed.hpp"
#include "greengagehub/daemon/decision_service.hpp"
#include "greengagehub/daemon/quarantine_keeper.hpp"
#include "greengagehub/daemon/rollout_keeper.hpp"
#include "greengagehub/daemon/store_sync.hpp"
#include "greengagehub/daemon/workspace_service.hpp"
#include "greengagehub/dissemination/disseminator.hpp"
#include "greengagehub/membership/domain_finder.hpp"
#include "greengagehub/membership/member_sync.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/membership/seed_keeper.hpp"
#include "greengagehub/membership/watch_role.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/settings/settings.hpp"
#include "greengagehub/transport/bulk_channel.hpp"
#include "greengagehub/transport/gossip_socket.hpp"
#include "platform/kv_store.hpp"

#include <asio/steady_timer.hpp>
#include <functional>

namespace greengagehub {

/// \brief Membership, configuration and the store, wired to sockets.
///
/// Runs the pure libraries: feeds them time and messages and carries out what
/// they return.
class ControlPlane
{
public:
  struct Handlers
  {
    std::function<void(const MemberEvent&)> m_onMember;
    /// A newer version is in force.
    std::function<void()> m_onVersion;
    /// What the worker beside this daemon did since an order; no version: none
    /// is known.
    std::function<WorkerCounts()> m_ownCounts;
    std::function<void()> m_countAnew;
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
  /// \brief Requests under which workers have ended.
  [[nodiscard]] QuarantineKeeper& GetQuarantine() noexcept
  {
    return m_quarantine;
  }
  /// \brief Versions on trial.
  [[nodiscard]] RolloutKeeper& GetRollouts() noexcept { return m_rollouts; }
  /// \brief Keys and quotas.
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
  [[nodiscard]] bool IsStoreBehind() const noexcept
  {
    return m_sync.IsBehind();
  }
  /// \brief Holds an accepted version, and none below what its slot ran.
  [[nodiscard]] bool IsReady();
  /// \returns The lowest version that a present member was last seen to run.
  [[nodiscard]] Version LowestInForce() const;
  /// \returns The fewest slots that a present worker of the own service has
  /// told; nothing while none is known.
  [[nodiscard]] std::optional<std::uint32_t> LeastSlotsOfOwnService() const;
  /// \brief Asks members that are not known to run `aVersion` what they run.
  void RefreshBelow(Version aVersion);

  /// \brief Sets the port of call links and begins to join.
  void Start(std::uint16_t aLinkPort);
  void Announce(MemberState aState);
  /// \brief The worker beside this daemon came, changed or leaves.
  void Announce(MemberState aState, WorkerFigures aWorker);
  /// \brief The process was paused: what is believed may be old.
  void OnProcessResumed();

private:
  void Tick();
  void Join();
  /// \brief A speaker looks for failure domains of which nobody is known.
  void FindDomains(TimePoint aNow);
  /// \brief Asks for members more often than probes do, for a while.
  void ContactWhileJoining(TimePoint aNow);
  void OnSeeds(const StoreReply& aReply);
  void Contact(const MemberPeer& aPeer);
  void OnGossip(const MemberAddress& aFrom, const GossipMessage& aMessage);
  void Carry(MembershipActions aActions);
  void SendGossip(GossipSend aSend);
  void StageAll(const std::vector<VersionEntry>& aEntries);
  void OnAdvanced(Version aBefore);
  void Push(Version aBefore);
  [[nodiscard]] std::vector<MemberPeer> PushTargets(std::uint32_t aFanout);
  void PullWhenDue(TimePoint aNow);
  void CountAnswer(const PullRequest& aRequest, std::size_t aBytes);
  void PullFrom(const MemberPeer& aPeer, bool aMembers);
  void OnPulled(std::optional<PullAnswer> aAnswer);
  [[nodiscard]] PullAnswer Serve(const PullRequest& aRequest);
  void Spread(const QuarantineNews& aNews, QuarantineKeeper::Reach aReach);
  void SendNews(const std::vector<MemberPeer>& aTo,
                const QuarantineNews& aNews);
  /// \brief A peer has other verdicts: it gets these.
  void CompareVerdicts(TimePoint aNow, const GossipMessage& aMessage);
  [[nodiscard]] RolloutKeeper::Parts RolloutParts();
  [[nodiscard]] WorkspaceService::Parts WorkspaceParts(asio::io_context& aLoop);
  void SpreadRollouts(const std::vector<RolloutRecord>& aRecords,
                      RolloutKeeper::Reach aReach,
                      RolloutTable::Change aChange);
  void SendRollouts(const std::vector<MemberPeer>& aTo,
                    const std::vector<RolloutRecord>& aRecords);
  /// \brief A peer knows other roll-outs: it gets these.
  void CompareRollouts(TimePoint aNow, const GossipMessage& aMessage);
  void TellCounts(WorkerCounts aCounts);
  [[nodiscard]] RolloutHolder::Workers WorkersOf(
    const RolloutRecord& aRecord) const;
  [[nodiscard]] std::string MainVersionOf(const std::string& aService) const;
  void RunWatchRole(TimePoint aNow);
  void FollowPlatform(TimePoint aNow);
  /// \brief The store came back from an older copy: what stood there is written
  /// again by those who know it.
  void OnStoreRestored();
  void CarryWatch(StoreRequest aRequest);
  /// \brief This daemon's view of the fleet is as good as a peer's.
  void SetJoined();
  void SyncMembers(TimePoint aNow, const GossipMessage& aMessage);

  /// A daemon with no peer and no version reads the store itself after this.
  static constexpr auto kAloneAfter = std::chrono::milliseconds{ 1500 };

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
  WatchRole m_watchRole;
  SeedKeeper m_seedKeeper;
  StoreSync<platform::KvStore> m_sync;
  ConfigFeed<platform::KvStore> m_feed;
  DecisionService<platform::KvStore> m_decisions;
  QuarantineKeeper m_quarantine;
  TimePoint m_nextVerdicts{};
  RolloutKeeper m_rollouts;
  TimePoint m_nextRollouts{};
  WorkspaceService m_workspaces;
  /// When a datagram of any other daemon came.
  TimePoint m_lastHeard{};
  asio::steady_timer m_tick;
  TimePoint m_nextJoin{};
  /// While it joins: whom to ask next, and where from when nobody is known.
  TimePoint m_nextContact{};
  std::vector<MemberPeer> m_seedsHeard{};
  std::chrono::milliseconds m_joinBackoff{ 250 };
  /// Reads of the seeds so far.
  std::uint32_t m_joinTries{ 0 };
  TimePoint m_started{};
  /// Snapshot made for peers, kept for as long as the version is in force.
  std::string m_packedSnapshot;
  Version m_packedVersion;
  MemberSync m_memberSync;
  DomainFinder m_domainFinder;
  ReadyGate m_gate;
  TimePoint m_nextRank{};
  bool m_fallbackRead{ false };
};

}
