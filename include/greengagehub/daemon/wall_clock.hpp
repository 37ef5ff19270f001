#pragma once

#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <ctime>

namespace greengagehub {

/// \returns The time of day in nanoseconds, for spans.
[[nodiscard]] inline std::chrono::sys_time<std::chrono::nanoseconds>
WallNanos()
{
  return std::chrono::time_point_cast<std::chrono::nanoseconds>(
    std::chrono::system_clock::now());
}

/// \returns Time since the machine started. Unlike the steady clock it includes
/// suspensions of the machine.
[[nodiscard]] inline std::chrono::nanoseconds
BootTime()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return std::chrono::seconds{ now.tv_sec } +
         std::chrono::nanoseconds{ now.tv_nsec };
}

/// \returns BootTime() as a time point, for deadlines that include suspensions
/// of the machine.
[[nodiscard]] inline TimePoint
BootNow()
{
  return TimePoint{ std::chrono::duration_cast<Duration>(BootTime()) };
}

/// \returns The time of day in milliseconds, for records and logs.
[[nodiscard]] inline WallTime
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

}
