#include "testkit/fleet.hpp"

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/digest.hpp"

#include <cmath>
#include <csignal>
#include <doctest/doctest.h>

// Workspaces where configurations come from operators' patches, not from a
// platform.

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds kBound{ 1500 };

Json
WorkspaceWith(const std::vector<std::string>& aKeys, double aPerSecond = 0.0)
{
  Json digests = Json::array();
  for (const std::string& each : aKeys) {
    digests.push_back(ToHex(Sha256(each)));
  }
  return { { "keys", digests },
           { "per_second", aPerSecond },
           { "burst", aPerSecond } };
}

std::string
PatchWith(const Json& aWorkspaces)
{
  return Json{ { "workspaces", aWorkspaces } }.dump();
}

void
StartFleet(Fleet& aFleet,
           int aCount,
           const Json& aWorkspaces,
           std::chrono::milliseconds aBound = kBound)
{
  for (int i = 1; i <= aCount; ++i) {
    aFleet.Add({ .m_slot = "lockers-" + std::to_string(i),
                 .m_service = "lockers",
                 .m_settings = "[workspaces]\nrevoke_within_ms = " +
                               std::to_string(aBound.count()) + "\n" });
  }
  REQUIRE(aFleet.WaitForMembers());
  Json patch = Json::parse(R"({
    "services": { "lockers": {} },
    "routes": {
      "status": { "path": "/status", "service": "lockers" },
      "open": { "path": "/open", "service": "lockers", "public": true } } })");
  patch["workspaces"] = aWorkspaces;
  REQUIRE(aFleet.SubmitPatch("lockers-1", "first", 0, patch.dump()));
  REQUIRE(aFleet.WaitForVersion(1));
}

int
Send(const Fleet& aFleet,
     const std::string& aSlot,
     const std::string& aTarget,
     const std::string& aId,
     const std::string& aKey)
{
  std::vector<HttpHeader> headers{ { "X-Request-Id", aId },
                                   { "Greengagehub-Workspace", "forged" } };
  if (!aKey.empty()) {
    headers.push_back({ "Greengagehub-Key", aKey });
  }
  return aFleet.Call(aSlot, "GET", aTarget, std::move(headers)).Status();
}

void
WaitUntilServed(const Fleet& aFleet,
                const std::string& aSlot,
                const std::string& aKey)
{
  CAPTURE(aSlot);
  REQUIRE(WaitUntil(
    [&] { return Send(aFleet, aSlot, "/status", "served", aKey) == 200; }));
}

/// \returns Slot of the coordinator; empty if none is known.
std::string
CoordinatorOf(const Fleet& aFleet, const std::string& aAsked)
{
  const Json status = aFleet.Status(aAsked);
  return status.is_object() ? status["workspaces"].value("coordinator", "")
                            : std::string{};
}

bool
HasLogged(Fleet& aFleet, const char* aEvent)
{
  for (const std::string& each : aFleet.Slots()) {
    if (aFleet.Daemon(each).Log().find(aEvent) != std::string::npos) {
      return true;
    }
  }
  return false;
}

}

TEST_CASE("a key of an accepted patch is served at every daemon")
{
  // Guards against freshness proofs that only the platform's configuration
  // renews: every keyed call was rejected with 503.
  Fleet fleet;
  std::chrono::milliseconds bound{ 5000 };
  SUBCASE("with a bound on revocations") {}
  SUBCASE("without a bound")
  {
    bound = {};
  }
  StartFleet(
    fleet, 3, { { "first", WorkspaceWith({ "k1", "k2" }, 50) } }, bound);
  for (const std::string& each : fleet.Slots()) {
    WaitUntilServed(fleet, each, "k2");
    CHECK(Send(fleet, each, "/status", "unknown", "other") == 401);
    CHECK(Send(fleet, each, "/status", "none", "") == 401);
    CHECK(Send(fleet, each, "/open", "open", "") == 200);
    CHECK(Send(fleet, each, "/open", "open", "k1") == 200);
  }
  RunCounts runs = fleet.AllRuns();
  CHECK(runs["unknown"] == 0);
  CHECK(runs["none"] == 0);
  Json workspaces = Json::object();
  for (const std::string& each : fleet.Slots()) {
    const Json seen = fleet.Runs(each);
    CHECK(seen["keys_seen"] == 0);
    workspaces.update(seen["workspaces"]);
  }
  INFO(workspaces.dump());
  CHECK(workspaces.contains("first"));
  CHECK(workspaces.contains(""));
  CHECK(workspaces.size() == 2);
}

