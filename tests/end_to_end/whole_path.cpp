#include "testkit/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr const char* kPatch = R"({
  "services":{"locker-app":{},"ledger":{}},
  "routes":{"release":{"path":"/release","service":"locker-app",
                       "idempotent":false},
            "compartments":{"path":"/compartments","service":"ledger"}}})";

std::string
SubmitPath(const std::string& aId, std::uint64_t aBase)
{
  return "/v1/patches?id=" + aId + "&base=" + std::to_string(aBase);
}

}

TEST_CASE("calls follow the routes of an accepted patch through the loss of a "
          "daemon and of the store")
{
  // During the outage calls must still be routed and patches answered with 503;
  // after it every daemon must reach the newest version.
  Fleet fleet;
  for (const char* slot : { "locker-app-1", "locker-app-2", "locker-app-3" }) {
    fleet.Add({ .m_slot = slot, .m_service = "locker-app" });
  }
  fleet.Add(
    { .m_slot = "ledger-1", .m_service = "ledger", .m_domain = "kista" });
  REQUIRE(fleet.WaitForMembers());

  const std::string file = fleet.WriteFile("patch.json", kPatch);
  const CommandResult submitted = fleet.Command(
    "ledger-1", { "submit", file, "--base", "0", "--id", "first" });
  CHECK(submitted.m_exitCode == 0);
  REQUIRE(fleet.WaitForVersion(1));
  CHECK(fleet.Call("ledger-1", "POST", "/release").Status() == 200);
  CHECK(fleet.Call("locker-app-1", "GET", "/compartments").Status() == 200);

  const CallResult stale =
    fleet.CallOperatorsApi("locker-app-1", "POST", SubmitPath("late", 0), "{}");
  CHECK(stale.Status() == 409);
  CHECK(stale.Json()["reasons"][0]["code"] == "stale-base");

  // The same patch under a new id, rebased onto the current version.
  const CommandResult rebased = fleet.Command(
    "ledger-1",
    { "submit", file, "--base", "0", "--rebase", "--id", "rebased" });
  CHECK(rebased.m_exitCode == 0);
  CHECK(rebased.m_output.find("from version 0 to 1") != std::string::npos);
  REQUIRE(fleet.WaitForVersion(2));

  fleet.Daemon("locker-app-3").Kill();
  fleet.SetStoreFaults({ { "outage", "refuse" } });
  CHECK(
    fleet.CallOperatorsApi("locker-app-1", "POST", SubmitPath("away", 2), "{}")
      .Status() == 503);
  for (int i = 0; i < 20; ++i) {
    const CallResult call = fleet.Call("ledger-1", "GET", "/release");
    CHECK(call.Status() == 200);
  }

  fleet.SetStoreFaults({ { "outage", "none" } });
  CHECK(fleet
          .CallOperatorsApi(
            "locker-app-1",
            "POST",
            SubmitPath("second", 2),
            R"({"routes":{"more":{"path":"/more","service":"ledger"}}})")
          .Status() == 200);
  fleet.Restart("locker-app-3");
  CHECK(fleet.WaitForVersion(3));
  CHECK(fleet.Call("locker-app-3", "GET", "/more").Status() == 200);
  CHECK(fleet.CallOperatorsApi("locker-app-3", "GET", "/v1/patches/late")
          .Json()["reasons"][0]["code"] == "stale-base");
}
