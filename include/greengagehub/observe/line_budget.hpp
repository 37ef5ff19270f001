#pragma once

#include "greengagehub/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace greengagehub {

/// \brief Lines that may be logged: a rate, and a burst beyond it. What does
/// not fit is counted.
class LineBudget
{
public:
  LineBudget(double aPerSecond, double aBurst) noexcept
    : m_perSecond(aPerSecond)
    , m_burst(aBurst)
    , m_tokens(aBurst)
  {
  }

  [[nodiscard]] bool Take(TimePoint aNow) noexcept
  {
    if (m_since != TimePoint{}) {
      const std::chrono::duration<double> age = aNow - m_since;
      m_tokens = std::min(m_burst, m_tokens + age.count() * m_perSecond);
    }
    m_since = aNow;
    if (m_tokens < 1.0) {
      ++m_left;
      return false;
    }
    m_tokens -= 1.0;
    return true;
  }

  /// \returns Lines left out since the last call.
  [[nodiscard]] std::uint64_t TakeLeftOut() noexcept
  {
    const std::uint64_t left = m_left;
    m_left = 0;
    return left;
  }

private:
  double m_perSecond;
  double m_burst;
  double m_tokens;
  TimePoint m_since{};
  std::uint64_t m_left{ 0 };
};

}
