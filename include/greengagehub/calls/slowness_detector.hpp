#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstdint>

namespace greengagehub {

/// \brief Detects a slow worker from the age of its unfinished runs.
///
/// Service times are sampled when runs finish. When a worker hangs, nothing
/// finishes and those samples stay low, so that calls would keep queueing
/// there.
class SlownessDetector
{
public:
  void RecordStart(TimePoint aNow, Duration aExpectedServiceTime) noexcept
  {
    ++m_count;
    m_startSum += aNow.time_since_epoch();
    m_expectedServiceTimeSum += aExpectedServiceTime;
  }

  void RecordEnd(TimePoint aStarted, Duration aExpectedServiceTime) noexcept
  {
    --m_count;
    m_startSum -= aStarted.time_since_epoch();
    m_expectedServiceTimeSum -= aExpectedServiceTime;
  }

  /// \returns Factor by which runs exceed their expected time; 1 while the
  /// deviation is not significant.
  [[nodiscard]] double SlownessAt(TimePoint aNow) const noexcept
  {
    if (m_count < kMinRuns || m_expectedServiceTimeSum <= Duration::zero()) {
      return 1.0;
    }
    const auto count = static_cast<std::int64_t>(m_count);
    const Duration ages = count * aNow.time_since_epoch() - m_startSum;
    const double ratio =
      std::chrono::duration<double>(ages) /
      std::chrono::duration<double>(m_expectedServiceTimeSum);
    return ratio < kSlowRatio ? 1.0 : ratio / kNormalRatio;
  }

private:
  /// With fewer runs a single long one would count as slowness.
  static constexpr std::uint32_t kMinRuns = 4;
  /// Ratio of age to expected time of runs at normal speed, for service times
  /// with a standard deviation of half the mean.
  static constexpr double kNormalRatio = 0.62;
  /// Lower ratios are within the normal variance: from 1.25 on, a sound worker
  /// with 15 slots and that deviation counted as slow within 200 s.
  static constexpr double kSlowRatio = 1.5;

  std::uint32_t m_count{ 0 };
  Duration m_startSum{ 0 };
  Duration m_expectedServiceTimeSum{ 0 };
};

}
