#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/calls/worker_presence.hpp"
#include "greengagehub/calls/worker_table.hpp"

#include <doctest/doctest.h>

// A backend server that restarts under the same id: only the start time
// distinguishes the incarnations.

using namespace greengagehub;
using namespace std::chrono_literals;
using Change = WorkerPresence::Change;

namespace {

constexpr auto kPeriod = 1500ms;
const TimePoint kStart{ 1h };
const WallTime kWorkerStart{ 1'000'000ms };

WorkerReport
Report(WallTime aStartTime,
       std::uint64_t aSequence,
       bool aLeaving = false,
       const char* aId = "a")
{
  return { .m_incarnation = { aId, aStartTime },
           .m_service = "locker-app",
           .m_slots = 18,
           .m_isDraining = aLeaving,
           .m_sequence = aSequence };
}

bool
IsServing(const WorkerPresence& aWorker, WallTime aStartTime)
{
  return aWorker.TakesCalls() &&
         aWorker.Current()->m_incarnation.m_startedAt == aStartTime;
}

}

TEST_CASE("a restarted worker with the same id arrives with its first report")
{
  // Guards against reports of a new incarnation that are ignored as late
  // reports of the previous one.
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnReport(kStart, Report(kWorkerStart, 40)) == Change::Arrived);
  TimePoint now = kStart + 2s;
  const WallTime newStartTime = kWorkerStart + 50s;
  SUBCASE("the previous incarnation crashed") {}
  SUBCASE("the previous incarnation reported that it was leaving")
  {
    CHECK(worker.OnReport(kStart + 1s, Report(kWorkerStart, 41, true)) ==
          Change::Leaving);
  }
  SUBCASE("the previous incarnation left without a start time")
  {
    CHECK(worker.OnDeregistered(kStart + 1s, { "a", std::nullopt }) ==
          Change::Leaving);
  }
  SUBCASE("another id reported in between")
  {
    CHECK(
      worker.OnReport(kStart + 1s, Report(kWorkerStart + 20s, 1, false, "b")) ==
      Change::Arrived);
  }
  SUBCASE("the worker sent no reports for a minute")
  {
    now = kStart + 60s;
  }
  CHECK(worker.OnReport(now, Report(newStartTime, 1)) == Change::Arrived);
  CHECK(IsServing(worker, newStartTime));
  CHECK(worker.OnReport(now + kPeriod, Report(newStartTime, 2)) ==
        Change::None);
  CHECK(IsServing(worker, newStartTime));
}

TEST_CASE("late reports of a previous incarnation are ignored")
{
  // Guards against delayed, duplicated or reordered reports that replace or
  // drain the current incarnation.
  WorkerPresence worker{ kPeriod };
  const WallTime newStartTime = kWorkerStart + 50s;
  SUBCASE("the previous incarnation was known")
  {
    CHECK(worker.OnReport(kStart, Report(kWorkerStart, 39)) == Change::Arrived);
  }
  SUBCASE("the previous incarnation was not known") {}
  TimePoint now = kStart + 2s;
  CHECK(worker.OnReport(now, Report(newStartTime, 1)) == Change::Arrived);
  for (std::uint64_t sequence = 2; sequence < 8; ++sequence) {
    CHECK(worker.OnReport(now + 100ms, Report(kWorkerStart, 39 + sequence)) ==
          Change::None);
    CHECK(worker.OnReport(now + 110ms, Report(kWorkerStart, 40)) ==
          Change::None);
    CHECK(
      worker.OnReport(now + 120ms, Report(kWorkerStart, 60 + sequence, true)) ==
      Change::None);
    CHECK(worker.OnDeregistered(now + 130ms, { "a", kWorkerStart }) ==
          Change::None);
    now += kPeriod;
    CHECK(worker.OnReport(now, Report(newStartTime, sequence)) == Change::None);
    CHECK(IsServing(worker, newStartTime));
  }
}

