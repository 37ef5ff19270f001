#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstddef>

namespace greengagehub {

/// \brief Place of a daemon among all daemons that watch the store.
struct ReaderPosition
{
  std::size_t m_index{ 0 };
  std::size_t m_count{ 1 };
};

/// \brief Spreads the ends of the watches of all readers evenly over time.
///
/// A watch that the store has lost ends without a change, so it is noticed at
/// its end only. As each change ends the watches of all readers at once, they
/// would end together the next time too. The wall clock is their common
/// reference; clocks that differ make the gaps uneven.
struct WatchSchedule
{
  /// Longest wait of one watch, unless the gap requires a little more.
  std::chrono::milliseconds m_longest;
  /// Time between the ends of two readers' watches.
  std::chrono::milliseconds m_gap;

  /// \returns How long a watch that begins now may wait.
  [[nodiscard]] std::chrono::milliseconds NextWait(
    WallTime aNow,
    ReaderPosition aReader) const noexcept;
};

}
