#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/run_table.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };
constexpr auto kLookup = 120ms;
constexpr auto kExport = 800ms;

WorkerRow
Row(const char* aSlot, const char* aDomain)
{
  WorkerRow row;
  row.m_slot = aSlot;
  row.m_service = "ledger";
  row.m_domain = aDomain;
  row.m_slots = 18;
  return row;
}

void
AddStats(WorkerRow& aRow,
         CallKind aKind,
         std::chrono::microseconds aService,
         std::chrono::microseconds aWait = 0us)
{
  aRow.m_kindStats.push_back({ aKind, aService, aWait, kStart });
}

std::size_t
Choose(const std::vector<WorkerRow>& aRows,
       std::chrono::milliseconds aTarget,
       double aCrossing,
       Random& aRandom)
{
  std::vector<const WorkerRow*> rows;
  rows.reserve(aRows.size());
  for (const WorkerRow& each : aRows) {
    rows.push_back(&each);
  }
  const LowestExpectedLoss policy{ "solna" };
  return policy.Choose(
    rows, { kStart, aTarget, aTarget, aCrossing, 4 * aTarget }, aRandom);
}

}

TEST_CASE("lookups stay in their domain beside exports ten times as long")
{
  // Guards against lookups that cross because the mean over both kinds exceeds
  // their target.
  std::vector<WorkerRow> rows{ Row("home", "solna"), Row("away", "kista") };
  AddStats(rows[0], kExport, 300ms);
  AddStats(rows[0], kLookup, 30ms);
  AddStats(rows[1], kLookup, 25ms);
  Random random{ 1 };
  for (int i = 0; i < 100; ++i) {
    CHECK(Choose(rows, kLookup, 0.13, random) == 0);
  }
}

TEST_CASE("with a full near worker, calls with small answers cross and those "
          "with large answers wait")
{
  // A lookup would be late and is cheap to move; an export can wait and is
  // expensive to move.
  std::vector<WorkerRow> rows{ Row("home", "solna"), Row("away", "kista") };
  AddStats(rows[0], kLookup, 30ms, 150ms);
  AddStats(rows[1], kLookup, 30ms);
  AddStats(rows[0], kExport, 300ms, 150ms);
  AddStats(rows[1], kExport, 300ms);
  Random random{ 1 };
  CHECK(Choose(rows, kLookup, 0.13, random) == 1);
  CHECK(Choose(rows, kExport, 0.56, random) == 0);
}

TEST_CASE("the request body counts for the cost of crossing")
{
  // Guards against large request bodies that cross for a small gain.
  const DecisionSettings decisions;
  const double crossingCost = CrossingCost(decisions, 4000.0, 1500.0);
  CHECK(crossingCost > 0.5);
  std::vector<WorkerRow> rows{ Row("home", "solna"), Row("away", "kista") };
  AddStats(rows[0], 250ms, 160ms, 60ms);
  AddStats(rows[1], 250ms, 80ms);
  Random random{ 1 };
  CHECK(Choose(rows, 250ms, crossingCost, random) == 0);
}

TEST_CASE("the loss at an unreachable worker exceeds the highest crossing cost")
{
  // Guards against calls sent to an unreachable near worker. Calls in flight
  // pile up there before the first failures are known.
  std::vector<WorkerRow> rows{ Row("home", "solna"), Row("away", "kista") };
  AddStats(rows[0], 250ms, 80ms);
  AddStats(rows[1], 250ms, 80ms);
  Random random{ 1 };
  constexpr double kHighCrossingCost = 0.62;
  CHECK(Choose(rows, 250ms, kHighCrossingCost, random) == 0);
  rows[0].m_inFlight = 200;
  CHECK(Choose(rows, 250ms, kHighCrossingCost, random) == 1);
  rows[0].m_inFlight = 0;
  rows[0].m_failureShare = 0.8;
  CHECK(Choose(rows, 250ms, kHighCrossingCost, random) == 1);
}

TEST_CASE("a worker without reports gets a few calls, one at a time")
{
  // Guards against flooding a cold worker before its first answer, and against
  // leaving it idle.
  std::vector<WorkerRow> rows{ Row("a", "solna"),
                               Row("b", "solna"),
                               Row("new", "solna") };
  AddStats(rows[0], kExport, 280ms);
  AddStats(rows[1], kExport, 320ms);
  Random random{ 1 };
  int newWorkerCalls = 0;
  for (int i = 0; i < 1000; ++i) {
    newWorkerCalls += Choose(rows, kExport, 0.56, random) == 2 ? 1 : 0;
  }
  CHECK(newWorkerCalls > 10);
  CHECK(newWorkerCalls < 60);
  rows[2].m_inFlight = 1;
  for (int i = 0; i < 1000; ++i) {
    CHECK(Choose(rows, kExport, 0.56, random) != 2);
  }
}

