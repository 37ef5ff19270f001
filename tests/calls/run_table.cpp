#include "greengagehub/calls/run_table.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

/// A call without a target of its own.
WorkDemand
Demand(CallClass aClass, std::chrono::microseconds aTimeLeft)
{
  return {
    aClass, static_cast<std::uint32_t>(aClass), 0ms, aTimeLeft, aTimeLeft
  };
}

Admission
Admit(RunTable& aTable,
      std::uint64_t aCall,
      CallClass aClass = CallClass::Critical,
      std::chrono::microseconds aTimeLeft = 1s)
{
  RunActions out;
  return aTable.Admit(kStart, { 1, aCall }, 1, Demand(aClass, aTimeLeft), out);
}

}

TEST_CASE("a cancellation that overtakes its request keeps it from running")
{
  // A tenant's release is cancelled by the caller's daemon; the cancellation
  // arrives before the request, is answered "not started", and the caller is
  // told "not run". If the request then ran, the compartment would open.
  RunTable table{ {} };
  CHECK(table.Cancel(kStart, { 1, 7 }) == CancelResult::NotStarted);
  CHECK(Admit(table, 7).m_kind == Admission::Kind::Refused);
  CHECK(table.Running() == 0);
}

TEST_CASE("a repeated request runs once")
{
  RunTable table{ {} };
  CHECK(Admit(table, 7).m_kind == Admission::Kind::Start);
  CHECK(Admit(table, 7).m_kind == Admission::Kind::Repeated);
  CHECK(table.Running() == 1);
}

TEST_CASE("what was queued on an older connection never starts")
{
  // A link goes silent with a release queued behind it. The caller opens a
  // new one and is told "not run" of the old attempt, so that it may try
  // elsewhere. The old attempt must not start when a slot comes free.
  RunTable table{ { .m_slots = 1 } };
  REQUIRE(Admit(table, 1).m_kind == Admission::Kind::Start);
  REQUIRE(Admit(table, 2).m_kind == Admission::Kind::Queued);
  table.CloseEpochs(kStart, 1, 2);
  CHECK(table.Finish(kStart, { 1, 1 }).m_start.empty());
  CHECK(table.Cancel(kStart, { 1, 2 }) == CancelResult::NotStarted);
}

TEST_CASE("overload sheds the lowest class first")
{
  RunTable table{ { .m_slots = 1, .m_queue = 4 } };
  REQUIRE(Admit(table, 1).m_kind == Admission::Kind::Start);
  REQUIRE(Admit(table, 2, CallClass::Export).m_kind == Admission::Kind::Queued);
  CHECK(Admit(table, 3, CallClass::Export).m_reason ==
        RefusalReason::Overloaded);
  REQUIRE(Admit(table, 4).m_kind == Admission::Kind::Queued);
  REQUIRE(Admit(table, 5).m_kind == Admission::Kind::Queued);
  REQUIRE(Admit(table, 6).m_kind == Admission::Kind::Queued);
  RunActions out;
  const auto last =
    table.Admit(kStart, { 1, 7 }, 1, Demand(CallClass::Critical, 1s), out);
  CHECK(last.m_kind == Admission::Kind::Queued);
  REQUIRE(out.m_refused.size() == 1);
  CHECK(out.m_refused[0].m_key.m_call == 2);
}

TEST_CASE("a call that cannot be answered in time is refused at once")
{
  RunTable table{ { .m_slots = 1 } };
  REQUIRE(Admit(table, 1).m_kind == Admission::Kind::Start);
  const auto late = Admit(table, 2, CallClass::Critical, 1ms);
  CHECK(late.m_kind == Admission::Kind::Refused);
  CHECK(late.m_reason == RefusalReason::DeadlineTooShort);
  CHECK(late.m_retryAfter > 0ms);
}

TEST_CASE("a queued call is refused before its deadline, not after")
{
  RunTable table{ { .m_slots = 1 } };
  REQUIRE(Admit(table, 1).m_kind == Admission::Kind::Start);
  REQUIRE(Admit(table, 2, CallClass::Critical, 50ms).m_kind ==
          Admission::Kind::Queued);
  REQUIRE(table.NextExpiry());
  CHECK(*table.NextExpiry() < kStart + 50ms);
  const RunActions out = table.OnTick(*table.NextExpiry());
  REQUIRE(out.m_refused.size() == 1);
  CHECK(out.m_refused[0].m_reason == RefusalReason::DeadlinePassed);
}

