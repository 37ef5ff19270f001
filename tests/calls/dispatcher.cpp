#include "single_call.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;
using namespace greengagehub::test;

TEST_CASE("a non-idempotent call with a lost connection is not retried before "
          "its state is known")
{
  // Guards against running a call twice that must run at most once.
  SingleCall call{ false };
  call.Apply(call.m_dispatcher.OnLinkLost(kStart, call.m_slot));
  CHECK(call.m_sends == 1);
  CHECK_FALSE(call.m_final);
  call.Apply(
    call.m_dispatcher.OnLinkUp(kStart, call.m_slot, SingleCall::kProcess));
  CHECK(call.m_cancels == 1);

  SUBCASE("not started: it is retried at the other worker")
  {
    call.Apply(call.m_dispatcher.OnCancelResult(
      kStart, call.m_attempt, AttemptState::NotStarted));
    CHECK(call.m_sends == 2);
  }
  SUBCASE("started: its answer is awaited")
  {
    const auto attempt = call.m_attempt;
    call.Apply(
      call.m_dispatcher.OnCancelResult(kStart, attempt, AttemptState::Started));
    CHECK_FALSE(call.m_final);
    CallAnswer answer;
    answer.m_call = attempt;
    answer.m_outcome = CallOutcome::Answered;
    call.Apply(call.m_dispatcher.OnAnswer(kStart, answer));
    REQUIRE(call.m_final);
    CHECK(call.m_final->m_outcome == CallOutcome::Answered);
  }
  SUBCASE("lost: the outcome is unknown, without a retry")
  {
    call.Apply(call.m_dispatcher.OnCancelResult(
      kStart, call.m_attempt, AttemptState::Lost));
    REQUIRE(call.m_final);
    CHECK(call.m_final->m_outcome == CallOutcome::Unknown);
    CHECK(call.m_sends == 1);
  }
}

TEST_CASE("a non-idempotent call has an unknown outcome once its daemon has "
          "restarted")
{
  SingleCall call{ false };
  call.Apply(call.m_dispatcher.OnLinkLost(kStart, call.m_slot));
  call.Apply(call.m_dispatcher.OnLinkUp(kStart, call.m_slot, 78));
  REQUIRE(call.m_final);
  CHECK(call.m_final->m_outcome == CallOutcome::Unknown);
  CHECK(call.m_sends == 1);
}

TEST_CASE("an idempotent call with a lost connection is retried at once")
{
  SingleCall call{ true };
  call.Apply(call.m_dispatcher.OnLinkLost(kStart, call.m_slot));
  CHECK(call.m_sends == 2);
}

TEST_CASE("an idempotent call without another worker outlives its connection")
{
  // Guards against a failure of a call that its worker runs, because the
  // worker's daemon was late.
  SingleCall call{ true };
  call.m_dispatcher.Workers().MarkUnavailable(call.m_slot == "a" ? "b" : "a");
  call.Apply(call.m_dispatcher.OnLinkLost(kStart, call.m_slot));
  CHECK(call.m_sends == 1);
  CHECK_FALSE(call.m_final);
  SUBCASE("its worker answers")
  {
    call.Apply(
      call.m_dispatcher.OnLinkUp(kStart, call.m_slot, SingleCall::kProcess));
    CHECK(call.m_cancels == 1);
    call.Apply(call.m_dispatcher.OnCancelResult(
      kStart, call.m_attempt, AttemptState::Started));
    CallAnswer answer;
    answer.m_call = call.m_attempt;
    answer.m_outcome = CallOutcome::Answered;
    call.Apply(call.m_dispatcher.OnAnswer(kStart, answer));
    REQUIRE(call.m_final);
    CHECK(call.m_final->m_outcome == CallOutcome::Answered);
  }
  SUBCASE("the worker's daemon has exited")
  {
    call.Apply(call.m_dispatcher.OnLinkUp(kStart, call.m_slot, 0));
    REQUIRE(call.m_final);
    CHECK(call.m_final->m_outcome == CallOutcome::Unknown);
  }
}

TEST_CASE("a call is not retried where its caller's daemon is behind")
{
  // Guards against attempts at further daemons, which all have the newer
  // version.
  SingleCall call{ true };
  CallAnswer answer =
    Refuse(call.m_attempt, CallOutcome::NotRun, RefusalReason::ConfigBehind);
  call.Apply(call.m_dispatcher.OnAnswer(kStart, answer));
  CHECK(call.m_sends == 1);
  REQUIRE(call.m_final);
  CHECK(call.m_final->m_outcome == CallOutcome::NotRun);
}

