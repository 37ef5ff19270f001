#include "unequal_fleet.hpp"

#include <doctest/doctest.h>

// Many daemons with little processor time, and workers of unequal speed.

using namespace greengagehub;
using namespace greengagehub::test;

TEST_CASE("with unequal workers at 0.8 of capacity, at most 1.2 times as many "
          "calls are late as with one shared queue")
{
  // Guards against calls that wait at slow workers while faster ones idle.
  const FleetResult placed = ReplayFleet({});
  const FleetResult shared =
    ReplayFleet({ .m_queueing = ReplayQueueing::Shared });
  MESSAGE("late: " << placed.Missed() << " placed, " << shared.Missed()
                   << " shared; messages a call: " << placed.Messages());
  CHECK(placed.Missed() <= 1.2 * shared.Missed());
  CHECK(placed.Messages() < 4.0);
}

TEST_CASE("calls avoid workers whose daemons are slow to pass messages")
{
  // Guards against a fast worker that attracts calls which then wait unseen in
  // front of its daemon.
  FleetSetup setup;
  setup.m_messageTime = 1500us;
  setup.m_countFrom = 5s;
  const double counting = ReplayKind(setup, 0).Missed();
  setup.m_decisions.m_countsTransit = false;
  const double ignoring = ReplayKind(setup, 0).Missed();
  MESSAGE("late: " << counting << " counting transit times, " << ignoring
                   << " ignoring them");
  CHECK(counting < ignoring / 4);
  CHECK(counting < 0.05);
}
