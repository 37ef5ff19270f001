#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/calls/worker_presence.hpp"
#include "greengagehub/calls/worker_table.hpp"

#include <doctest/doctest.h>

// A backend server that crashes and starts again under the id that it had. Its
// reports count anew, so that neither the id nor the sequence tells the two
// starts apart; the time of its start does, as long as the time of day goes on.

using namespace greengagehub;
using namespace std::chrono_literals;
using Change = WorkerPresence::Change;

namespace {

constexpr auto kPeriod = 1500ms;
const TimePoint kStart{ 1h };
const WallTime kBorn{ 1'000'000ms };

WorkerReport
Report(WallTime aBorn,
       std::uint64_t aSequence,
       bool aLeaving = false,
       const char* aId = "a")
{
  return { .m_start = { aId, aBorn },
           .m_service = "locker-app",
           .m_slots = 18,
           .m_leaving = aLeaving,
           .m_sequence = aSequence };
}

bool
Serves(const WorkerPresence& aWorker, WallTime aBorn)
{
  return aWorker.TakesCalls() && aWorker.Current()->m_start.m_born == aBorn;
}

}

TEST_CASE("a worker that starts again under its id arrives with one report")
{
  // It had sent forty reports before it crashed; the new start counts from one.
  // Taken for late ones, its reports would be ignored for a minute, or for good
  // once the former start had said that it leaves.
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnReport(kStart, Report(kBorn, 40)) == Change::Arrived);
  TimePoint now = kStart + 2s;
  const WallTime born = kBorn + 50s;
  SUBCASE("it crashed") {}
  SUBCASE("the former start had said that it leaves")
  {
    CHECK(worker.OnReport(kStart + 1s, Report(kBorn, 41, true)) ==
          Change::Leaving);
  }
  SUBCASE("the former start had said farewell, without its time of start")
  {
    CHECK(worker.OnLeft(kStart + 1s, { "a", std::nullopt }) == Change::Leaving);
  }
  SUBCASE("another id was seen in between")
  {
    CHECK(worker.OnReport(kStart + 1s, Report(kBorn + 20s, 1, false, "b")) ==
          Change::Arrived);
  }
  SUBCASE("it has been silent for long")
  {
    now = kStart + 60s;
  }
  CHECK(worker.OnReport(now, Report(born, 1)) == Change::Arrived);
  CHECK(Serves(worker, born));
  CHECK(worker.OnReport(now + kPeriod, Report(born, 2)) == Change::None);
  CHECK(Serves(worker, born));
}

TEST_CASE("what a former start reports late changes nothing")
{
  // Reports of the former start are held up by a cut and arrive behind the
  // first one of the new start: once, twice, out of order, seconds late. Each
  // would unseat the start that serves, or drain it.
  WorkerPresence worker{ kPeriod };
  const WallTime born = kBorn + 50s;
  SUBCASE("the former start was known")
  {
    CHECK(worker.OnReport(kStart, Report(kBorn, 39)) == Change::Arrived);
  }
  SUBCASE("this daemon has started since") {}
  TimePoint now = kStart + 2s;
  CHECK(worker.OnReport(now, Report(born, 1)) == Change::Arrived);
  for (std::uint64_t beat = 2; beat < 8; ++beat) {
    CHECK(worker.OnReport(now + 100ms, Report(kBorn, 39 + beat)) ==
          Change::None);
    CHECK(worker.OnReport(now + 110ms, Report(kBorn, 40)) == Change::None);
    CHECK(worker.OnReport(now + 120ms, Report(kBorn, 60 + beat, true)) ==
          Change::None);
    CHECK(worker.OnLeft(now + 130ms, { "a", kBorn }) == Change::None);
    now += kPeriod;
    CHECK(worker.OnReport(now, Report(born, beat)) == Change::None);
    CHECK(Serves(worker, born));
  }
}

TEST_CASE("a time of day that stepped back does not shut a start out")
{
  // The machine's clock was set back between the two starts: the new one seems
  // to be the older. Its second report, while the former one has missed its
  // own, shows which of them lives.
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnReport(kStart, Report(kBorn, 40)) == Change::Arrived);
  const WallTime born = kBorn - 1h;
  const TimePoint first = kStart + 700ms;
  CHECK(worker.OnReport(first, Report(born, 1)) == Change::None);
  CHECK(Serves(worker, kBorn));
  CHECK(worker.OnReport(first + kPeriod, Report(born, 2)) == Change::Arrived);
  CHECK(Serves(worker, born));
  // Reports of the former start that were held up for seconds.
  CHECK(worker.OnReport(first + 2s, Report(kBorn, 41)) == Change::None);
  CHECK(worker.OnReport(first + 2s, Report(kBorn, 42)) == Change::None);
  CHECK(worker.OnReport(first + 2 * kPeriod, Report(born, 3)) == Change::None);
  CHECK(Serves(worker, born));
}

