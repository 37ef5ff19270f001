#pragma once

#include "greengagehub/core/clock.hpp"

namespace greengagehub {

/// \brief What a daemon that leaves a platform still does.
struct LeavingStep
{
  /// Starts calls at its worker.
  bool m_servesWorker{ true };
  /// Takes requests of callers.
  bool m_takesCallers{ true };
};

/// \brief Decides it at a moment of the grace time.
///
/// Answers the load pattern of daemons stopped in turn while load is high: what
/// a leaving daemon no longer does, the others must, and what it takes too late
/// is lost when it ends.
///
/// \param aSince since the daemon was told to leave.
[[nodiscard]] LeavingStep
StepOfLeaving(Duration aSince) noexcept;

}
