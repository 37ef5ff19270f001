#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/worker_presence.hpp"

#include <doctest/doctest.h>

// What workers state in their responses, at the daemons of callers.

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };
constexpr const char* kService = "locker-app";

WorkerRow
Row(const std::string& aSlot, IncarnationTag aIncarnation = 1)
{
  WorkerRow row;
  row.m_slot = aSlot;
  row.m_service = kService;
  row.m_slots = 18;
  row.m_incarnation = aIncarnation;
  return row;
}

class Caller
{
public:
  explicit Caller(const std::vector<std::string>& aSlots)
  {
    for (const std::string& each : aSlots) {
      m_dispatcher.Workers().Put(Row(each));
    }
  }

  /// Starts a call; its first action is in m_send or m_final.
  void Begin(TimePoint aNow)
  {
    CallPlan plan;
    plan.m_service = kService;
    plan.m_idempotent = true;
    plan.m_deadline = aNow + 1s;
    plan.m_target = aNow + 500ms;
    Apply(m_dispatcher.Begin(aNow, ++m_lastCall, std::move(plan)));
  }

  void Answer(TimePoint aNow, CallAnswer aAnswer)
  {
    REQUIRE(m_send);
    aAnswer.m_call = m_send->m_attempt;
    Apply(m_dispatcher.OnAnswer(aNow, std::move(aAnswer)));
  }

  void Refuse(TimePoint aNow, std::chrono::milliseconds aRetryAfter)
  {
    Answer(aNow,
           greengagehub::Refuse(
             0, CallOutcome::NotRun, RefusalReason::RateLimited, aRetryAfter));
  }

  [[nodiscard]] WorkerTable& Workers() { return m_dispatcher.Workers(); }

  std::optional<SendAttempt> m_send;
  std::optional<CallAnswer> m_final;

private:
  void Apply(const DispatchActions& aActions)
  {
    m_send.reset();
    m_final.reset();
    for (const DispatchAction& each : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&each)) {
        m_send = *send;
      } else if (const auto* finish = std::get_if<FinishCall>(&each)) {
        m_final = finish->m_answer;
      }
    }
  }

  Dispatcher m_dispatcher{ 1 };
  std::uint64_t m_lastCall{ 0 };
};

CallAnswer
Answered(WorkerStatement aStatement = {})
{
  CallAnswer answer;
  answer.m_outcome = CallOutcome::Answered;
  answer.m_reachedWorker = true;
  answer.m_statement = aStatement;
  return answer;
}

}

TEST_CASE("a worker at its limit gets no call until it has room")
{
  Caller caller{ { "a", "b" } };
  caller.Begin(kStart);
  const std::string limited = caller.m_send->m_slot;
  caller.Refuse(kStart, 300ms);
  REQUIRE(caller.m_send);
  CHECK(caller.m_send->m_slot != limited);
  caller.Answer(kStart, Answered());
  for (int i = 0; i < 50; ++i) {
    caller.Begin(kStart + 299ms);
    CHECK(caller.m_send->m_slot != limited);
    caller.Answer(kStart + 299ms, Answered());
  }
  bool isUsedAgain = false;
  for (int i = 0; i < 50; ++i) {
    // After the refusal's time and at most half of it as jitter.
    caller.Begin(kStart + 451ms);
    isUsedAgain = isUsedAgain || caller.m_send->m_slot == limited;
    caller.Answer(kStart + 451ms, Answered());
  }
  CHECK(isUsedAgain);
}

TEST_CASE("a call for which all workers are at their limits is refused at once")
{
  Caller caller{ { "a", "b" } };
  caller.Begin(kStart);
  caller.Refuse(kStart, 400ms);
  caller.Refuse(kStart, 200ms);
  REQUIRE(caller.m_final);
  CHECK(caller.m_final->m_outcome == CallOutcome::NotRun);
  caller.Begin(kStart + 50ms);
  CHECK_FALSE(caller.m_send);
  REQUIRE(caller.m_final);
  CHECK(caller.m_final->m_outcome == CallOutcome::NotRun);
  CHECK(caller.m_final->m_reason == RefusalReason::RateLimited);
  // The worker that said 200 ms has room first, with half of it as jitter.
  CHECK(caller.m_final->m_retryAfter >= 150ms);
  CHECK(caller.m_final->m_retryAfter <= 250ms);
}

TEST_CASE("refusals by a limit do not count against a worker")
{
  // Guards against its ejection, and against late use of it afterwards.
  Caller caller{ { "a" } };
  for (int i = 0; i < 50; ++i) {
    const TimePoint now = kStart + i * 2s;
    caller.Begin(now);
    caller.Refuse(now, 100ms);
  }
  const WorkerRow& row = caller.Workers().At(*caller.Workers().Find("a"));
  CHECK(row.m_failureShare == 0.0);
  CHECK(row.m_refusalShare == 0.0);
  CHECK(row.m_inFlight == 0);
}