TEST_CASE("the answer of an abandoned attempt is ignored")
{
  SingleCall call{ true };
  const auto first = call.m_attempt;
  call.Apply(call.m_dispatcher.OnLinkLost(kStart, call.m_slot));
  CallAnswer late;
  late.m_call = first;
  late.m_outcome = CallOutcome::Answered;
  call.Apply(call.m_dispatcher.OnAnswer(kStart, late));
  CHECK_FALSE(call.m_final);
}

TEST_CASE("a call without an answer at its deadline has an unknown outcome")
{
  SingleCall call{ false };
  REQUIRE(call.m_dispatcher.NextDeadline());
  call.Apply(call.m_dispatcher.OnTick(*call.m_dispatcher.NextDeadline()));
  REQUIRE(call.m_final);
  CHECK(call.m_final->m_outcome == CallOutcome::Unknown);
  CHECK(call.m_final->m_reason == RefusalReason::DeadlinePassed);
  CHECK(call.m_cancels == 1);
  CHECK(call.m_dispatcher.InFlight() == 0);
}

TEST_CASE("calls that are ended early get an answer and are canceled")
{
  // Guards against connections that are cut with the process at the last moment
  // of a drain.
  SingleCall call{ true };
  call.Apply(call.m_dispatcher.EndAll(kStart + 100ms));
  CHECK(call.m_cancels == 1);
  REQUIRE(call.m_final);
  CHECK(call.m_final->m_outcome == CallOutcome::Unknown);
  CHECK(call.m_dispatcher.InFlight() == 0);
}

TEST_CASE("retries are limited to a share of calls")
{
  // Guards against retries that multiply the load while every worker refuses.
  Dispatcher dispatcher{ 1 };
  for (int i = 0; i < 10; ++i) {
    WorkerRow row;
    row.m_slot = std::to_string(i);
    row.m_service = "s";
    dispatcher.Workers().Put(std::move(row));
  }
  std::size_t sends = 0;
  constexpr std::uint64_t kCalls = 10'000;
  for (std::uint64_t id = 1; id <= kCalls; ++id) {
    CallPlan plan;
    plan.m_service = "s";
    plan.m_deadline = kStart + 1s;
    plan.m_retriesLeft = 5;
    DispatchActions actions = dispatcher.Begin(kStart, id, std::move(plan));
    while (const auto* send = std::get_if<SendAttempt>(&actions.front())) {
      ++sends;
      actions = dispatcher.OnAnswer(kStart,
                                    Refuse(send->m_attempt,
                                           CallOutcome::NotRun,
                                           RefusalReason::Overloaded));
    }
  }
  CHECK(sends <= kCalls * 111 / 100);
}

namespace {

/// A dispatcher with ten workers that share one answer function.
class UniformWorkers
{
public:
  UniformWorkers()
  {
    for (int i = 0; i < 10; ++i) {
      WorkerRow row;
      row.m_slot = std::to_string(i);
      row.m_service = "board";
      m_dispatcher.Workers().Put(std::move(row));
    }
    m_dispatcher.SetRetryLimits({ .m_share = 1.0, .m_slack = 0.0 });
  }

  /// \returns Number of attempts of one call, each answered by `aAnswer`.
  template<class Answer>
  int Call(Answer aAnswer)
  {
    CallPlan plan;
    plan.m_service = "board";
    plan.m_idempotent = true;
    plan.m_deadline = kStart + 1s;
    plan.m_target = kStart + 500ms;
    plan.m_retriesLeft = 3;
    int attempts = 0;
    auto actions = m_dispatcher.Begin(kStart, ++m_lastCall, std::move(plan));
    while (const auto* send = std::get_if<SendAttempt>(&actions.front())) {
      ++attempts;
      actions = m_dispatcher.OnAnswer(kStart, aAnswer(send->m_attempt));
    }
    return attempts;
  }

private:
  Dispatcher m_dispatcher{ 1 };
  std::uint64_t m_lastCall{ 0 };
};

}

