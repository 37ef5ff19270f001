#pragma once

#include <chrono>

namespace greengagehub {

/// \brief Monotonic clock used by all decision logic; always passed in.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// \brief Wall time, only ever shown to people and recorded with decisions.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

}
