#include "platform_fleet.hpp"
#include "testkit/signal_rules.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace greengagehub;
using namespace greengagehub::testkit;
using namespace std::chrono_literals;

namespace {

constexpr int kWorkers = 5;
constexpr double kRate = 300.0;

LoadPlan
StatusLoad(const Fleet& aFleet, std::chrono::seconds aDuration)
{
  LoadPlan plan;
  for (const std::string& each : aFleet.Slots()) {
    plan.m_urls.push_back(aFleet.CallsUrl(each));
  }
  plan.m_method = "GET";
  plan.m_target = "/status/1";
  plan.m_rate = kRate;
  plan.m_count =
    static_cast<std::size_t>(kRate * static_cast<double>(aDuration.count()));
  plan.m_headers = { { "Host", "a.example" },
                     { "X-Greengagehub-Deadline-Ms", "1000" } };
  plan.m_idHeader = "X-Greengagehub-Request-Id";
  return plan;
}

SignalRules
RulesFor(const Fleet& aFleet, const std::vector<CallRecord>& aRecords)
{
  const std::vector<std::string> slots = aFleet.Slots();
  std::map<std::string, RequestOrigin> origins;
  for (std::size_t i = 0; i < aRecords.size(); ++i) {
    origins[aRecords[i].m_id] = { slots[i % slots.size()],
                                  aRecords[i].m_sentAt };
  }
  return { [origins = std::move(origins)](const std::string& aId) {
            const auto found = origins.find(aId);
            return found == origins.end() ? RequestOrigin{} : found->second;
          },
           {} };
}

std::size_t
CountAnswered(const std::vector<CallRecord>& aRecords)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aRecords, &CallRecord::IsAnswered));
}

}

TEST_CASE("a worker that names a limit gets no more than that from the fleet")
{
  // Every daemon sends to the worker: the limit must bound their sum.
  Fleet fleet;
  StartLockers(fleet, kWorkers);
  fleet.ControlWorker("lockers-1", { { "limit", "5.5" } });
  const auto records = RunLoad(StatusLoad(fleet, 8s));
  const SignalRules rules = RulesFor(fleet, records);
  const auto histories = fleet.WorkerHistories("lockers-1");
  REQUIRE(histories.size() == 1);
  CHECK(rules.CheckLimit(histories.front()).value_or("") == "");
  // The others have room for what it does not take.
  CHECK(CountAnswered(records) >= records.size() * 98 / 100);
}

TEST_CASE(
  "a worker that says in its responses that it is leaving gets no more calls")
{
  // It reports itself as ready, and never that it drains.
  Fleet fleet;
  StartLockers(fleet, kWorkers);
  fleet.ControlWorker("lockers-1", { { "leaving", true } });
  const auto records = RunLoad(StatusLoad(fleet, 5s));
  const SignalRules rules = RulesFor(fleet, records);
  const auto histories = fleet.WorkerHistories("lockers-1");
  REQUIRE(histories.size() == 1);
  REQUIRE_FALSE(histories.front().m_statements.empty());
  CHECK(rules.CheckLeaving(histories.front()).value_or("") == "");
  CHECK(CountAnswered(records) >= records.size() * 98 / 100);
}
