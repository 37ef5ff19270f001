#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace greengagehub {

/// \brief Class of calls with similar service time: the calls of one route.
struct CallKind
{
  constexpr CallKind() noexcept = default;
  /// \brief The kind of all calls with this target latency whose route is not
  /// known, such as calls from daemons of an earlier version.
  constexpr CallKind(std::chrono::milliseconds aTarget) noexcept
    : m_target(aTarget)
  {
  }
  constexpr CallKind(std::chrono::milliseconds aTarget,
                     std::uint64_t aRoute) noexcept
    : m_target(aTarget)
    , m_route(aRoute)
  {
  }

  std::chrono::milliseconds m_target{ 0 };
  /// Digest of the route's key, equal on all daemons; 0: not known.
  std::uint64_t m_route{ 0 };

  [[nodiscard]] auto operator<=>(const CallKind&) const noexcept = default;
};

}