TEST_CASE("a known limit is sent along until the worker no longer states it")
{
  // The worker's daemon may have restarted and not know the limit.
  Caller caller{ { "a" } };
  caller.Begin(kStart);
  CHECK(caller.m_send->m_knownStatement.IsEmpty());
  caller.Answer(kStart, Answered({ 1, 17.3 }));
  caller.Workers().Remove("a");
  caller.Workers().Put(Row("a", 0));
  caller.Begin(kStart + 1s);
  CHECK(caller.m_send->m_knownStatement.m_rateLimit == 17.3);
  CHECK(caller.m_send->m_knownStatement.m_incarnation == 1);

  // A daemon that does not know its worker yet says nothing about the limit.
  caller.Answer(
    kStart + 1s,
    greengagehub::Refuse(0, CallOutcome::NotRun, RefusalReason::NoWorker));
  caller.Begin(kStart + 2s);
  CHECK(caller.m_send->m_knownStatement.m_rateLimit == 17.3);
  caller.Answer(kStart + 2s, Answered());
  caller.Begin(kStart + 3s);
  CHECK(caller.m_send->m_knownStatement.IsEmpty());
}

TEST_CASE("a worker that is leaving gets no calls when its daemon restarts")
{
  // The daemon does not know it any more, and may not know the worker's start.
  Caller caller{ { "a", "b" } };
  caller.Begin(kStart);
  const std::string leaving = caller.m_send->m_slot;
  caller.Workers().Put(Row(leaving, 7));
  caller.Answer(kStart, Answered({ 7, std::nullopt, true }));
  const auto isUsed = [&] {
    bool used = false;
    for (int i = 0; i < 30; ++i) {
      caller.Begin(kStart + 1s);
      used = used || caller.m_send->m_slot == leaving;
      caller.Answer(kStart + 1s, Answered());
    }
    return used;
  };
  CHECK_FALSE(isUsed());
  caller.Workers().Put(Row(leaving, 7));
  CHECK_FALSE(isUsed());
  caller.Workers().Remove(leaving);
  caller.Workers().Put(Row(leaving, 0));
  CHECK_FALSE(isUsed());
  caller.Workers().Put(Row(leaving, 7));
  CHECK_FALSE(isUsed());
  caller.Workers().Put(Row(leaving, 8));
  CHECK(isUsed());
}

TEST_CASE("a late answer of a worker that has left excludes no successor")
{
  Caller caller{ { "a" } };
  caller.Begin(kStart);
  caller.Workers().Put(Row("a", 8));
  caller.Answer(kStart, Answered({ 7, std::nullopt, true }));
  caller.Begin(kStart + 1s);
  CHECK(caller.m_send);
}

TEST_CASE("a worker that states that it is leaving stays so in later reports")
{
  WorkerPresence worker{ 1500ms };
  const WorkerIncarnation incarnation{ "i-1", WallTime{ 1000s } };
  REQUIRE(worker.OnReport(kStart,
                          { .m_incarnation = incarnation, .m_sequence = 1 }) ==
          WorkerPresence::Change::Arrived);
  CHECK(worker.OnLeaving() == WorkerPresence::Change::Leaving);
  CHECK_FALSE(worker.TakesCalls());
  CHECK(worker.OnReport(kStart + 1s,
                        { .m_incarnation = incarnation, .m_sequence = 2 }) ==
        WorkerPresence::Change::None);
  CHECK_FALSE(worker.TakesCalls());
  const WorkerIncarnation next{ "i-1", WallTime{ 2000s } };
  CHECK(
    worker.OnReport(kStart + 2s, { .m_incarnation = next, .m_sequence = 1 }) ==
    WorkerPresence::Change::Arrived);
  CHECK(worker.TakesCalls());
}

TEST_CASE("a probed worker has no tag before its first report")
{
  // A health check has no start time, by which incarnations differ.
  WorkerPresence worker{ 1500ms };
  REQUIRE(worker.OnPrevious({ .m_idTag = IdTagOf("i-1") }) ==
          WorkerPresence::Change::None);
  REQUIRE(worker.OnProbed(kStart, "i-1", "locker-app") ==
          WorkerPresence::Change::Arrived);
  CHECK(worker.CurrentTag() == 0);
  CHECK(worker.OnReport(kStart + 1s,
                        { .m_incarnation = { "i-1" }, .m_sequence = 1 }) ==
        WorkerPresence::Change::Updated);
  CHECK(worker.CurrentTag() == TagOf({ "i-1" }));
}
