#include "greengagehub/daemon/run_service.hpp"

// Outcome of a run from the backend server's response, and answers that are
// kept.

namespace greengagehub {

namespace {

/// How long answers of non-idempotent calls are kept.
constexpr auto kAnswerRetention = std::chrono::seconds{ 5 };
constexpr std::size_t kMaxKeptBytes = 2UL * 1024 * 1024;

}

bool
RunService::IsUnsigned(const HttpResponse& aResponse) const
{
  return IsSuccess(aResponse.m_status) && !m_deps.m_dialect.m_seal.empty() &&
         HeaderValue(aResponse.m_headers, m_deps.m_dialect.m_seal).empty();
}

void
RunService::ReportFault(const BackendResult& aResult, std::string_view aId)
{
  if (aResult.m_fault != ResponseFault::None) {
    m_deps.m_metrics.CountBrokenAnswer(NameOf(aResult.m_fault));
    m_deps.m_requestLog.OnBrokenAnswer(
      Clock::now(), aId, m_incarnation.m_id, aResult.m_fault);
  }
}

CallAnswer
RunService::AnswerFrom(CallKey aKey, HttpResponse aResponse)
{
  const auto& headers = aResponse.m_headers;
  if (aResponse.m_status == kMisdirectedRequestStatus) {
    return Refuse(
      aKey.m_call, CallOutcome::NotRun, RefusalReason::WorkerReplaced);
  }
  const bool isMarkedNotExecuted =
    !m_deps.m_dialect.m_notExecuted.empty() &&
    !HeaderValue(headers, m_deps.m_dialect.m_notExecuted).empty();
  if (isMarkedNotExecuted) {
    return Refuse(
      aKey.m_call, CallOutcome::NotRun, RefusalReason::WorkerRefused);
  }
  if (IsUnsigned(aResponse)) {
    return Refuse(aKey.m_call, CallOutcome::Unknown, RefusalReason::AnswerLost);
  }
  CallAnswer answer;
  answer.m_call = aKey.m_call;
  answer.m_outcome = CallOutcome::Answered;
  answer.m_response = std::move(aResponse);
  return answer;
}

CallAnswer
RunService::AnswerFrom(CallKey aKey, BackendResult aResult, bool aIsIdempotent)
{
  CallAnswer answer;
  switch (aResult.m_kind) {
    case BackendResult::Kind::Answered:
      answer = AnswerFrom(aKey, std::move(aResult.m_response));
      if (aResult.m_isAmbiguous && !aIsIdempotent &&
          answer.m_outcome == CallOutcome::NotRun) {
        // The request itself may be running.
        answer =
          Refuse(aKey.m_call, CallOutcome::Unknown, RefusalReason::AnswerLost);
      }
      break;
    case BackendResult::Kind::NotSent:
      return Refuse(
        aKey.m_call, CallOutcome::NotRun, RefusalReason::WorkerUnreachable);
    case BackendResult::Kind::Lost:
      answer =
        Refuse(aKey.m_call, CallOutcome::Unknown, RefusalReason::AnswerLost);
      break;
    case BackendResult::Kind::TimedOut:
      answer = Refuse(
        aKey.m_call, CallOutcome::Unknown, RefusalReason::DeadlinePassed);
      break;
  }
  answer.m_reachedWorker = true;
  return answer;
}

void
RunService::KeepAnswer(CallKey aKey, const CallAnswer& aAnswer)
{
  const TimePoint now = Clock::now();
  m_keptAnswers.push_back({ aKey, aAnswer, now });
  m_keptBytes += aAnswer.m_response.m_body.Size();
  DropKeptAnswers(now);
}

void
RunService::DropKeptAnswers(TimePoint aNow)
{
  while (!m_keptAnswers.empty() &&
         (aNow - m_keptAnswers.front().m_finishedAt > kAnswerRetention ||
          m_keptBytes > kMaxKeptBytes)) {
    m_keptBytes -= m_keptAnswers.front().m_answer.m_response.m_body.Size();
    m_keptAnswers.pop_front();
  }
}

}