TEST_CASE("a daemon alone checks keys and quotas")
{
  Fleet fleet;
  StartFleet(fleet, 1, { { "first", WorkspaceWith({ "k1" }, 5) } });
  WaitUntilServed(fleet, "lockers-1", "k1");
  CHECK(WaitUntil(
    [&] { return Send(fleet, "lockers-1", "/status", "flood", "k1") == 429; }));
  CHECK(Send(fleet, "lockers-1", "/status", "unknown", "other") == 401);
}

TEST_CASE("a key that a patch revokes is rejected by a daemon that is cut off")
{
  // The daemon is paused during the revocation and resumes without store or
  // peers.
  Fleet fleet;
  StartFleet(fleet, 2, { { "first", WorkspaceWith({ "k1", "k2" }) } });
  WaitUntilServed(fleet, "lockers-1", "k1");
  WaitUntilServed(fleet, "lockers-2", "k1");
  fleet.Daemon("lockers-2").Signal(SIGSTOP);
  REQUIRE(
    fleet.SubmitPatch("lockers-1",
                      "revoke",
                      1,
                      PatchWith({ { "first", WorkspaceWith({ "k2" }) } })));
  const auto revokedAt = Clock::now();
  CHECK(WaitUntil(
    [&] { return Send(fleet, "lockers-1", "/status", "soon", "k1") == 401; }));
  REQUIRE(WaitUntil([&] { return Clock::now() - revokedAt > kBound; }));
  fleet.SetStoreFaults({ { "outage", "refuse" } });
  fleet.Daemon("lockers-1").Signal(SIGSTOP);
  fleet.Daemon("lockers-2").Signal(SIGCONT);
  for (int i = 0; i < 5; ++i) {
    const std::string id = "late-" + std::to_string(i);
    const int status = Send(fleet, "lockers-2", "/status", id, "k1");
    CHECK((status == 503 || status == 401));
    CHECK(fleet.AllRuns()[id] == 0);
  }
  CHECK(WaitUntil(
    [&] { return Send(fleet, "lockers-2", "/open", "open", "") == 200; }));
  fleet.SetStoreFaults({ { "outage", "none" } });
  fleet.Daemon("lockers-1").Signal(SIGCONT);
  WaitUntilServed(fleet, "lockers-2", "k2");
  CHECK(Send(fleet, "lockers-2", "/status", "later", "k1") == 401);
}

TEST_CASE("a daemon without store and peers rejects every key after the bound")
{
  Fleet fleet;
  StartFleet(fleet, 2, { { "first", WorkspaceWith({ "k1" }) } });
  WaitUntilServed(fleet, "lockers-2", "k1");
  fleet.Daemon("lockers-1").Signal(SIGSTOP);
  fleet.SetStoreFaults({ { "outage", "refuse" } });
  CHECK(WaitUntil([&] {
    return Send(fleet, "lockers-2", "/status", "cut-off", "k1") == 503;
  }));
  fleet.SetStoreFaults({ { "outage", "none" } });
  // The store alone is enough for a proof.
  WaitUntilServed(fleet, "lockers-2", "k1");
  fleet.Daemon("lockers-1").Signal(SIGCONT);
}

