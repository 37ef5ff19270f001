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

}

QuotaAllocation
AllocateQuota(const QuotaTolerance& aTolerance,
              double aPerSecond,
              double aBurst) noexcept
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
  return { rate, kCapacityPart * headroom, (1.0 - kCapacityPart) * headroom };
}

}