TEST_CASE("calls are retried while workers shed most of their load")
{
  // Guards against giving up while the retry budget is unused.
  UniformWorkers workers;
  int number = 0;
  int attempts = 0;
  constexpr int kCalls = 400;
  for (int i = 0; i < kCalls; ++i) {
    attempts += workers.Call([&](std::uint64_t aAttempt) {
      CallAnswer answer;
      answer.m_call = aAttempt;
      answer.m_outcome = CallOutcome::Answered;
      if (++number % 4 != 0) {
        answer =
          Refuse(aAttempt, CallOutcome::NotRun, RefusalReason::WorkerRefused);
      }
      answer.m_reachedWorker = true;
      answer.m_slots = 6;
      return answer;
    });
  }
  CHECK(attempts >= kCalls * 19 / 10);
  CHECK(attempts <= kCalls * 2);
}

TEST_CASE("a failure common to all workers is not retried")
{
  // Guards against retries that overload a service behind the workers.
  UniformWorkers workers;
  const auto serverError = [](std::uint64_t aAttempt) {
    CallAnswer answer;
    answer.m_call = aAttempt;
    answer.m_outcome = CallOutcome::Answered;
    answer.m_reachedWorker = true;
    answer.m_response.m_status = 500;
    answer.m_slots = 6;
    return answer;
  };
  for (int i = 0; i < 50; ++i) {
    static_cast<void>(workers.Call(serverError));
  }
  int attempts = 0;
  for (int i = 0; i < 50; ++i) {
    attempts += workers.Call(serverError);
  }
  CHECK(attempts == 50);
}

namespace {

/// A dispatcher with four workers in its own domain, one in another, and one
/// call in flight.
class DomainFixture
{
public:
  DomainFixture()
  {
    m_dispatcher.Routing().m_domain = "solna";
    for (const char* slot : { "a", "b", "c", "d" }) {
      Put(slot, "solna");
    }
    Put("far", "kista");
    CallPlan plan;
    plan.m_service = "board";
    plan.m_deadline = kStart + 2s;
    plan.m_target = kStart + 400ms;
    plan.m_kind = 400ms;
    plan.m_crossingCost = 0.5;
    Apply(m_dispatcher.Begin(kStart, 1, std::move(plan)));
  }

  void Put(const char* aSlot, const char* aDomain)
  {
    WorkerRow row;
    row.m_slot = aSlot;
    row.m_service = "board";
    row.m_domain = aDomain;
    row.m_slots = 6;
    m_dispatcher.Workers().Put(std::move(row));
  }

  /// The worker of the last attempt refuses it as busy.
  void RefuseAsBusy(std::chrono::milliseconds aWait)
  {
    CallAnswer answer =
      Refuse(m_send.m_attempt, CallOutcome::NotRun, RefusalReason::Busy);
    answer.m_slots = 6;
    answer.m_serviceTime = 100ms;
    answer.m_wait = aWait;
    Apply(m_dispatcher.OnAnswer(kStart, std::move(answer)));
  }

  void Apply(const DispatchActions& aActions)
  {
    REQUIRE(aActions.size() == 1);
    const auto* send = std::get_if<SendAttempt>(&aActions.front());
    REQUIRE(send != nullptr);
    m_send = *send;
  }

  Dispatcher m_dispatcher{ 1 };
  SendAttempt m_send;
};

}

TEST_CASE("after two busy workers a call may wait at the next")
{
  DomainFixture fixture;
  const std::string first = fixture.m_send.m_slot;
  CHECK(fixture.m_send.m_refuseIfBusy);
  fixture.RefuseAsBusy(30ms);
  const std::string second = fixture.m_send.m_slot;
  CHECK(second != first);
  CHECK(fixture.m_send.m_refuseIfBusy);
  fixture.RefuseAsBusy(300ms);
  CHECK(fixture.m_send.m_slot != second);
  CHECK_FALSE(fixture.m_send.m_refuseIfBusy);
}

