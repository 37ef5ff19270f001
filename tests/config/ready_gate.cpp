#include "greengagehub/config/ready_gate.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

TEST_CASE("one lagging peer is not enough to open")
{
  // A daemon restarts while the store is away. The first peer it hears was
  // paused and is two versions behind. Opening on its word would take this
  // slot from version 3 back to 1.
  ReadyGate gate;
  gate.HeardPeer("paused", Version{ 1 }, Version{ 1 });
  gate.Joined();
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 3));
  gate.HeardPeer("current", Version{ 3 }, Version{ 3 });
  gate.HeardPeer("other", Version{ 3 }, Version{ 0 });
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 3));
  CHECK(gate.IsOpen(Version{ 3 }, 3));
}

TEST_CASE("what the slot ran is a floor, even where peers run less")
{
  ReadyGate gate;
  gate.Joined();
  gate.HeardPeer("a", Version{ 2 }, Version{ 5 });
  CHECK_FALSE(gate.IsOpen(Version{ 2 }, 1));
  CHECK(gate.IsOpen(Version{ 5 }, 1));
}

TEST_CASE("the store's word is enough for the first daemon")
{
  ReadyGate gate;
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 0));
  gate.HeardStore(Version{ 2 });
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 0));
  CHECK(gate.IsOpen(Version{ 2 }, 0));
}

TEST_CASE("the store's word is not enough where there are peers")
{
  // The store was restored from a backup of version 1, the fleet runs 3. A
  // daemon that restarts must ask its peers.
  ReadyGate gate;
  gate.HeardStore(Version{ 1 });
  CHECK_FALSE(gate.IsOpen(Version{ 1 }, 2));
}

TEST_CASE("an open daemon stays open when newer versions are heard of")
{
  ReadyGate gate;
  gate.HeardStore(Version{ 1 });
  REQUIRE(gate.IsOpen(Version{ 1 }, 0));
  gate.HeardPeer("a", Version{ 9 }, Version{ 0 });
  CHECK(gate.IsOpen(Version{ 1 }, 1));
}

TEST_CASE("without any accepted version a daemon is not ready")
{
  ReadyGate gate;
  gate.HeardStore(Version{});
  CHECK_FALSE(gate.IsOpen(Version{}, 0));
}
