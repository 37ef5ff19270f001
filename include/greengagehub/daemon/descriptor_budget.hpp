#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace greengagehub {

/// \brief Descriptors of a daemon, of which the connections of callers may use
/// what the rest of it leaves.
struct DescriptorBudget
{
  /// Files, pipes and timers.
  static constexpr std::size_t kFiles = 200;
  /// Connections of each of the endpoints that do not serve callers.
  static constexpr std::size_t kMaxControlConnections = 64;
  /// Control endpoints, the store, gossip and pulls.
  static constexpr std::size_t kControl = 4 * kMaxControlConnections;
  /// Share of all that is kept for links opened between two checks.
  static constexpr std::size_t kHeadroomDivisor = 8;
  static constexpr std::size_t kMinCallers = 16;

  /// Descriptors that the process may open.
  std::size_t m_limit{ 0 };
  std::size_t m_workerConnections{ 0 };

  /// \param aLinks open in both directions.
  [[nodiscard]] constexpr std::size_t MaxCallers(
    std::size_t aLinks) const noexcept
  {
    const std::size_t others = kFiles + kControl + m_limit / kHeadroomDivisor +
                               m_workerConnections + aLinks;
    return m_limit > others ? std::max(m_limit - others, kMinCallers)
                            : kMinCallers;
  }
};

/// \brief Operations that failed for lack of a descriptor, since start.
struct DescriptorFailures
{
  std::uint64_t m_callers{ 0 };
  std::uint64_t m_links{ 0 };
  std::uint64_t m_pulls{ 0 };

  [[nodiscard]] friend bool operator==(const DescriptorFailures&,
                                       const DescriptorFailures&) = default;
};

}
