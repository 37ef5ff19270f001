#include "greengagehub/workspaces/quota_allocation.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Minimum part of the allowance kept for capacity and reserve.
constexpr double kMinHeadroom = 0.1;
/// Part of the burst that is spread over a window and added to the rate.
constexpr double kSustainedBurstPart = 0.5;
/// Part of the headroom that becomes bucket capacity; the rest is reserve.
constexpr double kCapacityPart = 0.25;
/// The same with several shards: the reserve is needed less, and the buckets
/// that remain without one shard must take the bursts.
constexpr double kShardedCapacityPart = 0.8;
/// A smaller bucket never holds a token.
constexpr double kMinCapacity = 1.0;

/// \returns The division of the whole allowance.
QuotaAllocation
AllocateWhole(const QuotaTolerance& aTolerance,
              double aPerSecond,
              double aBurst,
              std::uint32_t aShards) noexcept
{
  const double window =
    std::chrono::duration<double>(aTolerance.m_window).count();
  const double span =
    window + std::chrono::duration<double>(kTokenLifetime).count();
  const double allowance =
    (aPerSecond * window + aBurst) * (1.0 + aTolerance.m_overage) +
    aTolerance.m_slack;
  const double sustainedRate =
    aPerSecond + kSustainedBurstPart * aBurst / window;
  const double rate =
    std::min(sustainedRate, (1.0 - kMinHeadroom) * allowance / span);
  const double headroom = allowance - rate * span;
  if (aShards == 1) {
    return { rate, kCapacityPart * headroom, (1.0 - kCapacityPart) * headroom };
  }
  const double capacity =
    std::min(headroom,
             std::max(kShardedCapacityPart * headroom, kMinCapacity * aShards));
  return { rate, capacity, headroom - capacity };
}

}

std::uint32_t
CountUsedShards(const QuotaTolerance& aTolerance,
                double aPerSecond,
                double aBurst,
                std::uint32_t aShards) noexcept
{
  const QuotaAllocation whole =
    AllocateWhole(aTolerance, aPerSecond, aBurst, aShards);
  if (whole.m_capacity >= kMinCapacity * aShards) {
    return aShards;
  }
  return std::max(1U,
                  static_cast<std::uint32_t>(whole.m_capacity / kMinCapacity));
}

QuotaAllocation
AllocateQuota(const QuotaTolerance& aTolerance,
              double aPerSecond,
              double aBurst,
              std::uint32_t aShards) noexcept
{
  const QuotaAllocation whole =
    AllocateWhole(aTolerance, aPerSecond, aBurst, aShards);
  const double parts = CountUsedShards(aTolerance, aPerSecond, aBurst, aShards);
  return { whole.m_rate / parts,
           whole.m_capacity / parts,
           whole.m_reserve / parts };
}

}
