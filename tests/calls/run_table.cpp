#include "greengagehub/calls/run_table.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

/// Demand of a call whose target is its deadline.
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

TEST_CASE("a request that arrives after its cancellation is not executed")
{
  // The call has already been reported as not run.
  RunTable table{ {} };
  CHECK(table.Cancel(kStart, { 1, 7 }) == CancelResult::NotStarted);
  CHECK(Admit(table, 7).m_kind == Admission::Kind::Refused);
  CHECK(table.Running() == 0);
}

TEST_CASE("a duplicate request is executed once")
{
  RunTable table{ {} };
  CHECK(Admit(table, 7).m_kind == Admission::Kind::Start);
  CHECK(Admit(table, 7).m_kind == Admission::Kind::Duplicate);
  CHECK(table.Running() == 1);
}

TEST_CASE("attempts queued from an older connection never start")
{
  // Guards against executing a call twice after its caller reconnects.
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
  const auto urgent =
    table.Admit(kStart, { 1, 7 }, 1, Demand(CallClass::Critical, 1s), out);
  CHECK(urgent.m_kind == Admission::Kind::Queued);
  REQUIRE(out.m_refused.size() == 1);
  CHECK(out.m_refused[0].m_key.m_call == 2);
}

TEST_CASE("a call that cannot be answered in time is refused at once")
{
  RunTable table{ { .m_slots = 1 } };
  REQUIRE(Admit(table, 1).m_kind == Admission::Kind::Start);
  const auto rejected = Admit(table, 2, CallClass::Critical, 1ms);
  CHECK(rejected.m_kind == Admission::Kind::Refused);
  CHECK(rejected.m_reason == RefusalReason::DeadlineTooShort);
  CHECK(rejected.m_retryAfter > 0ms);
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

TEST_CASE("draining refuses queued and new attempts and lets runs finish")
{
  RunTable table{ { .m_slots = 1 } };
  REQUIRE(Admit(table, 1).m_kind == Admission::Kind::Start);
  REQUIRE(Admit(table, 2).m_kind == Admission::Kind::Queued);
  CHECK(table.StartDraining(kStart).m_refused.size() == 1);
  CHECK(Admit(table, 3).m_reason == RefusalReason::Leaving);
  CHECK(table.Running() == 1);
}

TEST_CASE("the usable slots grow during the warm-up")
{
  RunTable table{ { .m_slots = 10, .m_queue = 40, .m_warmUp = 10s } };
  CHECK(Admit(table, 1).m_kind == Admission::Kind::Start);
  CHECK(Admit(table, 2).m_kind == Admission::Kind::Queued);
  CHECK(table.OnTick(kStart + 5s).m_start.empty());
  RunActions out;
  const auto admitted =
    table.Admit(kStart + 6s, { 1, 9 }, 1, Demand(CallClass::Critical, 1s), out);
  CHECK(admitted.m_kind == Admission::Kind::Start);
}

TEST_CASE("an evicted attempt is never reported as not started")
{
  // Guards against a retry that executes the call twice.
  RunTable table{ { .m_retention = 10s } };
  REQUIRE(Admit(table, 5).m_kind == Admission::Kind::Start);
  static_cast<void>(table.Finish(kStart, { 1, 5 }));
  CHECK(table.Cancel(kStart, { 1, 5 }) == CancelResult::Finished);
  static_cast<void>(table.OnTick(kStart + 11s));
  CHECK(table.RetainedCount() == 0);
  CHECK(table.Cancel(kStart + 11s, { 1, 5 }) == CancelResult::Evicted);
  // A duplicate of its request is not executed either.
  RunActions out;
  const auto duplicate = table.Admit(
    kStart + 11s, { 1, 5 }, 1, Demand(CallClass::Critical, 1s), out);
  CHECK(duplicate.m_kind == Admission::Kind::Duplicate);
  CHECK(Admit(table, 6).m_kind == Admission::Kind::Start);
  CHECK(table.Cancel(kStart + 11s, { 2, 5 }) == CancelResult::NotStarted);
}

TEST_CASE("the number of ended attempts kept is limited")
{
  RunTable table{ { .m_maxRetained = 100 } };
  for (std::uint64_t call = 1; call <= 1000; ++call) {
    REQUIRE(Admit(table, call).m_kind == Admission::Kind::Start);
    static_cast<void>(table.Finish(kStart, { 1, call }));
  }
  CHECK(table.RetainedCount() <= 100);
}

TEST_CASE("a call that asks not to be queued is refused as busy")
{
  // Guards against calls queued at one worker while others are idle.
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
  // A run of 200 ms, so that the expected wait is long.
  REQUIRE(admit(1, true).m_kind == Admission::Kind::Start);
  static_cast<void>(table.Finish(kStart + 200ms, { 1, 1 }));
  REQUIRE(admit(2, true).m_kind == Admission::Kind::Start);
  REQUIRE(admit(3, true).m_kind == Admission::Kind::Start);
  const Admission busy = admit(4, true);
  CHECK(busy.m_kind == Admission::Kind::Refused);
  CHECK(busy.m_reason == RefusalReason::Busy);
  CHECK(admit(5, false).m_kind == Admission::Kind::Queued);
}
