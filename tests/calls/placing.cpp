#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/run_table.hpp"

#include <doctest/doctest.h>

// Placing and turns at their worst, on the tables themselves.

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
Tell(WorkerRow& aRow,
     CallKind aKind,
     std::chrono::microseconds aService,
     std::chrono::microseconds aWait = 0us)
{
  aRow.m_kinds.push_back({ aKind, aService, aWait, kStart });
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
  const NearestFit policy{ "solna" };
  return policy.Choose(
    rows, { kStart, aTarget, aTarget, aCrossing, 4 * aTarget }, aRandom);
}

}

TEST_CASE("lookups stay at home beside exports that take ten times as long")
{
  // One ledger runs exports of 300 ms and lookups of 30 ms. By the mean over
  // both, every lookup seems to miss its 120 ms at home, and all of them cross.
  std::vector<WorkerRow> rows{ Row("home", "solna"), Row("away", "kista") };
  Tell(rows[0], kExport, 300ms);
  Tell(rows[0], kLookup, 30ms);
  Tell(rows[1], kLookup, 25ms);
  Random random{ 1 };
  for (int i = 0; i < 100; ++i) {
    CHECK(Choose(rows, kLookup, 0.13, random) == 0);
  }
}

TEST_CASE("a full worker at home sends small answers away and keeps large ones")
{
  // The only worker of a domain is full for 150 ms. A lookup would be late; its
  // answer is small, and it goes. An export has time to wait, and is large.
  std::vector<WorkerRow> rows{ Row("home", "solna"), Row("away", "kista") };
  Tell(rows[0], kLookup, 30ms, 150ms);
  Tell(rows[1], kLookup, 30ms);
  Tell(rows[0], kExport, 300ms, 150ms);
  Tell(rows[1], kExport, 300ms);
  Random random{ 1 };
  CHECK(Choose(rows, kLookup, 0.13, random) == 1);
  CHECK(Choose(rows, kExport, 0.56, random) == 0);
}

TEST_CASE("a booking with a large body stays at home rather than cross in time")
{
  // The worker at home is slow: bookings of 4 KB would end at 160 of 250 ms
  // there, and at 80 ms in the next domain. By the bytes of the answers alone,
  // half of all bookings crossed, a third of all bytes between domains.
  const DecisionSettings decisions;
  const double price = CrossingPrice(decisions, 4000.0, 1500.0);
  CHECK(price > 0.5);
  std::vector<WorkerRow> rows{ Row("home", "solna"), Row("away", "kista") };
  Tell(rows[0], 250ms, 160ms, 60ms);
  Tell(rows[1], 250ms, 80ms);
  Random random{ 1 };
  CHECK(Choose(rows, 250ms, price, random) == 0);
}

TEST_CASE("a worker that cannot be reached is worse than the dearest crossing")
{
  // The link to the worker at home is cut. Bookings sent there hang until their
  // deadline; those under way are the first sign, failures come a second later.
  // With the loss at home bounded by that of a late answer, 3,000 of 13,000
  // bookings went there to die, as a crossing cost a little more.
  std::vector<WorkerRow> rows{ Row("home", "solna"), Row("away", "kista") };
  Tell(rows[0], 250ms, 80ms);
  Tell(rows[1], 250ms, 80ms);
  Random random{ 1 };
  constexpr double kDear = 0.62;
  CHECK(Choose(rows, 250ms, kDear, random) == 0);
  rows[0].m_inFlight = 200;
  CHECK(Choose(rows, 250ms, kDear, random) == 1);
  rows[0].m_inFlight = 0;
  rows[0].m_failures = 0.8;
  CHECK(Choose(rows, 250ms, kDear, random) == 1);
}

TEST_CASE("a worker that has just come is not rushed, and is tried")
{
  // It is cold for some seconds. Taken for a fast one, it gets a call from
  // every daemon at once before it has answered any; never tried, it would
  // idle while the others are full.
  std::vector<WorkerRow> rows{ Row("a", "solna"),
                               Row("b", "solna"),
                               Row("new", "solna") };
  Tell(rows[0], kExport, 280ms);
  Tell(rows[1], kExport, 320ms);
  Random random{ 1 };
  int tried = 0;
  for (int i = 0; i < 1000; ++i) {
    tried += Choose(rows, kExport, 0.56, random) == 2 ? 1 : 0;
  }
  CHECK(tried > 10);
  CHECK(tried < 60);
  rows[2].m_inFlight = 1;
  for (int i = 0; i < 1000; ++i) {
    CHECK(Choose(rows, kExport, 0.56, random) != 2);
  }
}

namespace {

/// One worker of eight slots through a burst of one and a half times what it
/// can do, in virtual time; calls of 100 ms with 300 ms to their target.
struct Burst
{
  int m_inTarget{ 0 };
  int m_late{ 0 };
  int m_refused{ 0 };
  Duration m_longestRefusal{ 0 };
};

Burst
RunBurst()
{
  constexpr auto kService = 100ms;
  constexpr auto kEvery = std::chrono::microseconds{ 8333 };
  RunTable table{ { .m_slots = 8, .m_queue = 200 } };
  Burst result;
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
  const auto carry = [&](const RunActions& aActions) {
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
      carry(table.Finish(now, key));
    }
    now = aUntil;
    carry(table.OnTick(now));
  };
  for (std::uint64_t call = 1; call <= 1200; ++call) {
    runTo(now + kEvery);
    const CallKey key{ 1, call };
    arrived[key] = now;
    RunActions out;
    const Admission admission = table.Admit(now,
                                            key,
                                            1,
                                            { .m_priority = 1,
                                              .m_kind = 300ms,
                                              .m_timeLeft = 2s,
                                              .m_targetLeft = 300ms },
                                            out);
    carry(out);
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

TEST_CASE("in a long burst nearly all that is run meets its target")
{
  // Half again as much comes as can be done, for ten seconds. First come,
  // first served lets every call wait until all are late: 800 runs of 1,200
  // would meet no target after the first second. Refused are only those that
  // cannot be served, and at once.
  const Burst result = RunBurst();
  CHECK(result.m_inTarget > 720);
  CHECK(result.m_late < 60);
  CHECK(result.m_inTarget + result.m_late + result.m_refused == 1200);
  CHECK(result.m_longestRefusal <= 700ms);
}

TEST_CASE("a release goes before lookups that wait, not before those that run")
{
  RunTable table{ { .m_slots = 1, .m_queue = 10 } };
  RunActions out;
  const auto admit = [&](std::uint64_t aCall, std::uint32_t aPriority) {
    return table
      .Admit(kStart,
             { 1, aCall },
             1,
             { .m_priority = aPriority,
               .m_kind = 500ms,
               .m_timeLeft = 2s,
               .m_targetLeft = 500ms },
             out)
      .m_kind;
  };
  REQUIRE(admit(1, 2) == Admission::Kind::Start);
  REQUIRE(admit(2, 2) == Admission::Kind::Queued);
  REQUIRE(admit(3, 1) == Admission::Kind::Queued);
  const RunActions next = table.Finish(kStart + 10ms, { 1, 1 });
  REQUIRE(next.m_start.size() == 1);
  CHECK(next.m_start[0].m_call == 3);
}
