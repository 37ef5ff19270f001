#include "greengagehub/membership/watch_schedule.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr WatchSchedule kSchedule{ .m_longest = 5s, .m_gap = 800ms };
constexpr WallTime kNoon{ std::chrono::hours{ 12 } };

/// \returns When the watches of all readers end in 20 s after a change at
/// `aChange` ended them all together.
std::vector<WallTime>
EndsAfter(WallTime aChange, std::size_t aReaders)
{
  std::vector<WallTime> ends{ aChange };
  for (std::size_t i = 0; i < aReaders; ++i) {
    WallTime now = aChange;
    while (now < aChange + 20s) {
      now += kSchedule.NextWait(now, { i, aReaders });
      ends.push_back(now);
    }
  }
  std::sort(ends.begin(), ends.end());
  return ends;
}

}

TEST_CASE("readers whose watches ended together do not end together again")
{
  // Guards against watches that all go silent at once and that no daemon
  // notices before the longest wait is over.
  constexpr auto kLongestGap = 1000ms;
  for (const std::size_t readers : { 1, 2, 3, 4, 6, 8, 10, 24 }) {
    for (auto offset = 0ms; offset < 5s; offset += 130ms) {
      const auto ends = EndsAfter(kNoon + offset, readers);
      CAPTURE(readers);
      CAPTURE(offset.count());
      for (std::size_t i = 1; i < ends.size(); ++i) {
        if (ends[i] > kNoon + offset + 20s) {
          break;
        }
        CHECK(ends[i] - ends[i - 1] <= kLongestGap);
      }
    }
  }
}

TEST_CASE("many readers make no more calls than with the longest wait alone, "
          "but for those that a change ended")
{
  // Guards against calls to the store that grow with the readers.
  constexpr std::size_t kReaders = 24;
  const auto ends = EndsAfter(kNoon, kReaders);
  constexpr std::size_t kWatchesEach = 20 / 5;
  constexpr std::size_t kPhases = 6;
  CHECK(ends.size() <= kReaders * (kWatchesEach + 1) + kPhases + 1);
}

TEST_CASE("a gap above the longest wait is limited to it")
{
  const WatchSchedule schedule{ .m_longest = 500ms, .m_gap = 800ms };
  for (auto offset = 0ms; offset < 1s; offset += 70ms) {
    const auto wait = schedule.NextWait(kNoon + offset, {});
    CHECK(wait >= 125ms);
    CHECK(wait <= 625ms);
  }
}

TEST_CASE("a gap of no length does not make calls without end")
{
  // Guards against a setting that is too short to be divided.
  const WatchSchedule schedule{ .m_longest = 5s, .m_gap = 0ms };
  CHECK(schedule.NextWait(kNoon, { 0, 1 }) >= 25ms);
  const WatchSchedule shortest{ .m_longest = 1ms, .m_gap = 0ms };
  CHECK(shortest.NextWait(kNoon, { 0, 1 }) >= 1ms);
}
