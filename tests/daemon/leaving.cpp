#include "greengagehub/daemon/leaving.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

TEST_CASE("a request that a leaving daemon could not end is not taken")
{
  // Callers went on to come to a daemon 3.3 s after it was told to leave, as
  // most of its domain left with it. It took an export, which waited for 1.7 s
  // at a full worker elsewhere, and gave it up when its grace time ended, while
  // the worker ran it.
  CHECK_FALSE(StepOfLeaving(3300ms).m_takesCallers);
  // The platform needs two misses, a second apart, to notice.
  CHECK(StepOfLeaving(2500ms).m_takesCallers);
}

TEST_CASE("a leaving daemon's worker is left in time for its calls to end")
{
  CHECK(StepOfLeaving(1400ms).m_servesWorker);
  CHECK_FALSE(StepOfLeaving(1500ms).m_servesWorker);
}
