#pragma once

#include "greengagehub/core/clock.hpp"

namespace greengagehub {

/// \brief Work that a draining daemon on a platform still accepts.
struct DrainPhase
{
  bool m_startsRuns{ true };
  bool m_acceptsRequests{ true };
};

/// \brief Returns the phase of a drain: work declined early is load for other
/// daemons, work accepted late is lost when the process exits.
/// \param aSince time since the drain started.
[[nodiscard]] DrainPhase
DrainPhaseAt(Duration aSince) noexcept;

}
