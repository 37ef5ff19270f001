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
/// Invariant: m_capacity + m_rate * (window + kTokenLifetime) + m_reserve is at
/// most the allowance. Daemons without a coordinator use the reserve.
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
[[nodiscard]] QuotaAllocation
AllocateQuota(const QuotaTolerance& aTolerance,
              double aPerSecond,
              double aBurst) noexcept;

}
