#include "platform_fleet.hpp"

#include "greengagehub/core/clock.hpp"
#include "platform/names.hpp"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <thread>
#include <vector>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr const char* kSettings = "[workspaces]\n"
                                  "revoke_within_ms = 1500\n";

Json
Tenant(const char* aName, const Json& aKeys, double aPerSecond = 0.0)
{
  return { { "name", aName },
           { "api_keys", aKeys },
           { "priority", 0 },
           { "per_s", aPerSecond },
           { "burst", aPerSecond } };
}

Json
DocumentWith(const char* aVersion, const Json& aTenants)
{
  Json open = Rule("open", "safe", "/open/");
  open["public"] = true;
  Json rules = kRules;
  rules.push_back(open);
  Json document = Document(aVersion, rules);
  document["tenants"] = aTenants;
  return document;
}

void
StartWithTenants(Fleet& aFleet, int aCount, const Json& aTenants)
{
  for (int i = 1; i <= aCount; ++i) {
    aFleet.Add({ .m_slot = "lockers-" + std::to_string(i),
                 .m_service = "lockers",
                 .m_settings = kSettings,
                 .m_onPlatform = true });
  }
  aFleet.PutPlatformConfig(DocumentWith("0000000c", aTenants));
  WaitForLockers(aFleet);
}

CallResult
CallWithKey(const Fleet& aFleet,
            const std::string& aSlot,
            const std::string& aTarget,
            const std::string& aId,
            const std::string& aKey)
{
  return aFleet.Call(aSlot,
                     "GET",
                     aTarget,
                     { { "Host", "a.example" },
                       { "X-Greengagehub-Request-Id", aId },
                       { "X-Greengagehub-Deadline-Ms", "1000" },
                       { "X-Greengagehub-Key", aKey },
                       { "X-Greengagehub-Tenant", "forged" } });
}

int
SendWithKey(const Fleet& aFleet,
            const std::string& aSlot,
            const std::string& aTarget,
            const std::string& aId,
            const std::string& aKey)
{
  return CallWithKey(aFleet, aSlot, aTarget, aId, aKey).Status();
}

}

TEST_CASE(
  "workers get no API key, and the workspace's name from the daemon only")
{
  Fleet fleet;
  StartWithTenants(
    fleet, 1, Json::array({ Tenant("first", Json::array({ "k1", "k2" })) }));
  REQUIRE(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-1", "/status/1", "a", "k2") == 200;
  }));
  CHECK(SendWithKey(fleet, "lockers-1", "/open/1", "b", "k1") == 200);
  CHECK(SendWithKey(fleet, "lockers-1", "/open/1", "c", "unknown") == 200);
  CHECK(SendWithKey(fleet, "lockers-1", "/status/1", "d", "unknown") == 401);
  const Json counts = fleet.WorkerCounts("lockers-1");
  INFO(counts.dump());
  CHECK(counts["keys_seen"] == 0);
  CHECK(counts["tenants"].value("first", 0) >= 1);
  CHECK(counts["tenants"].value("", 0) == 2);
  CHECK(counts["tenants"].value("forged", 0) == 0);
  CHECK(Runs(fleet, "d") == 0);
}

TEST_CASE("a revoked key is rejected by a daemon that is cut off")
{
  // The daemon is paused during the revocation and resumes without store or
  // peers: only the age of its configuration shows that the key may be revoked.
  Fleet fleet;
  StartWithTenants(
    fleet, 2, Json::array({ Tenant("first", Json::array({ "k1", "k2" })) }));
  REQUIRE(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-2", "/status/1", "a", "k1") == 200;
  }));
  fleet.Daemon("lockers-2").Signal(SIGSTOP);
  fleet.PutPlatformConfig(DocumentWith(
    "0000000f", Json::array({ Tenant("first", Json::array({ "k2" })) })));
  const auto revokedAt = Clock::now();
  REQUIRE(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-1", "/status/1", "b", "k1") == 401;
  }));
  REQUIRE(WaitUntil([&] {
    return Clock::now() - revokedAt > std::chrono::milliseconds{ 1500 };
  }));
  fleet.SetStoreFaults({ { "outage", "refuse" } });
  fleet.Daemon("lockers-1").Signal(SIGSTOP);
  fleet.Daemon("lockers-2").Signal(SIGCONT);
  for (int i = 0; i < 5; ++i) {
    const std::string id = "late-" + std::to_string(i);
    const int status = SendWithKey(fleet, "lockers-2", "/status/1", id, "k1");
    CHECK((status == 503 || status == 401));
    CHECK(Runs(fleet, id) == 0);
  }
  // A call may be placed at the worker of the paused daemon first.
  CHECK(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-2", "/open/1", "open", "") == 200;
  }));
  fleet.SetStoreFaults({ { "outage", "none" } });
  fleet.Daemon("lockers-1").Signal(SIGCONT);
  CHECK(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-2", "/status/1", "c", "k2") == 200;
  }));
}

