#include "greengagehub/daemon/leaving.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

TEST_CASE("a draining daemon stops accepting requests it could not finish")
{
  // Guards against calls that are abandoned when the grace time ends while a
  // worker still runs them.
  CHECK_FALSE(StepOfLeaving(3300ms).m_takesCallers);
  // The platform redirects callers after two failed probes, a second apart.
  CHECK(StepOfLeaving(2500ms).m_takesCallers);
}

TEST_CASE("a draining daemon stops starting runs early enough to finish them")
{
  CHECK(StepOfLeaving(1400ms).m_servesWorker);
  CHECK_FALSE(StepOfLeaving(1500ms).m_servesWorker);
}
