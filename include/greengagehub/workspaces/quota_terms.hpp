#pragma once

#include <chrono>

namespace greengagehub {

/// \brief How closely a quota must be kept over the whole fleet.
struct QuotaRules
{
  /// In any window of this length at most
  /// (per_second * window + burst) * (1 + overage) + slack requests run.
  std::chrono::milliseconds m_window{ 5000 };
  double m_overage{ 0.1 };
  double m_slack{ 20.0 };
};

/// How long granted tokens may be used, from the moment of the question.
inline constexpr std::chrono::milliseconds kTokenLife{ 400 };

/// \brief How a workspace's quota is dealt out so that no window exceeds it,
/// whichever daemons are cut off, suspended or killed.
///
/// Tokens granted in a window and in the kTokenLife before it may run in it:
/// at most m_depth + m_rate * (window + kTokenLife). Daemons that do not reach
/// the coordinator admit at most m_reserve together. The sum is the allowance.
struct QuotaTerms
{
  /// Tokens a second.
  double m_rate{ 0.0 };
  /// Tokens that may be granted at once.
  double m_depth{ 0.0 };
  /// Requests in a window that need no token, over all daemons.
  double m_reserve{ 0.0 };
};

/// \param aPerSecond above 0.
[[nodiscard]] QuotaTerms
TermsOf(const QuotaRules& aRules, double aPerSecond, double aBurst) noexcept;

}
