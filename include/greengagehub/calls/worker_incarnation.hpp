#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace greengagehub {

/// \brief One incarnation of a backend server: a process from start to exit. A
/// restarted backend server may keep its ID, but has lost all earlier state.
struct WorkerIncarnation
{
  std::string m_id{};
  /// Wall clock time of the start as the backend server reports it; not
  /// monotonic. Empty where only the ID is known, as from a health check.
  std::optional<WallTime> m_startedAt{};

  [[nodiscard]] bool operator==(const WorkerIncarnation&) const = default;
};

/// \returns Whether both may be the same incarnation: equal IDs, and equal
/// start times if both have one.
[[nodiscard]] bool
MayBeSame(const WorkerIncarnation& aLeft,
          const WorkerIncarnation& aRight) noexcept;

/// \brief Short hash of an incarnation that daemons compare for equality; 0:
/// not known.
using IncarnationTag = std::uint32_t;

/// \returns Never 0.
[[nodiscard]] IncarnationTag
TagOf(const WorkerIncarnation& aIncarnation);

/// \returns The tag of all incarnations with this ID.
[[nodiscard]] inline IncarnationTag
IdTagOf(const std::string& aId)
{
  return TagOf({ aId, std::nullopt });
}

}
