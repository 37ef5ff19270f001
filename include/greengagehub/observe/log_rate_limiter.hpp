#pragma once

#include "greengagehub/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace greengagehub {

/// \brief Token bucket for log lines.
class LogRateLimiter
{
public:
  /// \param aPerSecond lines per second.
  /// \param aBurst lines that may be written at once.
  LogRateLimiter(double aPerSecond, double aBurst) noexcept
    : m_perSecond(aPerSecond)
    , m_burst(aBurst)
    , m_tokens(aBurst)
  {
  }

  [[nodiscard]] bool TryAcquire(TimePoint aNow) noexcept
  {
    if (m_lastRefill != TimePoint{}) {
      const std::chrono::duration<double> elapsed = aNow - m_lastRefill;
      m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_perSecond);
    }
    m_lastRefill = aNow;
    if (m_tokens < 1.0) {
      ++m_suppressed;
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  /// \returns Number of lines suppressed since the last call.
  [[nodiscard]] std::uint64_t TakeSuppressedCount() noexcept
  {
    const std::uint64_t count = m_suppressed;
    m_suppressed = 0;
    return count;
  }

private:
  double m_perSecond;
  double m_burst;
  double m_tokens;
  TimePoint m_lastRefill{};
  std::uint64_t m_suppressed{ 0 };
};

}
