#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstdint>

namespace greengagehub {

/// \brief How old the runs under way are, beside how long such runs take: tells
/// that a worker has become slow before any of them ends.
///
/// Answers the load pattern of a worker that takes many times longer from one
/// moment to the next: for as long as nothing ends there, the times of runs
/// that did end say that it is as fast as ever, and calls keep coming to wait
/// behind those that hang.
class RunningAge
{
public:
  /// \param aExpected how long it should take.
  void Started(TimePoint aNow, Duration aExpected) noexcept
  {
    ++m_count;
    m_starts += aNow.time_since_epoch();
    m_expected += aExpected;
  }

  void Ended(TimePoint aStarted, Duration aExpected) noexcept
  {
    --m_count;
    m_starts -= aStarted.time_since_epoch();
    m_expected -= aExpected;
  }

  /// \returns By how many times runs take longer now than expected; 1 unless it
  /// is certain.
  [[nodiscard]] double SlownessAt(TimePoint aNow) const noexcept
  {
    if (m_count < kFewest || m_expected <= Duration::zero()) {
      return 1.0;
    }
    const auto count = static_cast<std::int64_t>(m_count);
    const Duration ages = count * aNow.time_since_epoch() - m_starts;
    const double ratio = std::chrono::duration<double>(ages) /
                         std::chrono::duration<double>(m_expected);
    return ratio < kCertain ? 1.0 : ratio / kUsual;
  }

private:
  /// Fewer runs say little: one long one is usual.
  static constexpr std::uint32_t kFewest = 4;
  /// Age of what runs as a part of what it takes: half for equal times, 0.62
  /// for a spread of half the mean, as lookups have.
  static constexpr double kUsual = 0.62;
  /// From 1.25 on a worker with that spread on 15 slots was taken for slow
  /// within 200 s of replayed load; from 1.5 on it was not (tests/calls,
  /// slow_worker).
  static constexpr double kCertain = 1.5;

  std::uint32_t m_count{ 0 };
  Duration m_starts{ 0 };
  Duration m_expected{ 0 };
};

}
