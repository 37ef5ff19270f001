#pragma once

#include <cstdint>

namespace greengagehub::testkit {

/// \returns Whether a bad version got at most a tenth of a service's runs, plus
/// fifty.
[[nodiscard]] constexpr bool
IsExposureBounded(std::uint64_t aRuns, std::uint64_t aTotalRuns) noexcept
{
  constexpr std::uint64_t kDivisor = 10;
  constexpr std::uint64_t kSlack = 50;
  return aRuns <= aTotalRuns / kDivisor + kSlack;
}

static_assert(IsExposureBounded(150, 1000));
static_assert(!IsExposureBounded(151, 1000));

}