TEST_CASE("a new incarnation is accepted after the clock was set back")
{
  // The new incarnation has the earlier start time. It is accepted at its
  // second report, as the previous one has missed a heartbeat by then.
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnReport(kStart, Report(kWorkerStart, 40)) == Change::Arrived);
  const WallTime newStartTime = kWorkerStart - 1h;
  const TimePoint first = kStart + 700ms;
  CHECK(worker.OnReport(first, Report(newStartTime, 1)) == Change::None);
  CHECK(IsServing(worker, kWorkerStart));
  CHECK(worker.OnReport(first + kPeriod, Report(newStartTime, 2)) ==
        Change::Arrived);
  CHECK(IsServing(worker, newStartTime));
  // Delayed reports of the previous incarnation.
  CHECK(worker.OnReport(first + 2s, Report(kWorkerStart, 41)) == Change::None);
  CHECK(worker.OnReport(first + 2s, Report(kWorkerStart, 42)) == Change::None);
  CHECK(worker.OnReport(first + 2 * kPeriod, Report(newStartTime, 3)) ==
        Change::None);
  CHECK(IsServing(worker, newStartTime));
}

TEST_CASE("a wrongly replaced incarnation is restored")
{
  // Guards against a single wrong report with a later start time that replaces
  // the running incarnation for good.
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnReport(kStart, Report(kWorkerStart, 1)) == Change::Arrived);
  CHECK(worker.OnReport(kStart + 100ms, Report(kWorkerStart + 9h, 1)) ==
        Change::Arrived);
  CHECK(worker.OnReport(kStart + 1 * kPeriod, Report(kWorkerStart, 2)) ==
        Change::None);
  CHECK(worker.OnReport(kStart + 2 * kPeriod, Report(kWorkerStart, 3)) ==
        Change::Arrived);
  CHECK(IsServing(worker, kWorkerStart));
}

TEST_CASE("a probed worker takes the start time of its first report")
{
  WorkerPresence worker{ kPeriod };
  const std::string id = Report(kWorkerStart, 0).m_incarnation.m_id;
  CHECK(worker.OnPrevious({ .m_idTag = IdTagOf(id) }) == Change::None);
  CHECK(worker.OnProbed(kStart, id, "locker-app") == Change::Arrived);
  CHECK(worker.OnReport(kStart + 1s, Report(kWorkerStart, 7)) ==
        Change::Updated);
  CHECK(IsServing(worker, kWorkerStart));
}

TEST_CASE(
  "a report without a start time is ignored if the worker's start time is "
  "known")
{
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnReport(kStart, Report(kWorkerStart, 1)) == Change::Arrived);
  WorkerReport untimed = Report(kWorkerStart, 2, true);
  untimed.m_incarnation.m_startedAt.reset();
  CHECK(worker.OnReport(kStart + 1s, untimed) == Change::None);
  CHECK(IsServing(worker, kWorkerStart));
}

TEST_CASE("a first report of another writer does not hide the worker's own")
{
  // Guards against a drain that is acknowledged and ignored, as a report
  // without a start time and with a high sequence number came first.
  WorkerPresence worker{ kPeriod };
  WorkerReport foreign = Report(kWorkerStart, 1'000'000);
  foreign.m_incarnation.m_startedAt.reset();
  SUBCASE("with the worker's id") {}
  SUBCASE("with another id")
  {
    foreign.m_incarnation.m_id = "foreign";
  }
  SUBCASE("with another id and a low sequence number")
  {
    foreign.m_incarnation.m_id = "foreign";
    foreign.m_sequence = 1;
  }
  SUBCASE("that says it is leaving")
  {
    foreign.m_isDraining = true;
  }
  CHECK(worker.OnReport(kStart, foreign) != Change::None);
  CHECK(worker.OnReport(kStart + 100ms, Report(kWorkerStart, 2)) !=
        Change::None);
  CHECK(IsServing(worker, kWorkerStart));
  CHECK(worker.OnReport(kStart + 200ms, foreign) == Change::None);
  CHECK(worker.OnReport(kStart + kPeriod, Report(kWorkerStart, 3, true)) ==
        Change::Leaving);
  CHECK_FALSE(worker.TakesCalls());
}