TEST_CASE("without a bound a revoked key is rejected where the version is in "
          "force")
{
  Fleet fleet;
  StartFleet(fleet, 3, { { "first", WorkspaceWith({ "k1", "k2" }) } }, {});
  for (const std::string& each : fleet.Slots()) {
    WaitUntilServed(fleet, each, "k1");
  }
  fleet.Daemon("lockers-3").Signal(SIGSTOP);
  REQUIRE(
    fleet.SubmitPatch("lockers-2",
                      "revoke",
                      1,
                      PatchWith({ { "first", WorkspaceWith({ "k2" }) } })));
  for (const char* slot : { "lockers-1", "lockers-2" }) {
    REQUIRE(WaitUntil([&] { return fleet.VersionAt(slot) == 2; }));
    CHECK(Send(fleet, slot, "/status", "revoked", "k1") == 401);
  }
  fleet.Daemon("lockers-3").Signal(SIGCONT);
  REQUIRE(fleet.WaitForVersion(2));
  for (const std::string& each : fleet.Slots()) {
    CHECK(Send(fleet, each, "/status", "revoked", "k1") == 401);
    WaitUntilServed(fleet, each, "k2");
  }
  CHECK(fleet.AllRuns()["revoked"] == 0);
}

TEST_CASE("without a platform a quota holds across all daemons")
{
  Fleet fleet;
  StartFleet(fleet,
             3,
             { { "large", WorkspaceWith({ "k1" }) },
               { "small", WorkspaceWith({ "k2" }, 4) } });
  for (const std::string& each : fleet.Slots()) {
    WaitUntilServed(fleet, each, "k1");
  }
  WaitUntilServed(fleet, "lockers-1", "k2");
  // Limit in any five seconds: (4 per second * 5 + burst of 4), plus 10% and 20
  // calls of tolerance.
  const auto start = Clock::now();
  int ran = 0;
  int rejected = 0;
  for (int i = 0; i < 300; ++i) {
    const int status = Send(fleet,
                            "lockers-" + std::to_string(1 + i % 3),
                            "/status",
                            "q" + std::to_string(i),
                            "k2");
    ran += status == 200 ? 1 : 0;
    rejected += status == 429 ? 1 : 0;
  }
  const std::chrono::duration<double> taken = Clock::now() - start;
  const double windows = std::ceil(taken.count() / 5.0);
  CHECK(ran <= 46 * windows);
  CHECK(rejected > 0);
  CHECK(ran + rejected == 300);
  CHECK(Send(fleet, "lockers-2", "/status", "other", "k1") == 200);
}

TEST_CASE("keys and quotas outlive the coordinator without a platform")
{
  Fleet fleet;
  StartFleet(fleet, 3, { { "first", WorkspaceWith({ "k1" }, 20) } });
  for (const std::string& each : fleet.Slots()) {
    WaitUntilServed(fleet, each, "k1");
  }
  std::string coordinator;
  REQUIRE(WaitUntil([&] {
    coordinator = CoordinatorOf(fleet, "lockers-1");
    return !coordinator.empty();
  }));
  fleet.Daemon(coordinator).Kill();
  std::vector<std::string> others = fleet.Slots();
  std::erase(others, coordinator);
  REQUIRE(WaitUntil([&] {
    const std::string next = CoordinatorOf(fleet, others.front());
    return !next.empty() && next != coordinator;
  }));
  for (const std::string& each : others) {
    WaitUntilServed(fleet, each, "k1");
    CHECK(Send(fleet, each, "/status", "unknown", "other") == 401);
  }
}

TEST_CASE("a storm of patches deposes no coordinator")
{
  Fleet fleet;
  StartFleet(fleet, 3, { { "first", WorkspaceWith({ "k1" }) } });
  for (const std::string& each : fleet.Slots()) {
    WaitUntilServed(fleet, each, "k1");
  }
  for (std::uint64_t base = 1; base < 60; ++base) {
    const std::string key = "k" + std::to_string(base + 1);
    REQUIRE(fleet.SubmitPatch(
      "lockers-" + std::to_string(1 + base % 3),
      "storm-" + std::to_string(base),
      base,
      PatchWith({ { "first", WorkspaceWith({ "k1", key }) } })));
    REQUIRE(WaitUntil([&] {
      return Send(fleet, "lockers-2", "/status", "during", "k1") == 200;
    }));
  }
  CHECK_FALSE(HasLogged(fleet, "coordinator_stood_down"));
  CHECK_FALSE(HasLogged(fleet, "store_behind"));
}
