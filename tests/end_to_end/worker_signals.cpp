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
    // Health checks of daemons have no id and no origin among the callers.
    if (!aRecords[i].m_id.empty()) {
      origins[aRecords[i].m_id] = { slots[i % slots.size()],
                                    aRecords[i].m_sentAt };
    }
  }
  return { [origins = std::move(origins)](const std::string& aId) {
            const auto found = origins.find(aId);
            return found == origins.end() ? RequestOrigin{} : found->second;
          },
           {} };
}

/// \returns Most requests in any 4 s from the statement of the limit on.
std::size_t
MostInWindow(const WorkerHistory& aHistory)
{
  std::size_t most = 0;
  for (const WorkerHistory::Arrival& first : aHistory.m_arrivals) {
    const auto isIn = [&](const WorkerHistory::Arrival& aEach) {
      return aEach.m_at >= first.m_at && aEach.m_at < first.m_at + 4s;
    };
    if (first.m_at >= aHistory.m_limits.front().m_from) {
      most = std::max(most,
                      static_cast<std::size_t>(
                        std::ranges::count_if(aHistory.m_arrivals, isIn)));
    }
  }
  return most;
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

TEST_CASE("a limit holds when the daemon beside the worker restarts")
{
  // The new process knows no limit; callers' daemons have to send it along.
  Fleet fleet;
  StartLockers(fleet, kWorkers);
  fleet.ControlWorker("lockers-1", { { "limit", "5.5" } });
  const LoadPlan plan = StatusLoad(fleet, 9s);
  const auto events = { plan.m_count / 2, plan.m_count * 3 / 4 };
  std::vector<LoadEvent> restarts;
  for (const std::size_t each : events) {
    restarts.push_back({ each, [&fleet] { fleet.Restart("lockers-1"); } });
  }
  const auto records = RunLoad(plan, restarts);
  const auto histories = fleet.WorkerHistories("lockers-1");
  REQUIRE(histories.size() == 1);
  CHECK(RulesFor(fleet, records).CheckLimit(histories.front()).value_or("") ==
        "");
}

TEST_CASE("a leave holds when the daemon beside the worker restarts")
{
  // The worker reports itself as ready to the new process.
  Fleet fleet;
  StartLockers(fleet, kWorkers);
  fleet.ControlWorker("lockers-1", { { "leaving", true } });
  const LoadPlan plan = StatusLoad(fleet, 6s);
  const auto records = RunLoad(
    plan, { { plan.m_count / 2, [&fleet] { fleet.Restart("lockers-1"); } } });
  const auto histories = fleet.WorkerHistories("lockers-1");
  REQUIRE(histories.size() == 1);
  REQUIRE_FALSE(histories.front().m_statements.empty());
  // Requests that begin at the restarted daemon are not bound by what its
  // predecessor passed on.
  std::vector<CallRecord> others = records;
  for (std::size_t i = 0; i < others.size(); i += fleet.Slots().size()) {
    others[i].m_id.clear();
  }
  CHECK(RulesFor(fleet, others).CheckLeaving(histories.front()).value_or("") ==
        "");
}

TEST_CASE(
  "with all workers at their limits calls are refused with a retry time")
{
  Fleet fleet;
  StartLockers(fleet, 2);
  for (const std::string& each : fleet.Slots()) {
    fleet.ControlWorker(each, { { "limit", "4" } });
  }
  const auto records = RunLoad(StatusLoad(fleet, 4s));
  const SignalRules rules = RulesFor(fleet, records);
  std::size_t refused = 0;
  for (const CallRecord& each : records) {
    if (each.m_reason == "rate-limited") {
      ++refused;
      CHECK(each.m_outcome == "not-run");
      CHECK_FALSE(
        HeaderValue(each.m_result.m_response.m_headers, "Retry-After").empty());
    }
  }
  CHECK(refused >= records.size() / 2);
  for (const std::string& each : fleet.Slots()) {
    const auto histories = fleet.WorkerHistories(each);
    REQUIRE(histories.size() == 1);
    CHECK(rules.CheckLimit(histories.front()).value_or("") == "");
  }
  CHECK(
    fleet.Command("lockers-1", { "limits" }).m_output.find("4 requests/s") !=
    std::string::npos);

  // From a request's id to the limit that it met.
  const auto found = std::ranges::find(
    records, std::string{ "rate-limited" }, &CallRecord::m_reason);
  REQUIRE(found != records.end());
  CommandResult trace;
  CHECK(WaitUntil([&] {
    trace = fleet.Trace(found->m_id);
    return trace.m_output.find("rate-limited") != std::string::npos;
  }));
  CHECK(trace.m_output.find(R"("per_second":4)") != std::string::npos);
}

TEST_CASE("a limit and a leave bind without the platform's protocol, too")
{
  Fleet fleet;
  for (const char* slot : { "app-1", "app-2" }) {
    fleet.Add({ .m_slot = slot, .m_service = "locker-app" });
  }
  REQUIRE(fleet.WaitForMembers());
  REQUIRE(fleet.SubmitPatch("app-1", "routes", 0, R"({
    "services":{"locker-app":{}},
    "routes":{"status":{"path":"/status","service":"locker-app",
                        "idempotent":true}}})"));
  REQUIRE(fleet.WaitForVersion(1));
  const auto call = [&](int aNumber) {
    return fleet.Call(aNumber % 2 == 0 ? "app-1" : "app-2",
                      "GET",
                      "/status",
                      { { "X-Request-Id", std::to_string(aNumber) } });
  };
  REQUIRE(WaitUntil([&] { return call(0).Status() == 200; }));
  fleet.SetBackendFaults("app-1", { { "limit", "2" } });
  for (int i = 1; i <= 200; ++i) {
    CHECK(call(i).Status() == 200);
  }
  const auto limited = fleet.WorkerHistories("app-1");
  REQUIRE(limited.size() == 1);
  CHECK(MostInWindow(limited.front()) <= 17);

  fleet.SetBackendFaults("app-1",
                         { { "limit", nullptr }, { "leaving", true } });
  // Otherwise the other one may be preferred, and never show that this one
  // leaves.
  fleet.SetBackendFaults("app-2", { { "service_ms", 40 } });
  const auto hasLeft = [&] {
    static_cast<void>(call(1000));
    return fleet.Status("app-1").value("leaving", false);
  };
  REQUIRE(WaitUntil(hasLeft));
  const std::size_t before =
    fleet.WorkerHistories("app-1").front().m_arrivals.size();
  for (int i = 1; i <= 50; ++i) {
    CHECK(call(i).Status() == 200);
  }
  CHECK(fleet.WorkerHistories("app-1").front().m_arrivals.size() == before);
}
