#pragma once

#include <cstdint>

namespace greengagehub {

/// Unit of a workspace's weight; also the weight of one that states none.
inline constexpr std::uint32_t kUnitWeight = 1000;

/// \brief The workspace that a call is charged to.
struct CallShare
{
  /// 0: none is known.
  std::uint64_t m_workspace{ 0 };
  /// In thousandths; 0: none is known.
  std::uint32_t m_weight{ 0 };

  [[nodiscard]] bool operator==(const CallShare&) const noexcept = default;
};

/// \returns The weight in units; 1 if none is known.
[[nodiscard]] inline double
WeightInUnits(const CallShare& aShare) noexcept
{
  const std::uint32_t weight =
    aShare.m_weight > 0 ? aShare.m_weight : kUnitWeight;
  return static_cast<double>(weight) / kUnitWeight;
}

}
