#include "greengagehub/daemon/leaving.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

TEST_CASE("callers that keep coming to a leaving daemon are served")
{
  // Two of a domain's three daemons leave at once. The platform takes callers
  // away only while half of a domain is in, so they go on to come; the daemon
  // closed its door after 2.9 s all the same, and 300 of them met a closed port
  // while it had three seconds left.
  CHECK(StepOfLeaving(3500ms, 2100ms, 20ms).m_takesCallers);
  CHECK(StepOfLeaving(4000ms, 1600ms, 250ms).m_takesCallers);
  // Nobody comes any more: the sooner it is back, the better.
  CHECK_FALSE(StepOfLeaving(2900ms, 2700ms, 400ms).m_takesCallers);
  // What came now might still be at work when the process is killed.
  CHECK_FALSE(StepOfLeaving(4200ms, 1400ms, 20ms).m_takesCallers);
  // The platform needs two misses, a second apart, to notice.
  CHECK(StepOfLeaving(2500ms, 3100ms, 2500ms).m_takesCallers);
}

TEST_CASE("a worker is not idle while its daemon waits for the last callers")
{
  // Daemons are stopped in turn for half a minute under high load. Each turned
  // calls away from its worker after 1.5 s of the 3 s that it stayed: a tenth
  // of the fleet's work, for half of the time.
  CHECK(StepOfLeaving(2500ms, 3100ms, 0ms).m_servesWorker);
  CHECK_FALSE(StepOfLeaving(2600ms, 3000ms, 0ms).m_servesWorker);
}