TEST_CASE("leaving refuses what waits and what comes, and lets runs finish")
{
  RunTable table{ { .m_slots = 1 } };
  REQUIRE(Admit(table, 1).m_kind == Admission::Kind::Start);
  REQUIRE(Admit(table, 2).m_kind == Admission::Kind::Queued);
  CHECK(table.StartLeaving(kStart).m_refused.size() == 1);
  CHECK(Admit(table, 3).m_reason == RefusalReason::Leaving);
  CHECK(table.Running() == 1);
}

TEST_CASE("a cold worker opens its slots little by little")
{
  RunTable table{ { .m_slots = 10, .m_queue = 40, .m_warmUp = 10s } };
  CHECK(Admit(table, 1).m_kind == Admission::Kind::Start);
  CHECK(Admit(table, 2).m_kind == Admission::Kind::Queued);
  CHECK(table.OnTick(kStart + 5s).m_start.empty());
  RunActions out;
  const auto later =
    table.Admit(kStart + 6s, { 1, 9 }, 1, Demand(CallClass::Critical, 1s), out);
  CHECK(later.m_kind == Admission::Kind::Start);
}

TEST_CASE("an attempt that was forgotten is never said not to have run")
{
  // A release ran, and so long ago that its entry is gone. Its caller's
  // daemon, cut off meanwhile, asks about it. "Not started" would be a false
  // "not run", and the release would be made a second time.
  RunTable table{ { .m_remember = 10s } };
  REQUIRE(Admit(table, 5).m_kind == Admission::Kind::Start);
  static_cast<void>(table.Finish(kStart, { 1, 5 }));
  CHECK(table.Cancel(kStart, { 1, 5 }) == CancelResult::Finished);
  static_cast<void>(table.OnTick(kStart + 11s));
  CHECK(table.Remembered() == 0);
  CHECK(table.Cancel(kStart + 11s, { 1, 5 }) == CancelResult::Forgotten);
  // Nor may a copy of its request run again.
  RunActions out;
  const auto repeated = table.Admit(
    kStart + 11s, { 1, 5 }, 1, Demand(CallClass::Critical, 1s), out);
  CHECK(repeated.m_kind == Admission::Kind::Repeated);
  // Later attempts and other processes are not touched by that.
  CHECK(Admit(table, 6).m_kind == Admission::Kind::Start);
  CHECK(table.Cancel(kStart + 11s, { 2, 5 }) == CancelResult::NotStarted);
}

TEST_CASE("memory of ended attempts is bounded in number")
{
  RunTable table{ { .m_maxRemembered = 100 } };
  for (std::uint64_t call = 1; call <= 1000; ++call) {
    REQUIRE(Admit(table, call).m_kind == Admission::Kind::Start);
    static_cast<void>(table.Finish(kStart, { 1, call }));
  }
  CHECK(table.Remembered() <= 100);
}

TEST_CASE("a call that another worker could take at once is not queued")
{
  // Sixty callers each know of a worker what its last answer told, seconds ago.
  // All send their next call to the one that looked best; it waits there while
  // the worker beside it is idle.
  RunTable table{ { .m_slots = 2, .m_queue = 10 } };
  RunActions out;
  const auto admit = [&](std::uint64_t aCall, bool aRefuseIfBusy) {
    return table.Admit(kStart,
                       { 1, aCall },
                       1,
                       { .m_kind = 400ms,
                         .m_timeLeft = 2s,
                         .m_targetLeft = 400ms,
                         .m_refuseIfBusy = aRefuseIfBusy },
                       out);
  };
  // A run of 200 ms, so that a wait at both slots is known to be long.
  REQUIRE(admit(1, true).m_kind == Admission::Kind::Start);
  static_cast<void>(table.Finish(kStart + 200ms, { 1, 1 }));
  REQUIRE(admit(2, true).m_kind == Admission::Kind::Start);
  REQUIRE(admit(3, true).m_kind == Admission::Kind::Start);
  const Admission busy = admit(4, true);
  CHECK(busy.m_kind == Admission::Kind::Refused);
  CHECK(busy.m_reason == RefusalReason::Busy);
  // One that has asked all others waits.
  CHECK(admit(5, false).m_kind == Admission::Kind::Queued);
}
