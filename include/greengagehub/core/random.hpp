#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace greengagehub {

/// \brief Random source of the decision logic; seeded and owned by the caller,
/// so that a replay with the same seed takes the same steps.
using Random = std::mt19937_64;

/// \returns A number in [0, aBound); 0 when aBound is 0.
[[nodiscard]] std::uint64_t
Below(Random& aRandom, std::uint64_t aBound);

/// \returns A span in [aBase / 2, aBase], so that equal timers drift apart.
[[nodiscard]] std::chrono::milliseconds
Jittered(Random& aRandom, std::chrono::milliseconds aBase);

}
