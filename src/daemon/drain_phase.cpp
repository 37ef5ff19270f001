#include "greengagehub/daemon/drain_phase.hpp"

namespace greengagehub {

namespace {

/// No run starts later; started runs have until kAcceptTime to finish.
constexpr auto kRunStartTime = std::chrono::milliseconds{ 1500 };
/// The platform probes readiness once a second and redirects callers after two
/// failed probes, and another request may be in transit by then. Requests
/// accepted after 3 s may not finish in the grace time: waits of 1.7 s at a
/// worker were seen.
constexpr auto kAcceptTime = std::chrono::milliseconds{ 2900 };

}

DrainPhase
DrainPhaseAt(Duration aSince) noexcept
{
  return { aSince < kRunStartTime, aSince < kAcceptTime };
}

}