TEST_CASE("a start that was unseated wrongly comes back")
{
  // A report with a later time of start is another machine's mistake, or the
  // clock was wrong for a moment. The start that lives goes on reporting.
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnReport(kStart, Report(kBorn, 1)) == Change::Arrived);
  CHECK(worker.OnReport(kStart + 100ms, Report(kBorn + 9h, 1)) ==
        Change::Arrived);
  CHECK(worker.OnReport(kStart + 1 * kPeriod, Report(kBorn, 2)) ==
        Change::None);
  CHECK(worker.OnReport(kStart + 2 * kPeriod, Report(kBorn, 3)) ==
        Change::Arrived);
  CHECK(Serves(worker, kBorn));
}

TEST_CASE("a worker that was asked for its id becomes the start it tells")
{
  WorkerPresence worker{ kPeriod };
  WorkerReport asked = Report(kBorn, 0);
  asked.m_start.m_born.reset();
  CHECK(worker.OnProbed(kStart, asked) == Change::Arrived);
  CHECK(worker.OnReport(kStart + 1s, Report(kBorn, 7)) == Change::Updated);
  CHECK(Serves(worker, kBorn));
}

TEST_CASE(
  "where workers tell their time of start, a report without is no one's")
{
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnReport(kStart, Report(kBorn, 1)) == Change::Arrived);
  WorkerReport other = Report(kBorn, 2, true);
  other.m_start.m_born.reset();
  CHECK(worker.OnReport(kStart + 1s, other) == Change::None);
  CHECK(Serves(worker, kBorn));
}

TEST_CASE("a leave of a start never seen keeps its id away for a while only")
{
  // A daemon that has just started hears the farewell of a worker that it does
  // not know yet. Half a minute later the id belongs to the next start.
  WorkerPresence worker{ kPeriod };
  CHECK(worker.OnLeft(kStart, { "a", std::nullopt }) == Change::None);
  CHECK(worker.OnReport(kStart + 1s, Report(kBorn, 5)) == Change::None);
  CHECK(worker.OnReport(kStart + 3s, Report(kBorn, 6)) == Change::None);
  CHECK(worker.OnReport(kStart + 31s, Report(kBorn + 30s, 1)) ==
        Change::Arrived);
}

TEST_CASE("starts are told apart in news by their id and their time of start")
{
  const WorkerStart start{ "a", kBorn };
  CHECK(TagOf(start) == TagOf({ "a", kBorn }));
  CHECK(TagOf(start) != TagOf({ "a", kBorn + 1ms }));
  CHECK(TagOf(start) != TagOf({ "b", kBorn }));
  CHECK(TagOf(start) != 0);
}

TEST_CASE("what calls showed of a former start is not held against the next")
{
  // A worker fails every call, is left out, crashes and starts again sound.
  // Its callers would leave it out for half a minute, and go by times of 9 s.
  WorkerTable workers;
  WorkerRow row;
  row.m_slot = "w1";
  row.m_service = "ledger";
  row.m_start = 1;
  workers.Put(row);
  const auto index = *workers.Find("w1");
  Random random{ 1 };
  for (int i = 0; i < 50; ++i) {
    workers.Sent(index);
    workers.Ended("w1",
                  kStart,
                  WorkerTable::Verdict::Failed,
                  LoadReport{ 60, 15, { 400ms }, 9s, 2s },
                  random);
  }
  workers.Sent(index);
  REQUIRE(workers.At(index).m_ejectedUntil > kStart);
  SUBCASE("the same start says more of itself")
  {
    workers.Put(row);
    CHECK(workers.At(index).m_failures > 0.0);
    CHECK(workers.At(index).m_kinds.size() == 1);
  }
  SUBCASE("a daemon of an older release does not tell the start")
  {
    row.m_start = 0;
    workers.Put(row);
    CHECK(workers.At(index).m_failures > 0.0);
  }
  SUBCASE("another start")
  {
    row.m_start = 2;
    workers.Put(row);
    const WorkerRow& now = workers.At(index);
    CHECK(now.m_failures == 0.0);
    CHECK(now.m_ejectedUntil <= kStart);
    CHECK(now.m_kinds.empty());
    CHECK(now.m_reportedAt == TimePoint{});
    // Its answer is still to come.
    CHECK(now.m_inFlight == 1);
  }
}

TEST_CASE("times of a former start do not refuse calls at the next")
{
  // A worker took 900 ms a call, crashed and starts again; what it took is no
  // reason to refuse a call with 200 ms left. What waited here was never handed
  // to it and waits on; runs of the former start teach nothing when they end.
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