TEST_CASE("no key is accepted while the newest configuration cannot be read")
{
  // It may revoke keys. A check that met it renewed the proof of the one in
  // force.
  Fleet fleet;
  StartWithTenants(
    fleet, 2, Json::array({ Tenant("first", Json::array({ "k1" })) }));
  for (const char* slot : { "lockers-1", "lockers-2" }) {
    REQUIRE(WaitUntil(
      [&] { return SendWithKey(fleet, slot, "/status/1", "a", "k1") == 200; }));
  }
  fleet.WriteToStore(std::string{ platform::kConfigKey }, "{");
  for (const char* slot : { "lockers-1", "lockers-2" }) {
    CHECK(WaitUntil(
      [&] { return SendWithKey(fleet, slot, "/status/1", "b", "k1") == 503; }));
  }
  CHECK(SendWithKey(fleet, "lockers-1", "/open/1", "open", "") == 200);
  fleet.PutPlatformConfig(DocumentWith(
    "0000000f", Json::array({ Tenant("first", Json::array({ "k1" })) })));
  CHECK(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-1", "/status/1", "c", "k1") == 200;
  }));
}

TEST_CASE("a workspace's quota holds across all daemons")
{
  Fleet fleet;
  StartWithTenants(fleet,
                   3,
                   Json::array({ Tenant("large", Json::array({ "k1" })),
                                 Tenant("small", Json::array({ "k2" }), 4) }));
  REQUIRE(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-1", "/status/1", "a", "k2") == 200;
  }));
  // Limit in any five seconds: (4 per second * 5 + burst of 4), plus 10% and 20
  // calls of tolerance. The loop takes less time.
  int ran = 0;
  int rejected = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string slot = "lockers-" + std::to_string(1 + i % 3);
    const int status =
      SendWithKey(fleet, slot, "/status/1", "q" + std::to_string(i), "k2");
    ran += status == 200 ? 1 : 0;
    rejected += status == 429 ? 1 : 0;
  }
  CHECK(ran <= 46);
  CHECK(rejected >= 200);
  CHECK(SendWithKey(fleet, "lockers-2", "/status/1", "other", "k1") == 200);
}

TEST_CASE("calls of a workspace are answered while another one floods")
{
  // Guards against a workspace that is refused as its workers' queues are full
  // of another one's calls.
  constexpr int kFlooders = 60;
  constexpr int kCalls = 40;
  Fleet fleet;
  fleet.Add({ .m_slot = "lockers-1",
              .m_service = "lockers",
              .m_slots = 2,
              .m_queue = 8,
              .m_serviceMs = 40,
              .m_settings = kSettings,
              .m_onPlatform = true });
  fleet.PutPlatformConfig(
    DocumentWith("0000000c",
                 Json::array({ Tenant("flood", Json::array({ "k1" })),
                               Tenant("other", Json::array({ "k2" })) })));
  WaitForLockers(fleet);
  REQUIRE(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-1", "/status/1", "a", "k2") == 200;
  }));
  std::atomic<bool> isOver{ false };
  std::atomic<int> flooded{ 0 };
  std::atomic<int> refused{ 0 };
  std::vector<std::thread> flooders;
  flooders.reserve(kFlooders);
  for (int i = 0; i < kFlooders; ++i) {
    flooders.emplace_back([&, i] {
      for (int call = 0; !isOver; ++call) {
        const std::string id = fmt::format("f{}-{}", i, call);
        const int status =
          SendWithKey(fleet, "lockers-1", "/status/1", id, "k1");
        ++(status == 200 ? flooded : refused);
      }
    });
  }
  const bool isFlooding = WaitUntil([&] { return refused >= 50; });
  int answered = 0;
  for (int i = 0; i < kCalls; ++i) {
    const std::string id = "o" + std::to_string(i);
    answered +=
      SendWithKey(fleet, "lockers-1", "/status/1", id, "k2") == 200 ? 1 : 0;
  }
  const std::string shares = fleet.Command("lockers-1", { "shares" }).m_output;
  isOver = true;
  for (std::thread& each : flooders) {
    each.join();
  }
  CHECK(isFlooding);
  CHECK(flooded > 0);
  CHECK(answered == kCalls);
  INFO(shares);
  CHECK(shares.find("flood") != std::string::npos);
  CHECK(shares.find("other") != std::string::npos);
}

