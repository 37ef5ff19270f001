#pragma once

#include <compare>
#include <cstdint>

namespace greengagehub {

/// \brief Number of an accepted configuration; 0 is the initial, empty one.
struct Version
{
  std::uint64_t m_number{ 0 };

  [[nodiscard]] auto operator<=>(const Version&) const noexcept = default;

  [[nodiscard]] constexpr Version Next() const noexcept
  {
    return Version{ m_number + 1 };
  }
};

}
