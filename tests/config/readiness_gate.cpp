#include "greengagehub/config/readiness_gate.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

TEST_CASE("one lagging peer is not enough to open")
{
  // A daemon restarts while the store is unavailable, and the first peer to
  // report is out of date. Guards against taking the slot back to version 1.
  ReadinessGate gate;
  gate.RecordPeer("paused", Version{ 1 }, Version{ 1 });
  gate.RecordJoined();
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 3));
  gate.RecordPeer("current", Version{ 3 }, Version{ 3 });
  gate.RecordPeer("other", Version{ 3 }, Version{ 0 });
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 3));
  CHECK(gate.IsOpen(Version{ 3 }, 3));
}

TEST_CASE("the gate requires the slot's last version even if peers are behind")
{
  ReadinessGate gate;
  gate.RecordJoined();
  gate.RecordPeer("a", Version{ 2 }, Version{ 5 });
  CHECK_FALSE(gate.IsOpen(Version{ 2 }, 1));
  CHECK(gate.IsOpen(Version{ 5 }, 1));
}

TEST_CASE("without peers, the store's version suffices")
{
  ReadinessGate gate;
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 0));
  gate.RecordStoreHead(Version{ 2 });
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 0));
  CHECK(gate.IsOpen(Version{ 2 }, 0));
}

TEST_CASE("with peers, the store's version does not suffice")
{
  // Guards against opening on a store that was restored from an old backup.
  ReadinessGate gate;
  gate.RecordStoreHead(Version{ 1 });
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 2));
}

TEST_CASE("an open gate stays open when newer versions are reported")
{
  ReadinessGate gate;
  gate.RecordStoreHead(Version{ 1 });
  REQUIRE(gate.IsOpen(Version{ 1 }, 0));
  gate.RecordPeer("a", Version{ 9 }, Version{ 0 });
  CHECK(gate.IsOpen(Version{ 1 }, 1));
}

TEST_CASE("without an accepted version the gate stays closed")
{
  ReadinessGate gate;
  gate.RecordStoreHead(Version{});
  CHECK_FALSE(gate.IsOpen(Version{}, 0));
}
