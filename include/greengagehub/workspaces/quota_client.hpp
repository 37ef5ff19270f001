#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"
#include "greengagehub/workspaces/quota_message.hpp"
#include "greengagehub/workspaces/shard_link.hpp"
#include "greengagehub/workspaces/token_purse.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagehub {

struct QuotaDecision
{
  enum class Kind : std::uint8_t
  {
    Admitted,
    /// Retry after the next report.
    Waiting,
    /// The workspace has used up its quota.
    OverQuota,
    /// No coordinator answers and the reserve is used up.
    NoCoordinator,
  };
  Kind m_kind{ Kind::Admitted };
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// Waiting: all shards that answer have denied, and one of them will soon
  /// have tokens. A request that gets none is over the quota.
  bool m_isForRefill{ false };
  /// For Return(), if the request was admitted.
  QuotaReceipt m_receipt{};
};

/// \brief State of a workspace at this daemon, for operators.
struct WorkspaceQuotaStatus
{
  WorkspaceId m_workspace{ 0 };
  std::uint32_t m_tokens{ 0 };
  std::uint32_t m_waiting{ 0 };
  /// Requests per second.
  double m_rate{ 0.0 };
  /// Requests per window.
  std::uint32_t m_reserve{ 0 };
  /// Time left in which no shard that answers has tokens; 0: none.
  std::chrono::milliseconds m_overQuotaFor{ 0 };
};

/// \brief Admits requests against tokens that the coordinators of the quota
/// shards grant to this daemon, and queries them for more.
///
/// Tokens are prefetched for busy workspaces; other requests wait one round
/// trip for their token. The shards are queried in turn, each workspace and
/// daemon beginning with one of their own; when one does not answer in time or
/// has too few tokens, the next one is queried at once. While a shard does not
/// answer and the others have no tokens, requests are admitted from the
/// reserve; then, and until the buckets of the next coordinator have refilled,
/// a few wait for a refill.
class QuotaClient
{
public:
  /// \param aShards number of shards, 1 to kMaxQuotaShards.
  QuotaClient(QuotaTolerance aTolerance,
              std::uint64_t aSeed,
              std::uint32_t aShards = 1);

  /// \brief Consumes a token, or part of the reserve, for one request.
  /// \param aIsNew false for the retry of a waiting request, after CancelWait.
  /// \param aIsLate the response would exceed the route's target latency.
  [[nodiscard]] QuotaDecision TryAdmit(TimePoint aNow,
                                       WorkspaceId aWorkspace,
                                       bool aIsNew,
                                       bool aIsLate = false);
  /// \brief Ends the wait of one request whose decision was Waiting.
  void CancelWait(WorkspaceId aWorkspace);
  /// \brief Takes back what admitted a request that has run nowhere.
  void Return(TimePoint aNow,
              WorkspaceId aWorkspace,
              const QuotaReceipt& aReceipt);
  /// \brief Drops what was granted under a higher limit.
  void OnLimitLowered(WorkspaceId aWorkspace);
  /// \brief Sets the number of shards that the coordinators state.
  void SetShardCount(std::uint32_t aShards);

  /// \returns The next query, if any; to be called until there is none.
  [[nodiscard]] std::optional<QuotaQuery> NextQuery(TimePoint aNow);
  /// \returns When the next awaited answer is overdue, or a shard that has
  /// denied a waiting request may be queried again, if any.
  [[nodiscard]] std::optional<TimePoint> NextTimeout(TimePoint aNow) const;
  /// \returns When the answered query was sent; nothing if late or duplicate.
  [[nodiscard]] std::optional<TimePoint> OnReport(TimePoint aNow,
                                                  const QuotaReport& aReport);
  /// \brief Drops pending queries, so that the next one is sent at once.
  void OnCoordinatorReady(std::uint32_t aShard = 0);
  /// \returns Whether no shard has answered for kSilenceTimeout.
  [[nodiscard]] bool IsCoordinatorSilent(TimePoint aNow) const noexcept;

  [[nodiscard]] std::uint32_t ShardCount() const noexcept { return m_shards; }
  /// \param aShard below kMaxQuotaShards.
  [[nodiscard]] const ShardLink& Link(std::uint32_t aShard) const
  {
    return m_links.at(aShard).m_link;
  }
  [[nodiscard]] std::uint32_t CountSilentShards(TimePoint aNow) const;
  /// \returns Workspaces with recent requests, the busiest first.
  [[nodiscard]] std::vector<WorkspaceQuotaStatus> Status(TimePoint aNow) const;

