#include "testkit/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::testkit;

TEST_CASE(
  "a daemon keeps running on SIGHUP, with a valid settings file and with an "
  "invalid one")
{
  // Guards against a reload that ends the process: by the default action of
  // SIGHUP, or by a half-written settings file.
  Fleet fleet;
  fleet.Add({ .m_slot = "locker-app-1", .m_service = "locker-app" });
  REQUIRE(fleet.WaitForMembers());
  fleet.Daemon("locker-app-1").Signal(SIGHUP);
  CHECK(fleet.Status("locker-app-1").is_object());
  static_cast<void>(fleet.WriteFile("locker-app-1.toml", "[daemon\n"));
  fleet.Daemon("locker-app-1").Signal(SIGHUP);
  CHECK(fleet.Status("locker-app-1").is_object());
}
