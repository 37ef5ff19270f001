#pragma once

#include <chrono>

namespace greengagehub {

/// \brief Monotonic clock. Logic receives time points as arguments.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// \brief Wall-clock time, for records and display only.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

}