  /// Interval of queries without demands, which renew the freshness proof.
  static constexpr std::chrono::milliseconds kQueryInterval{ 400 };
  static constexpr std::chrono::milliseconds kAnswerTimeout =
    ShardLink::kAnswerTimeout;
  /// Time without any answer after which requests no longer wait for one.
  static constexpr std::chrono::milliseconds kSilenceTimeout{ 400 };
  /// Maximum number of demands per query, so that it fits in a datagram.
  static constexpr std::size_t kMaxDemands = 40;

private:
  struct WorkspaceState
  {
    TokenPurse m_purse{};
    std::uint32_t m_waiting{ 0 };
    /// Requests since the last update of m_rate.
    std::uint32_t m_arrivals{ 0 };
    /// Requests per second, moving average.
    double m_rate{ 0.0 };
    /// Tokens since the last update of m_grantRate.
    std::uint32_t m_grants{ 0 };
    /// Tokens per second, moving average.
    double m_grantRate{ 0.0 };
    /// Follows the shard that answered last; empty: the first one, by hash.
    std::optional<std::uint64_t> m_nextShard{};
    /// By shard: after a partial grant, no tokens are requested until then.
    std::array<TimePoint, kMaxQuotaShards> m_deniedUntil{};
    /// After a denial by all shards, late requests are rejected until then.
    TimePoint m_scarceUntil{};
    TimePoint m_lastArrival{};
    /// Last denial by all shards while all were in service.
    TimePoint m_overQuotaAt{};
  };
  struct LinkState
  {
    ShardLink m_link{};
    /// When a query without waiting requests is due; for prefetching, and to
    /// learn of the coordinator.
    TimePoint m_nextPrefetchAt{};
    TimePoint m_nextIdleAt{};
  };

  /// \returns The shard to query for a workspace; nothing if all have denied.
  [[nodiscard]] std::optional<std::uint32_t> SelectShard(
    TimePoint aNow,
    WorkspaceId aWorkspace,
    const WorkspaceState& aState) const;
  [[nodiscard]] bool HasDenied(TimePoint aNow,
                               const WorkspaceState& aState,
                               std::uint32_t aShard) const
  {
    return aNow < aState.m_deniedUntil.at(aShard);
  }
  [[nodiscard]] bool IsReserveOpen(TimePoint aNow) const;
  [[nodiscard]] QuotaDecision DecideWithoutToken(TimePoint aNow,
                                                 WorkspaceId aWorkspace,
                                                 WorkspaceState& aState);
  /// \returns When a shard that answers and has denied may be queried again.
  [[nodiscard]] std::optional<TimePoint> NextRefill(
    TimePoint aNow,
    const WorkspaceState& aState) const;
  /// \returns Whether all shards are in service, with refilled buckets.
  [[nodiscard]] bool IsComplete(TimePoint aNow) const noexcept;
  /// \returns Whether a request that all shards deny waits for a refill.
  [[nodiscard]] bool AwaitsRefill(TimePoint aNow,
                                  const WorkspaceState& aState) const;
  [[nodiscard]] QuotaDecision Wait(WorkspaceState& aState,
                                   bool aIsForRefill) noexcept;
  [[nodiscard]] std::vector<QuotaDemand> CollectDemands(TimePoint aNow,
                                                        std::uint32_t aShard);
  [[nodiscard]] std::uint32_t CountWantedTokens(TimePoint aNow,
                                                const WorkspaceState& aState);
  [[nodiscard]] std::optional<QuotaQuery> QueryShard(TimePoint aNow,
                                                     std::uint32_t aShard);
  /// \returns Whether requests wait for a token of this shard.
  [[nodiscard]] bool HasWaiting(TimePoint aNow, std::uint32_t aShard) const;
  void UpdateRates(TimePoint aNow);
  void ApplyGrant(TimePoint aNow,
                  TimePoint aSentAt,
                  std::uint32_t aShard,
                  const QuotaGrant& aGrant);
  [[nodiscard]] std::chrono::milliseconds IdleInterval();
  /// \returns `aValue` rounded up or down at random, with `aValue` as mean.
  [[nodiscard]] std::uint32_t RoundStochastically(double aValue);

  QuotaTolerance m_tolerance;
  Random m_random;
  std::uint32_t m_shards;
  /// Part of the choice of the shard that a workspace begins with.
  std::uint64_t m_daemon;
  std::array<LinkState, kMaxQuotaShards> m_links{};
  std::unordered_map<WorkspaceId, WorkspaceState> m_workspaces;
  std::uint32_t m_waiting{ 0 };
  std::uint64_t m_sequence{ 0 };
  TimePoint m_ratesUpdatedAt{};
  /// Last time at which any shard was silent.
  TimePoint m_lastSilentAt{};
};

}