namespace {

/// Outcomes of a burst of calls at 1.5 times the capacity of one worker.
struct BurstResult
{
  int m_inTarget{ 0 };
  int m_late{ 0 };
  int m_refused{ 0 };
  Duration m_longestRefusal{ 0 };
};

BurstResult
RunBurst()
{
  constexpr auto kService = 100ms;
  constexpr auto kInterval = std::chrono::microseconds{ 8333 };
  RunTable table{ { .m_slots = 8, .m_queue = 200 } };
  BurstResult result;
  std::map<CallKey, TimePoint> arrived;
  std::multimap<TimePoint, CallKey> ends;
  TimePoint now = kStart;
  const auto start = [&](const CallKey& aKey) {
    ends.emplace(now + kService, aKey);
  };
  const auto refuse = [&](const CallKey& aKey) {
    ++result.m_refused;
    result.m_longestRefusal =
      std::max<Duration>(result.m_longestRefusal, now - arrived.at(aKey));
  };
  const auto apply = [&](const RunActions& aActions) {
    for (const RefusedRun& each : aActions.m_refused) {
      refuse(each.m_key);
    }
    for (const CallKey& each : aActions.m_start) {
      start(each);
    }
  };
  const auto runTo = [&](TimePoint aUntil) {
    while (!ends.empty() && ends.begin()->first <= aUntil) {
      const auto [at, key] = *ends.begin();
      ends.erase(ends.begin());
      now = at;
      const bool inTarget = now - arrived.at(key) <= 300ms;
      ++(inTarget ? result.m_inTarget : result.m_late);
      apply(table.Finish(now, key));
    }
    now = aUntil;
    apply(table.OnTick(now));
  };
  for (std::uint64_t call = 1; call <= 1200; ++call) {
    runTo(now + kInterval);
    const CallKey key{ 1, call };
    arrived[key] = now;
    RunActions actions;
    const Admission admission = table.Admit(now,
                                            key,
                                            1,
                                            { .m_priority = 1,
                                              .m_kind = 300ms,
                                              .m_timeLeft = 2s,
                                              .m_targetLeft = 300ms },
                                            actions);
    apply(actions);
    if (admission.m_kind == Admission::Kind::Start) {
      start(key);
    } else if (admission.m_kind == Admission::Kind::Refused) {
      refuse(key);
    }
  }
  runTo(now + 5s);
  return result;
}

}

TEST_CASE("in a long burst nearly all calls that run meet their target")
{
  // Guards against a queue in which every call is late.
  const BurstResult result = RunBurst();
  CHECK(result.m_inTarget > 720);
  CHECK(result.m_late < 60);
  CHECK(result.m_inTarget + result.m_late + result.m_refused == 1200);
  CHECK(result.m_longestRefusal <= 700ms);
}

TEST_CASE("a call of higher priority overtakes queued calls, not running ones")
{
  RunTable table{ { .m_slots = 1, .m_queue = 10 } };
  RunActions actions;
  const auto admit = [&](std::uint64_t aCall, std::uint32_t aPriority) {
    return table
      .Admit(kStart,
             { 1, aCall },
             1,
             { .m_priority = aPriority,
               .m_kind = 500ms,
               .m_timeLeft = 2s,
               .m_targetLeft = 500ms },
             actions)
      .m_kind;
  };
  REQUIRE(admit(1, 2) == Admission::Kind::Start);
  REQUIRE(admit(2, 2) == Admission::Kind::Queued);
  REQUIRE(admit(3, 1) == Admission::Kind::Queued);
  const RunActions next = table.Finish(kStart + 10ms, { 1, 1 });
  REQUIRE(next.m_start.size() == 1);
  CHECK(next.m_start[0].m_call == 3);
}

TEST_CASE("the transit time to a worker's daemon counts like a wait")
{
  // Guards against an idle worker whose daemon has a backlog of messages, which
  // its reports don't show.
  std::vector<WorkerRow> rows{ Row("slow", "solna"), Row("quick", "solna") };
  AddStats(rows[0], kLookup, 30ms);
  AddStats(rows[1], kLookup, 60ms);
  Random random{ 1 };
  CHECK(Choose(rows, kLookup, 0.0, random) == 0);
  rows[0].m_transitTime = 100ms;
  rows[0].m_transitAt = kStart;
  rows[1].m_transitAt = kStart;
  CHECK(Choose(rows, kLookup, 0.0, random) == 1);

  SUBCASE("an old measurement loses its weight, so that the worker is tried "
          "again")
  {
    rows[0].m_transitAt = kStart - DecisionSettings{}.m_reportLifetime;
    CHECK(Choose(rows, kLookup, 0.0, random) == 0);
  }
  SUBCASE("a worker without a measurement counts like the others, so that a "
          "backlog of the own daemon speaks for none")
  {
    rows.push_back(Row("unmeasured", "solna"));
    AddStats(rows[2], kLookup, 65ms);
    rows[1].m_transitTime = 100ms;
    rows[1].m_transitAt = kStart;
    for (int i = 0; i < 20; ++i) {
      CHECK(Choose(rows, kLookup, 0.0, random) != 2);
    }
  }
}
