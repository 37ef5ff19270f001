#include "platform_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 300.0;
constexpr std::size_t kCalls = 1800;

void
StartUnequalLockers(Fleet& aFleet)
{
  for (const std::uint32_t serviceMs : { 2U, 5U, 20U, 40U }) {
    aFleet.Add({ .m_slot = "lockers-" + std::to_string(serviceMs),
                 .m_service = "lockers",
                 .m_serviceMs = serviceMs,
                 .m_onPlatform = true });
  }
  aFleet.PutPlatformConfig(Document("0000000c", kRules));
  WaitForLockers(aFleet);
}

LoadPlan
StatusLoad(const Fleet& aFleet)
{
  LoadPlan plan;
  for (const std::string& each : aFleet.Slots()) {
    plan.m_urls.push_back(aFleet.CallsUrl(each));
  }
  plan.m_method = "GET";
  plan.m_target = "/status/1";
  plan.m_rate = kRate;
  plan.m_count = kCalls;
  plan.m_headers = { { "Host", "a.example" },
                     { "X-Greengagehub-Deadline-Ms", "1000" } };
  plan.m_idHeader = "X-Greengagehub-Request-Id";
  return plan;
}

std::size_t
CountAnswered(const std::vector<CallRecord>& aRecords)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aRecords, &CallRecord::IsAnswered));
}

bool
ShowsTransitTo(Fleet& aFleet, const std::string& aSlot)
{
  return aFleet.Command("lockers-2", { "limits" })
           .m_output.find("transit to " + aSlot + ": ") != std::string::npos;
}

}

TEST_CASE("several callers' daemons measure the transit times to unequal "
          "workers")
{
  // Guards against a daemon that doesn't state the time at its worker: transit
  // times would then never count.
  Fleet fleet;
  StartUnequalLockers(fleet);
  const auto records = RunLoad(StatusLoad(fleet));
  CHECK(CountAnswered(records) >= records.size() * 98 / 100);
  for (const char* slot : { "lockers-2", "lockers-5", "lockers-20" }) {
    CAPTURE(slot);
    CHECK(ShowsTransitTo(fleet, slot));
  }
}

TEST_CASE("transit times are measured again after a worker's daemon was killed "
          "under load")
{
  // Guards against times of the lost connection that keep calls from the worker
  // once its daemon runs again.
  Fleet fleet;
  StartUnequalLockers(fleet);
  const auto records =
    RunLoad(StatusLoad(fleet),
            { { kCalls / 3, [&fleet] { fleet.Restart("lockers-5"); } } });
  CHECK(CountAnswered(records) >= records.size() * 9 / 10);
  REQUIRE(WaitUntil([&] { return fleet.IsReady("lockers-5"); }));
  CHECK(WaitUntil([&] {
    LoadPlan plan = StatusLoad(fleet);
    plan.m_count = 60;
    const auto again = RunLoad(plan);
    return CountAnswered(again) == again.size() &&
           ShowsTransitTo(fleet, "lockers-5");
  }));
}
