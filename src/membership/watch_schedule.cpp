#include "greengagehub/membership/watch_schedule.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// A watch shorter than this part of the gap costs a call and covers little.
constexpr int kShortestDivisor = 4;
/// Bounds the rate of calls where a change must be in force very soon.
constexpr std::chrono::milliseconds kShortestGap{ 100 };

}

std::chrono::milliseconds
WatchSchedule::NextWait(WallTime aNow, ReaderPosition aReader) const noexcept
{
  using std::chrono::milliseconds;
  const milliseconds gap = std::min(std::max(m_gap, kShortestGap), m_longest);
  const auto usefulReaders = static_cast<std::size_t>(m_longest / gap);
  const std::size_t readers =
    std::clamp<std::size_t>(aReader.m_count, 1, usefulReaders);
  if (aReader.m_index >= readers) {
    return m_longest;
  }
  const milliseconds period = gap * readers;
  const milliseconds end = gap * aReader.m_index;
  // Not negative, also for a clock before 1970.
  const milliseconds sinceEnd =
    ((aNow.time_since_epoch() - end) % period + period) % period;
  const milliseconds wait = period - sinceEnd;
  return wait >= gap / kShortestDivisor ? wait : wait + period;
}

}
