#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace greengagehub {

/// \brief Random number generator, seeded by its owner for reproducible runs.
using Random = std::mt19937_64;

/// \returns A uniform number in [0, aBound); 0 if aBound is 0.
[[nodiscard]] std::uint64_t
Below(Random& aRandom, std::uint64_t aBound);

/// \returns A uniform duration in [aBase / 2, aBase], to desynchronize timers.
[[nodiscard]] std::chrono::milliseconds
Jittered(Random& aRandom, std::chrono::milliseconds aBase);

}
