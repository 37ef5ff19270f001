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

/// \brief Returns the phase of a drain.
///
/// The phases balance two costs: work that a draining daemon declines is load
/// for the other daemons, and work that it accepts too late is lost when its
/// process ends.
///
/// \param aSince time since the drain started.
[[nodiscard]] LeavingStep
StepOfLeaving(Duration aSince) noexcept;

}
