#pragma once

#include "greengagehub/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace greengagehub {

/// \brief Limits the send rate of large frames to the bandwidth of the
/// machine's network link.
///
/// Without pacing, a large answer on a slow link delays all probes, rejections
/// and small answers queued behind it. All connections of a daemon share one
/// pacer.
class LinkPacer
{
public:
  /// \param aMbps bandwidth of the link in Mbit/s; 0 if unknown, which
  /// disables pacing.
  explicit LinkPacer(std::uint32_t aMbps) noexcept
    : m_bytesPerSecond(aMbps * kUsedShare * kBytesPerMbit)
  {
  }

  /// \brief Reserves link time for `aBytes`.
  /// \returns Delay until the reserved time begins. Large frames wait for it;
  /// small frames are sent at once and only counted.
  [[nodiscard]] Duration Reserve(TimePoint aNow, std::size_t aBytes) noexcept
  {
    if (m_bytesPerSecond <= 0.0) {
      return Duration::zero();
    }
    const TimePoint start = std::max(aNow, m_linkFreeAt);
    m_linkFreeAt = start + TransmissionTime(aBytes);
    return start - aNow;
  }

  /// \returns Transmission time of `aBytes`; zero if the bandwidth is unknown.
  [[nodiscard]] Duration TransmissionTime(std::size_t aBytes) const noexcept
  {
    if (m_bytesPerSecond <= 0.0) {
      return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>{
      static_cast<double>(aBytes) / m_bytesPerSecond });
  }

  /// \returns Time until all reserved bytes have been transmitted.
  [[nodiscard]] Duration Backlog(TimePoint aNow) const noexcept
  {
    return std::max(Duration::zero(), m_linkFreeAt - aNow);
  }

  /// Frames with a larger body are paced and written in parts of this size.
  static constexpr std::size_t kPartBytes = 16UL * 1024;

private:
  /// Share of the bandwidth; the rest is left for unpaced traffic.
  static constexpr double kUsedShare = 0.85;
  static constexpr double kBytesPerMbit = 125'000.0;

  double m_bytesPerSecond;
  TimePoint m_linkFreeAt{};
};

}
