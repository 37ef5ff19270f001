#pragma once

#include "greengagehub/membership/membership.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/settings/settings.hpp"
#include "greengagehub/workspaces/workspaces.hpp"
#include "platform/kv_store.hpp"

#include <array>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief Connects quota client, coordinators and their election to the store
/// and to datagrams, for all quota shards.
class QuotaService
{
public:
  /// References must outlive the service.
  struct Dependencies
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const Log& m_log;
    platform::KvStore& m_store;
    const WorkspaceTable& m_table;
    std::function<Membership&()> m_members;
    std::function<bool()> m_knowsPeers;
    std::function<bool()> m_hasPeerContact;
    std::function<void(GossipSend)> m_send;
    /// Adds this daemon's proof to an answer.
    std::function<void(QuotaReport&)> m_addProof;
    /// An answer to a query that was sent at the given time.
    std::function<void(TimePoint, const QuotaReport&)> m_onAnswer;
    /// Sends a check of the store, whose reply OnChecked() takes.
    std::function<void(CoordinatorRoles::Check)> m_check;
  };
  /// Totals since start.
  struct Counts
  {
    std::uint64_t m_granted{ 0 };
    std::uint64_t m_admitted{ 0 };
    std::uint64_t m_fromReserve{ 0 };
    std::uint64_t m_awaitedRefill{ 0 };
    std::uint64_t m_overQuota{ 0 };
    std::uint64_t m_noCoordinator{ 0 };
    std::uint64_t m_returned{ 0 };
  };
  struct ShardStatus
  {
    /// Empty: unknown.
    std::string m_coordinator{};
    bool m_isSilent{ false };
    bool m_isOwn{ false };
    /// Daemons that queried this one recently, if it coordinates the shard.
    std::size_t m_queriers{ 0 };
  };

  QuotaService(Dependencies aDependencies,
               std::uint64_t aProcess,
               std::uint64_t aSeed);

  [[nodiscard]] QuotaDecision TryAdmit(TimePoint aNow,
                                       WorkspaceId aWorkspace,
                                       bool aIsNew,
                                       bool aIsLate);
  void CancelWait(WorkspaceId aWorkspace) { m_client.CancelWait(aWorkspace); }
  /// \brief Takes back what admitted a request that has run nowhere.
  void Return(WorkspaceId aWorkspace, const QuotaReceipt& aReceipt);
  void OnLimitLowered(WorkspaceId aWorkspace)
  {
    m_client.OnLimitLowered(aWorkspace);
  }
  /// \param aHandler called when waiting requests are to be admitted again.
  void SetRetryHandler(std::function<void()> aHandler)
  {
    m_retryHandler = std::move(aHandler);
  }

  void OnMessage(const GossipMessage& aMessage);
  void OnTick(TimePoint aNow);
  /// \brief No workspace has a quota to be coordinated.
  void OnIdle(TimePoint aNow);
  void OnChecked(TimePoint aNow,
                 const CoordinatorRoles::Check& aCheck,
                 const StoreReply& aReply);
  void OnStoreRestored();
  void Resign();

  [[nodiscard]] bool IsCoordinator(std::uint32_t aShard = 0) const;
  [[nodiscard]] const std::string& Coordinator() const noexcept
  {
    return m_shards.front().m_coordinatorSlot;
  }
  [[nodiscard]] Counts Totals() const;
  /// \returns Shards that this daemon coordinates.
  [[nodiscard]] std::uint32_t CountHeld() const;
  [[nodiscard]] std::vector<ShardStatus> Shards() const;
  [[nodiscard]] const QuotaClient& Client() const noexcept { return m_client; }

  /// Time without a coordinator after which the relay of a domain claims the
  /// role of shard 0.
  static constexpr std::chrono::milliseconds kRelaySilence{ 800 };
  static constexpr std::chrono::milliseconds kMaxClaimDelay{ 800 };

private:
  struct Shard
  {
    QuotaCoordinator m_coordinator;
    QuerierMonitor m_queriers{};
    /// Empty: unknown.
    std::string m_coordinatorSlot{};
    TimePoint m_lastReport{};
    /// The last coordinator has reported that it stopped.
    bool m_hasEnded{ false };
    /// Members that come before this daemon as candidates.
    std::size_t m_rank{ 0 };
  };

  // Queries.
  void SendQueries();
  void SendQuery(QuotaQuery aQuery);
  void ArmQueryTimeout();
  [[nodiscard]] std::optional<MemberPeer> SelectQueryPeer(std::uint32_t aShard);
  [[nodiscard]] QuotaReport AnswerQuery(std::string_view aSlot,
                                        const QuotaQuery& aQuery);
  void OnReport(std::string_view aFrom, const QuotaReport& aReport);
  void RecordSender(TimePoint aNow,
                    std::string_view aFrom,
                    const QuotaReport& aReport);

  // Coordination.
  void AdvanceRoles(TimePoint aNow);
  void AdvanceShard(TimePoint aNow, std::uint32_t aShard);
  void UpdateRanks(TimePoint aNow);
  [[nodiscard]] Duration SilenceOf(TimePoint aNow, std::uint32_t aShard) const;
  /// \returns Other shards that this daemon holds, or ranks first for.
  [[nodiscard]] std::size_t CountOtherShards(std::uint32_t aShard) const;
  [[nodiscard]] bool IsCandidate(std::uint32_t aShard, Duration aSilence);
  void Execute(std::vector<CoordinatorRoles::Action> aActions);
  void Execute(CoordinatorRoles::Action aAction);
  void OnReply(const CoordinatorRoles::Action& aAction,
               TimePoint aSent,
               const StoreReply& aReply);
  /// \param aCoordinator slot of the coordinator; empty: none.
  void AnnounceCoordinator(std::uint32_t aShard,
                           const std::string& aCoordinator);
  void LogChange(LogLevel aLevel,
                 std::string_view aEvent,
                 std::uint32_t aShard) const;

  Dependencies m_deps;
  Random m_random;
  QuotaClient m_client;
  CoordinatorRoles m_roles;
  std::vector<Shard> m_shards;
  Counts m_counts;
  std::function<void()> m_retryHandler;
  asio::steady_timer m_queryTimeout;
  /// When m_queryTimeout expires, if it runs.
  std::optional<TimePoint> m_timeoutAt;
  TimePoint m_nextRankCheck{};
  /// Random addition to kRelaySilence and kMemberSilence, so that daemons do
  /// not claim the role at the same time.
  std::chrono::milliseconds m_claimDelay{ 0 };
};

}
