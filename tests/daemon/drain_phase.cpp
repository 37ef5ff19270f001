#include "greengagehub/daemon/drain_phase.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

TEST_CASE("a draining daemon stops accepting requests it could not finish")
{
  // Guards against calls that are abandoned when the grace time ends while a
  // worker still runs them.
  CHECK_FALSE(DrainPhaseAt(3300ms).m_acceptsRequests);
  // The platform redirects callers after two failed probes, a second apart.
  CHECK(DrainPhaseAt(2500ms).m_acceptsRequests);
}

TEST_CASE("a draining daemon stops starting runs early enough to finish them")
{
  CHECK(DrainPhaseAt(1400ms).m_startsRuns);
  CHECK_FALSE(DrainPhaseAt(1500ms).m_startsRuns);
}