TEST_CASE(
  "a deregistration of an unknown incarnation blocks its id for a limited time")
{
  // Guards against an id that stays blocked for the next incarnation.
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnDeregistered(kStart, { "a", std::nullopt }) == Change::None);
  CHECK(worker.OnReport(kStart + 1s, Report(kWorkerStart, 5)) == Change::None);
  CHECK(worker.OnReport(kStart + 3s, Report(kWorkerStart, 6)) == Change::None);
  CHECK(worker.OnReport(kStart + 31s, Report(kWorkerStart + 30s, 1)) ==
        Change::Arrived);
}

TEST_CASE("an incarnation's tag depends on its id and its start time")
{
  const WorkerIncarnation start{ "a", kWorkerStart };
  CHECK(TagOf(start) == TagOf({ "a", kWorkerStart }));
  CHECK(TagOf(start) != TagOf({ "a", kWorkerStart + 1ms }));
  CHECK(TagOf(start) != TagOf({ "b", kWorkerStart }));
  CHECK(TagOf(start) != 0);
}

TEST_CASE("statistics are reset for a new incarnation")
{
  // Guards against excluding a worker for failures before its restart.
  WorkerTable workers;
  WorkerRow row;
  row.m_slot = "w1";
  row.m_service = "ledger";
  row.m_incarnation = 1;
  workers.Put(row);
  const auto index = *workers.Find("w1");
  Random random{ 1 };
  for (int i = 0; i < 50; ++i) {
    workers.RecordSent(index);
    workers.RecordResult("w1",
                         kStart,
                         WorkerTable::Verdict::Failed,
                         LoadReport{ 60, 15, { 400ms }, 9s, 2s },
                         random);
  }
  workers.RecordSent(index);
  REQUIRE(workers.At(index).m_ejectedUntil > kStart);
  SUBCASE("the same incarnation")
  {
    workers.Put(row);
    CHECK(workers.At(index).m_failureShare > 0.0);
    CHECK(workers.At(index).m_kindStats.size() == 1);
  }
  SUBCASE("no incarnation, as from a daemon of an older release")
  {
    row.m_incarnation = 0;
    workers.Put(row);
    CHECK(workers.At(index).m_failureShare > 0.0);
  }
  SUBCASE("another incarnation")
  {
    row.m_incarnation = 2;
    workers.Put(row);
    const WorkerRow& now = workers.At(index);
    CHECK(now.m_failureShare == 0.0);
    CHECK(now.m_ejectedUntil <= kStart);
    CHECK(now.m_kindStats.empty());
    CHECK(now.m_reportedAt == TimePoint{});
    CHECK(now.m_inFlight == 1);
  }
}

TEST_CASE("service times of a previous incarnation do not refuse calls")
{
  // Guards against refusals by outdated service times. Queued calls stay
  // queued, and runs of the previous incarnation don't count when they end.
  RunTable table{ { .m_slots = 1 } };
  RunActions out;
  const WorkDemand demand{ CallClass::Critical, 0, { 200ms }, 200ms, 200ms };
  const auto admit = [&](std::uint64_t aCall, TimePoint aAt) {
    return table.Admit(aAt, { 1, aCall }, 1, demand, out).m_kind;
  };
  REQUIRE(admit(1, kStart) == Admission::Kind::Start);
  static_cast<void>(table.Finish(kStart + 900ms, { 1, 1 }));
  REQUIRE(admit(2, kStart + 1s) == Admission::Kind::Start);
  REQUIRE(admit(3, kStart + 1s) == Admission::Kind::Refused);
  table.OnWorkerRestarted();
  CHECK(admit(4, kStart + 1s) == Admission::Kind::Queued);
  const RunActions next = table.Finish(kStart + 1100ms, { 1, 2 });
  CHECK(next.m_start == std::vector<CallKey>{ { 1, 4 } });
  CHECK(table.ServiceTime(kStart + 1100ms, { 200ms }) < 100ms);
}
