#pragma once

#include "greengagehub/core/clock.hpp"

#include <chrono>

namespace greengagehub {

/// \returns The time of day in nanoseconds, for spans.
[[nodiscard]] inline std::chrono::sys_time<std::chrono::nanoseconds>
WallNanos()
{
  return std::chrono::time_point_cast<std::chrono::nanoseconds>(
    std::chrono::system_clock::now());
}

/// \returns The time of day in milliseconds, for records and logs.
[[nodiscard]] inline WallTime
WallNow()
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
}

}
