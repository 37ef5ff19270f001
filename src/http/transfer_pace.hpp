#pragma once

#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <cstddef>

namespace greengagehub {

/// \brief Tells whether a transfer is too slow to end within its time limit.
///
/// Checked at intervals; the pace is that of the last complete period.
class TransferPace
{
public:
  static constexpr auto kPeriod = std::chrono::milliseconds{ 1000 };

  /// \brief Begins a period, as when a transfer begins or was held up by this
  /// process.
  /// \param aBytes transferred so far.
  void Restart(TimePoint aNow, std::size_t aBytes) noexcept
  {
    m_periodStart = aNow;
    m_bytesAtStart = aBytes;
    m_isTooSlow = false;
  }

  /// \param aBytes transferred so far, of `aTotal`.
  /// \param aLimit for the entire transfer.
  /// \returns Whether the last period moved less than its part of `aTotal`.
  [[nodiscard]] bool IsTooSlow(TimePoint aNow,
                               std::size_t aBytes,
                               std::size_t aTotal,
                               Duration aLimit) noexcept
  {
    const std::chrono::duration<double> elapsed = aNow - m_periodStart;
    if (elapsed > 2 * kPeriod) {
      // This process was held up, so the peer is not to blame.
      Restart(aNow, aBytes);
    } else if (elapsed >= kPeriod) {
      const std::chrono::duration<double> limit = aLimit;
      const double owed =
        static_cast<double>(aTotal) * (elapsed.count() / limit.count());
      const auto moved = static_cast<double>(aBytes - m_bytesAtStart);
      Restart(aNow, aBytes);
      m_isTooSlow = moved < owed;
    }
    return m_isTooSlow;
  }

private:
  TimePoint m_periodStart{};
  std::size_t m_bytesAtStart{ 0 };
  bool m_isTooSlow{ false };
};

}
