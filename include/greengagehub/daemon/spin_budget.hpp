#pragma once

#include "greengagehub/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace greengagehub {

struct SpinSettings
{
  /// Longest spin after an event; 0 disables spinning.
  std::chrono::microseconds m_maxDuration{ 0 };
  /// Processor time for spinning, in percent of one processor.
  std::uint32_t m_percent{ 5 };
};

/// \brief Bounds the processor time of spinning in the event loop.
///
/// Spinning saves the wake-up of an idle processor between a request and its
/// answer. The budget grows with time at the configured share, up to kMaxBurst.
class SpinBudget
{
public:
  explicit SpinBudget(SpinSettings aSettings) noexcept
    : m_settings(aSettings)
  {
  }

  [[nodiscard]] bool IsEnabled() const noexcept
  {
    return m_settings.m_maxDuration.count() > 0 && m_settings.m_percent > 0;
  }

  /// \returns How long to spin now; zero if the budget is used up.
  [[nodiscard]] Duration Available(TimePoint aNow) noexcept
  {
    if (m_updatedAt != TimePoint{}) {
      m_available += (aNow - m_updatedAt) * m_settings.m_percent / 100;
    }
    m_updatedAt = aNow;
    m_available = std::min<Duration>(m_available, kMaxBurst);
    return std::clamp<Duration>(
      m_available, Duration::zero(), m_settings.m_maxDuration);
  }

  void Consume(Duration aSpan) noexcept { m_available -= aSpan; }

private:
  static constexpr auto kMaxBurst = std::chrono::milliseconds{ 50 };

  SpinSettings m_settings;
  Duration m_available{ kMaxBurst };
  TimePoint m_updatedAt{};
};

}