TEST_CASE("busy refusals are not requested while busy replies are slow")
{
  // Guards against calls that lose much of their time to slow busy replies.
  Dispatcher dispatcher{ 1 };
  dispatcher.Routing().m_domain = "solna";
  for (const char* slot : { "a", "b", "c", "d" }) {
    WorkerRow row;
    row.m_slot = slot;
    row.m_service = "board";
    row.m_domain = "solna";
    dispatcher.Workers().Put(std::move(row));
  }
  TimePoint now = kStart;
  const auto requestsRefusal = [&](std::uint64_t aCall, Duration aReplyTime) {
    CallPlan plan;
    plan.m_service = "board";
    plan.m_deadline = now + 1s;
    plan.m_target = now + 120ms;
    plan.m_kind = 120ms;
    const DispatchActions actions =
      dispatcher.Begin(now, aCall, std::move(plan));
    const auto send = std::get<SendAttempt>(actions.front());
    if (send.m_refuseIfBusy) {
      now += aReplyTime;
      static_cast<void>(dispatcher.OnAnswer(
        now, Refuse(send.m_attempt, CallOutcome::NotRun, RefusalReason::Busy)));
    }
    static_cast<void>(dispatcher.OnCallerDisconnected(now, aCall));
    return send.m_refuseIfBusy;
  };
  CHECK(requestsRefusal(1, 80ms));
  CHECK_FALSE(requestsRefusal(2, 80ms));
  // Busy refusals are requested again later, and stay on if replies are fast.
  std::uint64_t call = 3;
  while (!requestsRefusal(call, 100us) && call < 100) {
    ++call;
  }
  CHECK(call > 3);
  CHECK(call < 100);
  CHECK(requestsRefusal(call + 1, 100us));
}

TEST_CASE("a call is not refused because all workers in the domain are busy")
{
  // Guards against a busy reply that is passed to the caller as a refusal.
  DomainFixture fixture;
  for (const char* slot : { "b", "c", "d", "far" }) {
    if (slot != fixture.m_send.m_slot) {
      fixture.m_dispatcher.Workers().Remove(slot);
    }
  }
  const std::string nearSlot = fixture.m_send.m_slot;
  fixture.m_dispatcher.Workers().Remove(nearSlot == "a" ? "b" : "a");
  fixture.RefuseAsBusy(30ms);
  CHECK(fixture.m_send.m_slot == nearSlot);
  CHECK_FALSE(fixture.m_send.m_refuseIfBusy);
}

TEST_CASE("a call does not cross domains because the only near worker is busy")
{
  // Guards against a large answer that crosses to avoid a short wait.
  DomainFixture fixture;
  fixture.Put("far", "kista");
  const std::string nearSlot = fixture.m_send.m_slot;
  for (const char* slot : { "a", "b", "c", "d" }) {
    if (slot != nearSlot) {
      fixture.m_dispatcher.Workers().Remove(slot);
    }
  }
  fixture.RefuseAsBusy(15ms);
  CHECK(fixture.m_send.m_slot == nearSlot);
  CHECK_FALSE(fixture.m_send.m_refuseIfBusy);
}

TEST_CASE("the time of an attempt outside the worker's daemon is recorded")
{
  SingleCall call{ true };
  const auto& workers = call.m_dispatcher.Workers();
  const auto row = workers.Find(call.m_slot);
  REQUIRE(row);
  CallAnswer answer;
  answer.m_call = call.m_attempt;
  answer.m_outcome = CallOutcome::Answered;
  SUBCASE("with the time at the worker")
  {
    answer.m_timeAtWorker = 20ms;
    call.Apply(call.m_dispatcher.OnAnswer(kStart + 100ms, answer));
    CHECK(workers.At(*row).m_transitTime == 10ms);
    CHECK(workers.At(*row).m_transitAt == kStart + 100ms);
  }
  SUBCASE("from a daemon that does not state it: nothing")
  {
    // Guards against run times that count as transit times.
    call.Apply(call.m_dispatcher.OnAnswer(kStart + 100ms, answer));
    CHECK(workers.At(*row).m_transitTime == 0ms);
  }
  SUBCASE("with a time longer than the call: as zero")
  {
    // Guards against a worker that attracts calls by a false time.
    answer.m_timeAtWorker = 10s;
    call.Apply(call.m_dispatcher.OnAnswer(kStart + 100ms, answer));
    CHECK(workers.At(*row).m_transitTime == 0ms);
  }
}

TEST_CASE("busy replies show the transit time of a worker without runs")
{
  // Guards against a worker whose backlog is unknown because it only refuses.
  SingleCall call{ true };
  const std::string first = call.m_slot;
  CallAnswer busy =
    Refuse(call.m_attempt, CallOutcome::NotRun, RefusalReason::Busy);
  busy.m_timeAtWorker = 0ms;
  call.Apply(call.m_dispatcher.OnAnswer(kStart + 40ms, busy));
  const auto& workers = call.m_dispatcher.Workers();
  CHECK(workers.At(*workers.Find(first)).m_transitTime == 5ms);
}
