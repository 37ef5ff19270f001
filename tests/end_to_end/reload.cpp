#include "testkit/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::testkit;

TEST_CASE(
  "a daemon told that its settings changed goes on, with a good file and "
  "with a bad one")
{
  // The platform rewrites the settings file and sends SIGHUP. The default
  // action of the signal ends the process with all calls on it, and a file
  // that is half written must not do so either.
  Fleet fleet;
  fleet.Add({ .m_slot = "locker-app-1", .m_service = "locker-app" });
  REQUIRE(fleet.WaitForMembers());
  fleet.Daemon("locker-app-1").Signal(SIGHUP);
  CHECK(fleet.Status("locker-app-1").is_object());
  static_cast<void>(fleet.WriteFile("locker-app-1.toml", "[daemon\n"));
  fleet.Daemon("locker-app-1").Signal(SIGHUP);
  CHECK(fleet.Status("locker-app-1").is_object());
}
