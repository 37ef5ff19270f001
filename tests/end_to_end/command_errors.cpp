#include "testkit/fleet.hpp"

#include <doctest/doctest.h>

using namespace greengagehub::testkit;

TEST_CASE("a command reports an answer that is an error")
{
  // Guards against an error that is shown as a daemon without limits, quotas or
  // versions.
  Fleet fleet;
  fleet.Add({ .m_slot = "app-1", .m_service = "app" });
  REQUIRE(fleet.WaitForMembers());
  // Callers' requests are answered with 404 or 503 there, in JSON.
  const std::string url = fleet.CallsUrl("app-1");
  for (const char* command :
       { "limits", "quotas", "shares", "version", "status" }) {
    CAPTURE(command);
    const CommandResult result = fleet.CommandTo(url, { command });
    CHECK(result.m_exitCode == 4);
    CHECK(result.m_output.find(url) != std::string::npos);
    CHECK(result.m_output.find("got status ") != std::string::npos);
  }
}
