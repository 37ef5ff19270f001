#include "greengagehub/calls/dispatcher.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };
constexpr Fingerprint kFingerprint{ 1, 1 };
constexpr int kWorkers = 8;

/// A dispatcher whose attempts a test answers.
class TestCaller
{
public:
  using AnswerAttempt = std::function<CallAnswer(const SendAttempt&)>;

  TestCaller()
  {
    for (int i = 0; i < kWorkers; ++i) {
      WorkerRow row;
      row.m_slot = std::to_string(i);
      row.m_service = "locker-app";
      m_dispatcher.Workers().Put(std::move(row));
    }
    m_dispatcher.SetRetryLimits({ .m_share = 1.0, .m_slack = 100.0 });
    m_dispatcher.SetQuarantine(m_quarantine);
  }

  /// \returns The final answer; the attempts are in m_sends.
  CallAnswer Call(const AnswerAttempt& aAnswer)
  {
    CallPlan plan;
    plan.m_service = "locker-app";
    plan.m_idempotent = true;
    plan.m_deadline = kStart + 1s;
    plan.m_retriesLeft = 3;
    plan.m_fingerprint = kFingerprint;
    m_sends.clear();
    auto actions = m_dispatcher.Begin(kStart, ++m_lastCall, std::move(plan));
    while (const auto* send = std::get_if<SendAttempt>(&actions.front())) {
      m_sends.push_back(*send);
      CallAnswer answer = aAnswer(*send);
      answer.m_call = send->m_attempt;
      actions = m_dispatcher.OnAnswer(kStart, std::move(answer));
    }
    return std::get<FinishCall>(actions.front()).m_answer;
  }

  /// \returns The answer for a worker that crashes during the call.
  CallAnswer Crash()
  {
    CrashReport report{ ++m_lastCrash, "lockers-1", "locker-app", {}, {} };
    report.m_ran.push_back({ kFingerprint, 40ms, std::nullopt });
    const TimePoint at = kStart + std::chrono::seconds{ m_lastCrash };
    static_cast<void>(m_quarantine.OnUpdate(at, { { report }, {} }));
    CallAnswer answer =
      Refuse(0, CallOutcome::Unknown, RefusalReason::WorkerCrashed);
    answer.m_reachedWorker = true;
    answer.m_crashCount = m_quarantine.CrashCount(kFingerprint);
    return answer;
  }

  Quarantine m_quarantine;
  Dispatcher m_dispatcher{ 1 };
  std::vector<SendAttempt> m_sends;
  std::uint64_t m_lastCall{ 0 };
  std::uint64_t m_lastCrash{ 0 };
};

CallAnswer
SuccessAnswer()
{
  CallAnswer answer;
  answer.m_outcome = CallOutcome::Answered;
  answer.m_response.m_status = 200;
  return answer;
}

}

TEST_CASE("a call that crashes its worker is retried once, then quarantined")
{
  TestCaller caller;
  const auto crashes = [&](const SendAttempt&) { return caller.Crash(); };
  CHECK(caller.Call(crashes).m_outcome == CallOutcome::Unknown);
  CHECK(caller.m_sends.size() == 2);
  CHECK(caller.Call(crashes).m_outcome == CallOutcome::Unknown);
  CHECK(caller.m_sends.size() == 1);
  const CallAnswer quarantined = caller.Call(crashes);
  CHECK(caller.m_sends.empty());
  CHECK(quarantined.m_outcome == CallOutcome::NotRun);
  CHECK(quarantined.m_reason == RefusalReason::Quarantined);
  // The call is refused until the quarantine expires.
  CHECK(quarantined.m_retryAfter > 9min);
}

TEST_CASE("a call quarantined during an attempt is not retried")
{
  // Its first attempt was rejected, so the outcome is still "not run".
  TestCaller caller;
  const CallAnswer answer = caller.Call([&](const SendAttempt&) {
    static_cast<void>(caller.Crash());
    static_cast<void>(caller.Crash());
    static_cast<void>(caller.Crash());
    return Refuse(0, CallOutcome::NotRun, RefusalReason::Overloaded);
  });
  CHECK(caller.m_sends.size() == 1);
  CHECK(answer.m_outcome == CallOutcome::NotRun);
  CHECK(answer.m_reason == RefusalReason::Quarantined);
}

TEST_CASE("a call quarantined by the worker's daemon is not retried")
{
  // The caller's daemon has not received the quarantine entry yet.
  TestCaller caller;
  const CallAnswer answer = caller.Call([](const SendAttempt&) {
    return Refuse(0, CallOutcome::NotRun, RefusalReason::Quarantined, 5min);
  });
  CHECK(caller.m_sends.size() == 1);
  CHECK(answer.m_reason == RefusalReason::Quarantined);
  CHECK(answer.m_retryAfter == 5min);
}

TEST_CASE("a call skips unreachable workers")
{
  // Guards against refusing a call while reachable workers are idle.
  TestCaller caller;
  for (int i = 0; i < 200; ++i) {
    const CallAnswer answer = caller.Call([](const SendAttempt& aSend) {
      const bool isUnreachable = aSend.m_slot < "5";
      return isUnreachable ? Refuse(0,
                                    CallOutcome::NotRun,
                                    RefusalReason::WorkerUnreachable)
                           : SuccessAnswer();
    });
    CHECK(answer.m_outcome == CallOutcome::Answered);
  }
}

TEST_CASE("if all workers are unreachable, attempts are limited")
{
  TestCaller caller;
  const CallAnswer answer = caller.Call([](const SendAttempt&) {
    return Refuse(0, CallOutcome::NotRun, RefusalReason::WorkerUnreachable);
  });
  CHECK(answer.m_outcome == CallOutcome::NotRun);
  CHECK(caller.m_sends.size() <= 7);
}

TEST_CASE(
  "a fingerprint with two crashes goes to the same worker from all daemons")
{
  // Guards against copies that crash several workers before the third crash is
  // known.
  std::set<std::string> slots;
  for (int i = 0; i < 5; ++i) {
    TestCaller caller;
    static_cast<void>(caller.Crash());
    static_cast<void>(caller.Crash());
    for (int copies = 0; copies < 4; ++copies) {
      static_cast<void>(caller.Call([](const SendAttempt&) {
        return Refuse(
          0, CallOutcome::NotRun, RefusalReason::Quarantined, 100ms);
      }));
      REQUIRE(caller.m_sends.size() == 1);
      slots.insert(caller.m_sends[0].m_slot);
    }
  }
  CHECK(slots.size() == 1);
}
