#pragma once

#include <chrono>

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

/// Lifetime of granted tokens, from the sending of the query.
inline constexpr std::chrono::milliseconds kTokenLifetime{ 400 };

/// \brief Division of a workspace's allowance between tokens and a reserve, so
/// that no window exceeds it even if daemons are partitioned, paused or killed.
///
/// Tokens used in a window were granted in it or in the kTokenLifetime before:
/// at most m_capacity + m_rate * (window + kTokenLifetime). Daemons that cannot
/// reach the coordinator admit at most m_reserve requests per window together.
/// The sum of both is the allowance.
struct QuotaAllocation
{
  /// Refill rate of the token bucket, in tokens per second.
  double m_rate{ 0.0 };
  /// Capacity of the token bucket, in tokens.
  double m_capacity{ 0.0 };
  /// Requests per window without a token, over all daemons.
  double m_reserve{ 0.0 };
};

/// \param aPerSecond requests per second, above 0.
/// \param aBurst requests.
[[nodiscard]] QuotaAllocation
AllocateQuota(const QuotaTolerance& aTolerance,
              double aPerSecond,
              double aBurst) noexcept;

}
