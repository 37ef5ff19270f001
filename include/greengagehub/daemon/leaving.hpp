#pragma once

#include "greengagehub/core/clock.hpp"

namespace greengagehub {

/// \brief Work that a draining daemon on a platform still accepts.
struct LeavingStep
{
  /// Starts runs at its worker.
  bool m_servesWorker{ true };
  /// Accepts requests from callers.
  bool m_takesCallers{ true };
};

/// \brief Returns the phase of a drain: work declined early is load for other
/// daemons, work accepted late is lost when the process exits.
/// \param aSince time since the drain started.
[[nodiscard]] LeavingStep
StepOfLeaving(Duration aSince) noexcept;

}
