#include "greengagehub/daemon/leaving.hpp"

namespace greengagehub {

namespace {

/// How long a leaving daemon starts calls at its worker, which mostly runs on.
/// Half of the usual grace time is left for them to end.
constexpr auto kServesWorker = std::chrono::milliseconds{ 2600 };
/// How long it takes requests at least. The platform asks for readiness once a
/// second and takes callers away after two misses, and a caller may be under
/// way with its next request by then.
constexpr auto kTakesCallers = std::chrono::milliseconds{ 2900 };
/// Callers are gone when none has come for this long: where only those of one
/// machine come, they do so some ten times a second.
constexpr auto kQuiet = std::chrono::milliseconds{ 300 };
/// What comes later might not be answered before the end: the time that the
/// slowest kinds of call may take, with one try that was refused.
constexpr auto kLastCalls = std::chrono::milliseconds{ 1500 };

}

LeavingStep
StepOfLeaving(Duration aSince, Duration aLeft, Duration aQuiet) noexcept
{
  // Where most of a failure domain leaves, its callers come to the end.
  const bool stillCome = aQuiet < kQuiet && aLeft > kLastCalls;
  return { aSince < kServesWorker, aSince < kTakesCallers || stillCome };
}

}
