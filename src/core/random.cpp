#include "greengagehub/core/random.hpp"

namespace greengagehub {

std::uint64_t
Below(Random& aRandom, std::uint64_t aBound)
{
  if (aBound == 0) {
    return 0;
  }
  return std::uniform_int_distribution<std::uint64_t>{ 0, aBound - 1 }(aRandom);
}

std::chrono::milliseconds
Jittered(Random& aRandom, std::chrono::milliseconds aBase)
{
  const auto half = aBase.count() / 2;
  const auto extra = Below(aRandom, static_cast<std::uint64_t>(half) + 1);
  return std::chrono::milliseconds{ aBase.count() - half +
                                    static_cast<std::int64_t>(extra) };
}

}