namespace {

constexpr const char* kShardedSettings = "[workspaces]\n"
                                         "revoke_within_ms = 1500\n"
                                         "quota_shards = 4\n";

Json
Quotas(Fleet& aFleet, const std::string& aSlot)
{
  return Json::parse(
    aFleet.Command(aSlot, { "quotas", "--json" }).m_output, nullptr, false);
}

/// \returns The coordinator of a shard as known to a daemon; empty: unknown.
std::string
CoordinatorOf(Fleet& aFleet, const std::string& aSlot, std::size_t aShard)
{
  const Json quotas = Quotas(aFleet, aSlot);
  if (!quotas.is_object() || quotas["shards"].size() != 4) {
    return {};
  }
  const Json& shard = quotas["shards"][aShard];
  return shard.value("silent", true) ? "" : shard.value("coordinator", "");
}

void
StartSharded(Fleet& aFleet, int aCount)
{
  for (int i = 1; i <= aCount; ++i) {
    aFleet.Add({ .m_slot = "lockers-" + std::to_string(i),
                 .m_service = "lockers",
                 .m_settings = kShardedSettings,
                 .m_onPlatform = true });
  }
  aFleet.PutPlatformConfig(DocumentWith(
    "0000000c", Json::array({ Tenant("first", Json::array({ "k1" }), 800) })));
  WaitForLockers(aFleet);
}

/// Sends requests below the limit by the given daemon until `aIsDone`.
/// \returns Answers of the quota; others come from ended backend servers.
int
ServeUntil(const Fleet& aFleet,
           const std::string& aSlot,
           const std::string& aId,
           const std::function<bool()>& aIsDone)
{
  int rejected = 0;
  int sent = 0;
  int others = 0;
  REQUIRE(WaitUntil([&] {
    const CallResult result = CallWithKey(
      aFleet, aSlot, "/status/1", aId + std::to_string(sent++), "k1");
    const std::string_view body = result.m_result.m_response.m_body;
    const bool isRejected = body.find("over-quota") != std::string::npos ||
                            body.find("no-coordinator") != std::string::npos;
    rejected += isRejected ? 1 : 0;
    others += !isRejected && result.Status() != 200 ? 1 : 0;
    return aIsDone();
  }));
  MESSAGE(aId << ": " << sent << " requests, " << rejected
              << " rejected by the quota, " << others << " failed otherwise");
  return rejected;
}

}

TEST_CASE("a workspace below its quota is served on while the coordinator of a "
          "shard is killed or paused")
{
  // Guards against 503 to all workspaces until the next coordinator grants.
  for (const int signal : { SIGKILL, SIGSTOP }) {
    Fleet fleet;
    StartSharded(fleet, 5);
    REQUIRE(WaitUntil([&] {
      for (std::size_t i = 0; i < 4; ++i) {
        if (CoordinatorOf(fleet, "lockers-1", i).empty()) {
          return false;
        }
      }
      return SendWithKey(fleet, "lockers-1", "/status/1", "a", "k1") == 200;
    }));
    // The daemon that is asked stays; another one coordinates one shard at
    // least with five daemons and four shards, or there is nothing to end.
    std::size_t shard = 4;
    for (std::size_t i = 0; i < 4; ++i) {
      const std::string holder = CoordinatorOf(fleet, "lockers-1", i);
      shard = holder != "lockers-1" ? i : shard;
    }
    REQUIRE(shard < 4);
    const std::string ended = CoordinatorOf(fleet, "lockers-1", shard);
    CAPTURE(ended);
    fleet.Daemon(ended).Signal(signal);
    const int rejected =
      ServeUntil(fleet, "lockers-1", "served-" + std::to_string(signal), [&] {
        const std::string next = CoordinatorOf(fleet, "lockers-1", shard);
        return !next.empty() && next != ended;
      });
    CHECK(rejected == 0);
    if (signal == SIGSTOP) {
      fleet.Daemon(ended).Signal(SIGCONT);
    }
  }
}

TEST_CASE("no key is accepted after the last tenant has left")
{
  // Guards against a version whose empty list of tenants opens all routes.
  Fleet fleet;
  StartWithTenants(
    fleet, 1, Json::array({ Tenant("first", Json::array({ "k1" })) }));
  REQUIRE(WaitUntil([&] {
    return SendWithKey(fleet, "lockers-1", "/status/1", "a", "k1") == 200;
  }));
  fleet.PutPlatformConfig(DocumentWith("0000000f", Json::array()));
  REQUIRE(fleet.WaitForVersion(15));
  CHECK(SendWithKey(fleet, "lockers-1", "/status/1", "b", "k1") == 401);
  CHECK(SendWithKey(fleet, "lockers-1", "/status/1", "c", "other") == 401);
  CHECK(SendWithKey(fleet, "lockers-1", "/open/1", "d", "") == 200);
  // For longer than revoke_within_ms, as the proof of the version must be
  // renewed.
  const auto until = Clock::now() + std::chrono::seconds{ 2 };
  REQUIRE(WaitUntil([&] {
    CHECK(SendWithKey(fleet, "lockers-1", "/status/1", "e", "k1") == 401);
    return Clock::now() > until;
  }));
  CHECK(Runs(fleet, "b") + Runs(fleet, "c") == 0);
}
