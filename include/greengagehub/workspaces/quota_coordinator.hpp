#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"
#include "greengagehub/workspaces/quota_message.hpp"
#include "greengagehub/workspaces/reserve_book.hpp"
#include "greengagehub/workspaces/workspace_table.hpp"

#include <chrono>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagehub {

/// \brief Grants the quota tokens of one shard to all daemons.
///
/// Each workspace has one token bucket. Tokens are granted in the order of the
/// demands; the reserve is divided in proportion to each daemon's request rate,
/// and each share is booked until it can no longer count.
class QuotaCoordinator
{
public:
  explicit QuotaCoordinator(QuotaTolerance aTolerance,
                            QuotaShard aShard = {}) noexcept
    : m_tolerance(aTolerance)
    , m_shard(aShard)
  {
  }

  /// \brief Empties all buckets, as a predecessor's tokens may be in use. The
  /// reserve is not divided until the predecessor's shares no longer count.
  void Start(TimePoint aNow);
  /// \param aSlot slot of the daemon that sent the demands.
  /// \param aGetsReserve whether the daemon's shares of the reserve expire.
  [[nodiscard]] std::vector<QuotaGrant> OnDemands(
    TimePoint aNow,
    std::string_view aSlot,
    const std::vector<QuotaDemand>& aDemands,
    const WorkspaceTable& aTable,
    bool aGetsReserve = true);
  /// \returns Tokens granted since the construction.
  [[nodiscard]] std::uint64_t Granted() const noexcept { return m_granted; }

private:
  /// A workspace's request rate at one daemon.
  struct DaemonRate
  {
    /// Requests per second.
    double m_rate{ 0.0 };
    TimePoint m_reportedAt{};
  };
  struct TokenBucket
  {
    double m_tokens{ 0.0 };
    TimePoint m_refilledAt{};
    /// By hash of the daemon's slot.
    std::unordered_map<std::uint64_t, DaemonRate> m_daemonRates{};
    double m_totalRate{ 0.0 };
    ReserveBook m_reserve{};
  };

  [[nodiscard]] TokenBucket& BucketOf(WorkspaceId aWorkspace);
  [[nodiscard]] QuotaGrant Grant(TimePoint aNow,
                                 std::uint64_t aSlot,
                                 const QuotaDemand& aDemand,
                                 const QuotaAllocation& aAllocation,
                                 bool aGetsReserve);
  [[nodiscard]] QuotaAllocation AllocationOf(
    const WorkspaceRow& aWorkspace) const noexcept;
  /// \returns The daemon's share of the reserve, in requests per window.
  [[nodiscard]] std::uint32_t GrantReserve(
    TimePoint aNow,
    std::uint64_t aSlot,
    TokenBucket& aBucket,
    const QuotaAllocation& aAllocation) const;
  static void Refill(TimePoint aNow,
                     TokenBucket& aBucket,
                     const QuotaAllocation& aAllocation);
  static void RecordRate(TimePoint aNow,
                         std::uint64_t aSlot,
                         const QuotaDemand& aDemand,
                         TokenBucket& aBucket);
  static void RemoveSilentDaemons(TimePoint aNow, TokenBucket& aBucket);

  QuotaTolerance m_tolerance;
  QuotaShard m_shard;
  std::uint64_t m_granted{ 0 };
  TimePoint m_startedAt{};
  std::unordered_map<WorkspaceId, TokenBucket> m_buckets;
};

}
