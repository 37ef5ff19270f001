#include "greengagehub/workspaces/quota_terms.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Part of the allowance that is kept for depth and reserve where the rate
/// alone would use it up, as with a quota without a burst.
constexpr double kLeastRoom = 0.1;
/// Part of the burst that is dealt out evenly over each window: a workspace
/// that sends evenly is within its quota up to its rate and a window's share of
/// the burst.
constexpr double kEvenBurst = 0.5;
/// Of what the rate leaves, the part that may be granted at once.
constexpr double kDepthShare = 0.25;

}

QuotaTerms
TermsOf(const QuotaRules& aRules, double aPerSecond, double aBurst) noexcept
{
  const double window = std::chrono::duration<double>(aRules.m_window).count();
  const double span =
    window + std::chrono::duration<double>(kTokenLife).count();
  const double allowance =
    (aPerSecond * window + aBurst) * (1.0 + aRules.m_overage) + aRules.m_slack;
  const double even = aPerSecond + kEvenBurst * aBurst / window;
  const double rate = std::min(even, (1.0 - kLeastRoom) * allowance / span);
  const double room = allowance - rate * span;
  return { rate, kDepthShare * room, (1.0 - kDepthShare) * room };
}

}
