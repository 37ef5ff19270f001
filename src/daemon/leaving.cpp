#include "greengagehub/daemon/leaving.hpp"

namespace greengagehub {

namespace {

/// How long a leaving daemon starts calls at its worker, which mostly runs on:
/// the rest of the time until it takes no callers is enough for them to end.
constexpr auto kServesWorker = std::chrono::milliseconds{ 1500 };
/// How long it takes requests. The platform asks for readiness once a second
/// and takes callers away after two misses, and a caller may be under way with
/// its next request by then. What it takes later than 3 s it must end within
/// the grace time, however long that waits at a worker: seen with 1.7 s.
constexpr auto kTakesCallers = std::chrono::milliseconds{ 2900 };

}

LeavingStep
StepOfLeaving(Duration aSince) noexcept
{
  return { aSince < kServesWorker, aSince < kTakesCallers };
}

}
