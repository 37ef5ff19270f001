#pragma once

#include "greengagehub/core/clock.hpp"

#include <asio/io_context.hpp>

namespace greengagehub {

/// \brief Runs a loop until a condition is true, for 10 s at most.
template<class Condition>
[[nodiscard]] bool
RunUntil(asio::io_context& aLoop, Condition aCondition)
{
  const TimePoint limit = Clock::now() + std::chrono::seconds{ 10 };
  while (!aCondition() && Clock::now() < limit) {
    aLoop.run_one_for(std::chrono::milliseconds{ 20 });
  }
  return aCondition();
}

}
