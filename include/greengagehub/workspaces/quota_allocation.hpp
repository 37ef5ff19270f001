#pragma once

#include <chrono>
#include <cstdint>

namespace greengagehub {

/// \brief How far the fleet as a whole may exceed a quota.
struct QuotaTolerance
{
  /// The allowance in any window of this length is
  /// (per_second * window + burst) * (1 + overage) + slack requests.
  std::chrono::milliseconds m_window{ 5000 };
  /// Permitted excess as a fraction of the quota.
  double m_overage{ 0.1 };
  /// Permitted excess independent of the quota, in requests.
  double m_slack{ 20.0 };
};

/// Maximum number of quota shards.
inline constexpr std::uint32_t kMaxQuotaShards = 16;

/// \brief One of the parts into which the tokens of all workspaces are divided.
struct QuotaShard
{
  std::uint32_t m_index{ 0 };
  /// 1 to kMaxQuotaShards.
  std::uint32_t m_count{ 1 };
};

/// Lifetime of granted tokens, from the sending of the query.
inline constexpr std::chrono::milliseconds kTokenLifetime{ 400 };

/// Lifetime of shares of the reserve, from the sending of the query.
inline constexpr std::chrono::milliseconds kReserveLifetime{ 10'000 };

/// \brief Division of a shard's part of a workspace's allowance between tokens
/// and a reserve, so that no window exceeds the allowance even if daemons are
/// partitioned, paused or killed.
///
/// Invariant: the sum over all shards of
/// m_capacity + m_rate * (window + kTokenLifetime) + m_reserve is at most the
/// allowance. Daemons that lack the answer of a shard use the reserve.
struct QuotaAllocation
{
  /// Refill of the bucket, in tokens per second.
  double m_rate{ 0.0 };
  double m_capacity{ 0.0 };
  /// Requests per window without a token, over all daemons.
  double m_reserve{ 0.0 };
};

/// \param aPerSecond requests per second, above 0.
/// \param aBurst requests.
/// \param aShards number of shards that divide the allowance.
/// \returns The part of one shard. Where the allowance leaves less than one
/// token of capacity for each shard, fewer shards than aShards have a part:
/// those below CountUsedShards().
[[nodiscard]] QuotaAllocation
AllocateQuota(const QuotaTolerance& aTolerance,
              double aPerSecond,
              double aBurst,
              std::uint32_t aShards = 1) noexcept;

/// \returns Number of shards that have a part of the allowance, from 1 to
/// aShards.
[[nodiscard]] std::uint32_t
CountUsedShards(const QuotaTolerance& aTolerance,
                double aPerSecond,
                double aBurst,
                std::uint32_t aShards) noexcept;

}
