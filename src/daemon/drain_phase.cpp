#include "greengagehub/daemon/drain_phase.hpp"

namespace greengagehub {

namespace {

/// No run starts later; started runs have until kAcceptTime to finish.
constexpr auto kRunStartTime = std::chrono::milliseconds{ 1500 };
/// The platform probes readiness once a second and redirects callers after two
/// failed probes. Requests accepted later may not finish in the grace time.
constexpr auto kAcceptTime = std::chrono::milliseconds{ 2900 };

}

DrainPhase
DrainPhaseAt(Duration aSince) noexcept
{
  return { aSince < kRunStartTime, aSince < kAcceptTime };
}

}
