#pragma once

#include "greengagehub/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace greengagehub {

/// \brief How long the event loop may look for events without sleeping.
struct SpinSettings
{
  /// Longest time after an event; 0 never spins.
  std::chrono::microseconds m_after{ 0 };
  /// Share of one processor that spinning may use, in percent.
  std::uint32_t m_percent{ 5 };
};

/// \brief Bounds spinning by a share of a processor.
///
/// At 66 calls/s the processor sleeps between a request and its answer, and the
/// wake-up costs more than all of a daemon's work on the call. Looking for the
/// answer for a moment saves that, for a processor share that must stay bounded
/// whatever the load.
class SpinBudget
{
public:
  explicit SpinBudget(SpinSettings aSettings) noexcept
    : m_settings(aSettings)
  {
  }

  [[nodiscard]] bool IsOn() const noexcept
  {
    return m_settings.m_after.count() > 0 && m_settings.m_percent > 0;
  }

  /// \returns How long to spin now; zero when the budget is used up.
  [[nodiscard]] Duration Allowed(TimePoint aNow) noexcept
  {
    if (m_since != TimePoint{}) {
      m_saved += (aNow - m_since) * m_settings.m_percent / 100;
    }
    m_since = aNow;
    m_saved = std::min<Duration>(m_saved, kMostSaved);
    return std::clamp<Duration>(m_saved, Duration::zero(), m_settings.m_after);
  }

  void Spent(Duration aSpan) noexcept { m_saved -= aSpan; }

private:
  /// A burst may use this much at once.
  static constexpr auto kMostSaved = std::chrono::milliseconds{ 50 };

  SpinSettings m_settings;
  Duration m_saved{ kMostSaved };
  TimePoint m_since{};
};

}
