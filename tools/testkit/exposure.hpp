#pragma once

#include <cstdint>

namespace greengagehub::testkit {

/// \returns Whether a bad version got no more of a service's runs than it may:
/// a tenth, and fifty.
[[nodiscard]] constexpr bool
IsExposureBounded(std::uint64_t aRuns, std::uint64_t aOfAll) noexcept
{
  constexpr std::uint64_t kShare = 10;
  constexpr std::uint64_t kSlack = 50;
  return aRuns <= aOfAll / kShare + kSlack;
}

static_assert(IsExposureBounded(150, 1000));
static_assert(!IsExposureBounded(151, 1000));

}
