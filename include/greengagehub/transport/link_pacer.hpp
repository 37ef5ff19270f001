#pragma once

#include "greengagehub/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace greengagehub {

/// \brief Spreads large frames over time, so that the queue of this machine's
/// link stays short.
///
/// Answers the load pattern of large answers on slow links: written at once,
/// half a megabyte at 15 Mbit/s delays every probe, refusal and small answer
/// behind it by 0.3 s. One for all connections of a daemon.
class LinkPacer
{
public:
  /// \param aMbps rate of the link, in Mbit/s; 0: not known, nothing waits.
  explicit LinkPacer(std::uint32_t aMbps) noexcept
    : m_bytesPerSecond(aMbps * kUsedShare * kBytesPerMbit)
  {
  }

  /// \brief Counts bytes that leave now, or after the returned time.
  /// \returns How long those of a large frame are to wait.
  [[nodiscard]] Duration Reserve(TimePoint aNow, std::size_t aBytes) noexcept
  {
    if (m_bytesPerSecond <= 0.0) {
      return Duration::zero();
    }
    const TimePoint begins = std::max(aNow, m_freeAt);
    m_freeAt = begins + TimeOf(aBytes);
    return begins - aNow;
  }

  /// \returns How long bytes take on the link.
  [[nodiscard]] Duration TimeOf(std::size_t aBytes) const noexcept
  {
    if (m_bytesPerSecond <= 0.0) {
      return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>{
      static_cast<double>(aBytes) / m_bytesPerSecond });
  }

  /// \returns How long what was counted will still take to leave.
  [[nodiscard]] Duration Backlog(TimePoint aNow) const noexcept
  {
    return std::max(Duration::zero(), m_freeAt - aNow);
  }

  /// Frames with a larger body wait for their time on the link and leave in
  /// parts of this size: 9 ms at 15 Mbit/s.
  static constexpr std::size_t kPart = 16UL * 1024;

private:
  /// Of the link's rate; the rest is for what is not counted here.
  static constexpr double kUsedShare = 0.85;
  static constexpr double kBytesPerMbit = 125'000.0;

  double m_bytesPerSecond;
  TimePoint m_freeAt{};
};

}
