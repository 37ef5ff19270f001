#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace greengagehub {

/// \brief One start of a backend server. Its id alone does not tell: a backend
/// server that crashed may start again under the id that it had, and then holds
/// and knows nothing of before.
struct WorkerStart
{
  std::string m_id{};
  /// Time of day of its start as it tells itself. Nothing where only its id is
  /// known, as from its health check. The time of day may step back between two
  /// starts.
  std::optional<WallTime> m_born{};

  [[nodiscard]] bool operator==(const WorkerStart&) const = default;
};

/// \returns Whether both may be one start: the same id, and no two times of
/// start that differ.
[[nodiscard]] bool
MayBeSame(const WorkerStart& aLeft, const WorkerStart& aRight) noexcept;

/// \brief A short name of a start for news between daemons, which only ask
/// whether two are the same. 0 stands for a start that is not told.
using StartTag = std::uint32_t;

/// \returns Never 0.
[[nodiscard]] StartTag
TagOf(const WorkerStart& aStart);

}
