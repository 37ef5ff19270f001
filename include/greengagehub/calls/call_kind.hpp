#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace greengagehub {

/// \brief Calls that take alike: those of one route.
struct CallKind
{
  constexpr CallKind() noexcept = default;
  /// \brief All calls of a target, where their route is not told: by daemons
  /// of an earlier version, and while a route is new.
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

  /// Target latency of the route.
  std::chrono::milliseconds m_target{ 0 };
  /// Digest of the route's key, the same on every daemon; 0: not told.
  std::uint64_t m_route{ 0 };

  [[nodiscard]] auto operator<=>(const CallKind&) const noexcept = default;
};

}
