#include "greengagehub/daemon/drain_phase.hpp"

namespace greengagehub {

namespace {

/// Runs are started for this long; the time up to the end of kAcceptTime is
/// left for them to finish.
constexpr auto kRunStartTime = std::chrono::milliseconds{ 1500 };
/// Requests are accepted for this long. The platform probes readiness once a
/// second and redirects callers after two failed probes. A request accepted
/// much later may not finish within the grace time.
constexpr auto kAcceptTime = std::chrono::milliseconds{ 2900 };

}

DrainPhase
DrainPhaseAt(Duration aSince) noexcept
{
  return { aSince < kRunStartTime, aSince < kAcceptTime };
}

}
