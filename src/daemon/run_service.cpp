#include "greengagehub/daemon/run_service.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/wall_clock.hpp"

namespace greengagehub {

namespace {

constexpr auto kKeepAnswers = std::chrono::seconds{ 5 };
constexpr std::size_t kMaxKeptBytes = 2UL * 1024 * 1024;

}

RunService::RunService(asio::io_context& aLoop,
                       const Settings& aSettings,
                       Metrics& aMetrics,
                       std::uint64_t aSeed,
                       Answer aAnswer,
                       Trace aTrace)
  : m_settings(aSettings)
  , m_metrics(aMetrics)
  , m_random(aSeed)
  , m_answer(std::move(aAnswer))
  , m_trace(std::move(aTrace))
  , m_runs(aSettings.m_runs)
  , m_client(aLoop, aSettings.m_workerConnections)
  , m_timer(aLoop)
{
}

void
RunService::OnRequest(CallKey aKey, std::uint64_t aEpoch, CallRequest aRequest)
{
  const TimePoint now = Clock::now();
  RunActions pushedOut;
  const Admission admission = m_runs.Admit(
    now, aKey, aEpoch, aRequest.m_class, aRequest.m_timeLeft, pushedOut);
  if (admission.m_kind == Admission::Kind::Refused) {
    m_metrics.CountRun(NameOf(admission.m_reason));
    Deliver(aKey,
            Refuse(aKey.m_call,
                   CallOutcome::NotRun,
                   admission.m_reason,
                   admission.m_retryAfter));
  } else if (admission.m_kind != Admission::Kind::Repeated) {
    Held held;
    held.m_deadline = now + aRequest.m_timeLeft;
    held.m_request = std::move(aRequest);
    m_held.emplace(aKey, std::move(held));
  }
  if (admission.m_kind == Admission::Kind::Start) {
    Run(aKey);
  }
  Carry(pushedOut);
}

void
RunService::Run(CallKey aKey)
{
  Held& held = m_held.at(aKey);
  const CallRequest& call = held.m_request;
  const TimePoint now = Clock::now();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    held.m_deadline - now);
  held.m_start = WallNanos();
  held.m_parent =
    ParseTraceparent(HeaderValue(call.m_headers, kTraceparentHeader));
  held.m_span = NewSpan(held.m_parent, false, m_random);
  HttpClientRequest request;
  request.m_method = call.m_method;
  request.m_url = m_settings.m_workerUrl + call.m_target;
  request.m_headers = HeadersToWorker(call, left, held.m_span);
  request.m_body = call.m_body;
  request.m_timeout = std::max(left, std::chrono::milliseconds{ 1 });
  request.m_maxAnswerBytes = m_settings.m_calls.m_maxBodyBytes;
  held.m_ticket =
    m_client.Send(std::move(request), [this, aKey](HttpClientResult aResult) {
      Ended(aKey, std::move(aResult));
    });
}

void
RunService::Ended(CallKey aKey, HttpClientResult aResult)
{
  const RunActions next = m_runs.Finish(Clock::now(), aKey);
  CallAnswer answer;
  answer.m_call = aKey.m_call;
  switch (aResult.m_kind) {
    case HttpClientResult::Kind::Answered:
      answer.m_outcome = CallOutcome::Answered;
      answer.m_response = std::move(aResult.m_response);
      break;
    case HttpClientResult::Kind::NotSent:
      answer = Refuse(
        aKey.m_call, CallOutcome::NotRun, RefusalReason::WorkerUnreachable);
      break;
    case HttpClientResult::Kind::Lost:
      answer =
        Refuse(aKey.m_call, CallOutcome::Unknown, RefusalReason::AnswerLost);
      break;
  }
  m_metrics.CountRun(NameOf(answer.m_outcome));
  const auto held = m_held.find(aKey);
  if (held != m_held.end()) {
    TraceEnd(held->second, answer);
    if (!held->second.m_request.m_idempotent) {
      Keep(aKey, answer);
    }
    m_held.erase(held);
  }
  Deliver(aKey, std::move(answer));
  Carry(next);
}

void
RunService::Keep(CallKey aKey, const CallAnswer& aAnswer)
{
  const TimePoint now = Clock::now();
  m_kept.push_back({ aKey, aAnswer, now });
  m_keptBytes += aAnswer.m_response.m_body.size();
  while (!m_kept.empty() && (now - m_kept.front().m_since > kKeepAnswers ||
                             m_keptBytes > kMaxKeptBytes)) {
    m_keptBytes -= m_kept.front().m_answer.m_response.m_body.size();
    m_kept.pop_front();
  }
}

void
RunService::Deliver(CallKey aKey, CallAnswer aAnswer)
{
  aAnswer.m_load = m_runs.Load();
  m_answer(aKey, std::move(aAnswer));
}

void
RunService::Carry(const RunActions& aActions)
{
  for (const RefusedRun& each : aActions.m_refused) {
    m_held.erase(each.m_key);
    m_metrics.CountRun(NameOf(each.m_reason));
    Deliver(each.m_key,
            Refuse(each.m_key.m_call,
                   CallOutcome::NotRun,
                   each.m_reason,
                   each.m_retryAfter));
  }
  for (const CallKey& each : aActions.m_start) {
    Run(each);
  }
  Arm();
}

CancelResult
RunService::OnCancel(CallKey aKey, bool aAbandon)
{
  const CancelResult result = m_runs.Cancel(Clock::now(), aKey);
  if (result == CancelResult::NotStarted) {
    m_held.erase(aKey);
    return result;
  }
  if (result == CancelResult::Running && aAbandon) {
    const auto held = m_held.find(aKey);
    if (held != m_held.end()) {
      // Closing the connection tells the worker that nobody waits.
      m_client.Abandon(held->second.m_ticket);
      m_held.erase(held);
      Carry(m_runs.Finish(Clock::now(), aKey));
    }
  }
  if (result == CancelResult::Finished && !aAbandon) {
    for (const Kept& each : m_kept) {
      if (each.m_key == aKey) {
        Deliver(aKey, each.m_answer);
        return CancelResult::Running;
      }
    }
  }
  return result;
}

void
RunService::OnEpoch(std::uint64_t aProcess, std::uint64_t aEpoch)
{
  m_runs.CloseEpochs(Clock::now(), aProcess, aEpoch);
}

void
RunService::StartLeaving()
{
  Carry(m_runs.StartLeaving(Clock::now()));
}

void
RunService::TraceEnd(const Held& aHeld, const CallAnswer& aAnswer)
{
  if (!aHeld.m_span.m_sampled) {
    return;
  }
  Span span;
  span.m_context = aHeld.m_span;
  span.m_parent = aHeld.m_parent ? aHeld.m_parent->m_span : 0;
  span.m_kind = Span::Kind::Client;
  span.m_name = aHeld.m_request.m_method;
  span.m_service = m_settings.m_service;
  span.m_slot = m_settings.m_slot;
  span.m_start = aHeld.m_start;
  span.m_end = WallNanos();
  span.m_outcome = std::string{ NameOf(aAnswer.m_outcome) };
  span.m_status = aAnswer.m_response.m_status;
  m_trace(std::move(span));
}

void
RunService::Arm()
{
  const auto next = m_runs.NextExpiry();
  if (!next || (m_armed && *m_armed <= *next)) {
    return;
  }
  m_armed = next;
  m_timer.expires_at(*next);
  m_timer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    m_armed.reset();
    Carry(m_runs.OnTick(Clock::now()));
  });
}

}
