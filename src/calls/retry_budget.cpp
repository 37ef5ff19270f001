#include "greengagehub/calls/retry_budget.hpp"

#include <algorithm>

namespace greengagehub {

namespace {
constexpr std::uint32_t kOneRetry = 100;
constexpr std::uint32_t kMost = 100 * kOneRetry;
}

void
RetryBudget::Deposit() noexcept
{
  m_hundredths = std::min(m_hundredths + m_percent, kMost);
}

bool
RetryBudget::Withdraw() noexcept
{
  if (m_percent == 0 || m_hundredths < kOneRetry) {
    return false;
  }
  m_hundredths -= kOneRetry;
  return true;
}

}
