#include "greengagehub/calls/call.hpp"

namespace greengagehub {

std::string_view
NameOf(RefusalReason aReason) noexcept
{
  switch (aReason) {
    case RefusalReason::None:
      return "none";
    case RefusalReason::NoRoute:
      return "no-route";
    case RefusalReason::NoWorker:
      return "no-worker";
    case RefusalReason::Overloaded:
      return "overloaded";
    case RefusalReason::DeadlineTooShort:
      return "deadline-too-short";
    case RefusalReason::DeadlinePassed:
      return "deadline-passed";
    case RefusalReason::Leaving:
      return "leaving";
    case RefusalReason::Cancelled:
      return "cancelled";
    case RefusalReason::WorkerUnreachable:
      return "worker-unreachable";
    case RefusalReason::LinkLost:
      return "link-lost";
    case RefusalReason::AnswerLost:
      return "answer-lost";
    case RefusalReason::TooDeep:
      return "too-deep";
    case RefusalReason::NotReady:
      return "not-ready";
    case RefusalReason::Restarted:
      return "restarted";
    case RefusalReason::WorkerRefused:
      return "worker-refused";
    case RefusalReason::Busy:
      return "busy";
    case RefusalReason::WorkerReplaced:
      return "worker-replaced";
    case RefusalReason::WorkerCrashed:
      return "worker-ended";
    case RefusalReason::Quarantined:
      return "held";
    case RefusalReason::NotInService:
      return "not-in-service";
    case RefusalReason::RetryBudgetExhausted:
      return "no-repeats";
    case RefusalReason::UnknownKey:
      return "unknown-key";
    case RefusalReason::OverQuota:
      return "over-quota";
    case RefusalReason::NoCoordinator:
      return "no-coordinator";
    case RefusalReason::KeysNotCurrent:
      return "keys-not-current";
    case RefusalReason::RateLimited:
      return "rate-limited";
    case RefusalReason::LinkBusy:
      return "link-busy";
    case RefusalReason::ConfigBehind:
      return "config-behind";
  }
  return "none";
}

std::string_view
NameOf(CallOutcome aOutcome) noexcept
{
  switch (aOutcome) {
    case CallOutcome::Answered:
      return "answered";
    case CallOutcome::NotRun:
      return "not-run";
    case CallOutcome::Unknown:
      return "unknown";
  }
  return "unknown";
}

CallAnswer
Refuse(std::uint64_t aCall,
       CallOutcome aOutcome,
       RefusalReason aReason,
       std::chrono::milliseconds aRetryAfter)
{
  CallAnswer answer;
  answer.m_call = aCall;
  answer.m_outcome = aOutcome;
  answer.m_reason = aReason;
  answer.m_retryAfter = aRetryAfter;
  return answer;
}

bool
IsIdempotentMethod(std::string_view aMethod) noexcept
{
  return aMethod == "GET" || aMethod == "HEAD" || aMethod == "PUT" ||
         aMethod == "DELETE" || aMethod == "OPTIONS" || aMethod == "TRACE";
}

}
