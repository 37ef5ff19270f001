#include "greengagehub/daemon/run_service.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr auto kKeepAnswers = std::chrono::seconds{ 5 };
/// A content that is kept apart from others close to being held comes back
/// after the time in which such a run ends its worker or does not.
constexpr auto kApartFor = std::chrono::milliseconds{ 100 };
constexpr std::size_t kMaxKeptBytes = 2UL * 1024 * 1024;
/// A request that may run only once goes on a connection that was used just
/// now or on a new one: on one that the worker has forgotten it would be
/// reset, with no way to tell whether it ran.
constexpr auto kMaxIdleOnce = std::chrono::milliseconds{ 250 };
constexpr auto kMaxIdle = std::chrono::seconds{ 5 };
/// The worker ends a request at its deadline by itself; this much later its
/// connection is dropped.
constexpr auto kDeadlineGrace = std::chrono::milliseconds{ 20 };

BackendClientSettings
ClientSettings(const Settings& aSettings)
{
  BackendClientSettings settings;
  settings.m_address = { asio::ip::make_address(aSettings.m_worker.m_host),
                         aSettings.m_worker.m_port };
  settings.m_maxAnswerBytes = aSettings.m_calls.m_maxBodyBytes;
  settings.m_maxIdle = aSettings.m_workerConnections;
  return settings;
}

WorkDemand
DemandOf(const CallRequest& aRequest)
{
  return { .m_class = aRequest.m_class,
           .m_priority = aRequest.m_priority,
           .m_kind = aRequest.m_kind,
           .m_timeLeft = aRequest.m_timeLeft,
           .m_targetLeft = std::min(aRequest.m_targetLeft, aRequest.m_timeLeft),
           .m_refuseIfBusy = aRequest.m_refuseIfBusy };
}

}

RunService::RunService(Parts aParts)
  : m_parts(std::move(aParts))
  , m_random(m_parts.m_seed)
  , m_runs(m_parts.m_settings.m_runs)
  , m_client(m_parts.m_loop, ClientSettings(m_parts.m_settings))
  , m_hasWorker(!m_parts.m_settings.m_platform.m_enabled)
  , m_timer(m_parts.m_loop)
{
}

void
RunService::OnRequest(CallKey aKey, std::uint64_t aEpoch, CallRequest aRequest)
{
  const TimePoint now = Clock::now();
  if (aRequest.m_service != m_parts.m_settings.m_service) {
    // Sent to the instance that had this address before: the worker here is
    // another service's, and would run whatever it is given.
    Deliver(
      aKey,
      aRequest,
      Refuse(aKey.m_call, CallOutcome::NotRun, RefusalReason::WorkerReplaced));
    return;
  }
  if (!m_hasWorker) {
    Deliver(aKey,
            aRequest,
            Refuse(aKey.m_call, CallOutcome::NotRun, RefusalReason::NoWorker));
    return;
  }
  if (aRequest.m_isRepeat && !m_parts.m_mayRepeat(now)) {
    const auto reason = RefusalReason::NoRepeats;
    m_parts.m_metrics.CountRun(NameOf(reason));
    Deliver(aKey, aRequest, Refuse(aKey.m_call, CallOutcome::NotRun, reason));
    return;
  }
  if (IsLinkTooBusy(now, aRequest)) {
    RefuseForLink(now, aKey, aRequest);
    return;
  }
  m_tally.Arrived();
  const Fingerprint content = ContentOf(m_parts.m_dialect, aRequest);
  if (const auto bar = BarOf(now, content)) {
    RefuseBarred(now, aKey, aRequest, content, *bar);
    return;
  }
  RunActions pushedOut;
  const Admission admission =
    m_runs.Admit(now, aKey, aEpoch, DemandOf(aRequest), pushedOut);
  if (admission.m_kind == Admission::Kind::Refused) {
    if (admission.m_reason != RefusalReason::Busy) {
      // The caller's daemon just asks another: no line for each.
      m_parts.m_requests.OnRunRefused(now,
                                      IdOf(aRequest),
                                      admission.m_reason,
                                      aRequest.m_timeLeft,
                                      StateNow(aRequest));
    }
    m_parts.m_metrics.CountRun(NameOf(admission.m_reason));
    Deliver(aKey,
            aRequest,
            Refuse(aKey.m_call,
                   CallOutcome::NotRun,
                   admission.m_reason,
                   admission.m_retryAfter));
  } else if (admission.m_kind != Admission::Kind::Repeated) {
    Held held;
    held.m_deadline = now + aRequest.m_timeLeft;
    held.m_content = content;
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
  // While it waited here, others may have ended under such a request.
  if (const auto bar = BarOf(now, held.m_content)) {
    const CallRequest request = std::move(held.m_request);
    const Fingerprint content = held.m_content;
    m_held.erase(aKey);
    RefuseBarred(now, aKey, request, content, *bar);
    Carry(m_runs.Finish(now, aKey));
    return;
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    held.m_deadline - now);
  held.m_started = now;
  m_repeats.Note(now, call.m_isRepeat);
  held.m_start = WallNanos();
  held.m_parent =
    ParseTraceparent(HeaderValue(call.m_headers, kTraceparentHeader));
  held.m_span = NewSpan(held.m_parent, false, m_random);
  BackendRequest request;
  request.m_method = call.m_method;
  request.m_target = call.m_target;
  request.m_headers =
    HeadersToWorker(m_parts.m_dialect,
                    call,
                    std::max(left, std::chrono::milliseconds{ 1 }),
                    held.m_span,
                    m_start.m_id);
  request.m_body = call.m_body;
  request.m_echoHeader = m_parts.m_dialect.m_requestId;
  request.m_echo = HeaderValue(call.m_headers, m_parts.m_dialect.m_requestId);
  request.m_deadline = held.m_deadline + kDeadlineGrace;
  request.m_maxIdle = call.m_idempotent ? kMaxIdle : kMaxIdleOnce;
  held.m_ticket =
    m_client.Send(std::move(request), [this, aKey](BackendResult aResult) {
      Ended(aKey, std::move(aResult));
    });
}

std::optional<RunService::Bar>
RunService::BarOf(TimePoint aNow, Fingerprint aContent) const
{
  if (!m_parts.m_rollouts.MayRun(
        aNow, m_parts.m_settings.m_service, m_version)) {
    return Bar{ RefusalReason::NotInService, {} };
  }
  const Quarantine& quarantine = m_parts.m_quarantine;
  if (const auto left = quarantine.HeldFor(aNow, aContent)) {
    return Bar{ RefusalReason::Held, *left };
  }
  const bool besideSuspect =
    quarantine.IsSuspect(aContent) &&
    std::ranges::any_of(m_held, [&](const auto& aEach) {
      const Held& held = aEach.second;
      return held.m_ticket != 0 && quarantine.IsSuspect(held.m_content);
    });
  if (besideSuspect) {
    // For a moment: tried elsewhere, it would run side by side all the same.
    return Bar{ RefusalReason::Held, kApartFor };
  }
  return std::nullopt;
}

void
RunService::RefuseBarred(TimePoint aNow,
                         CallKey aKey,
                         const CallRequest& aRequest,
                         Fingerprint aContent,
                         const Bar& aBar)
{
  if (aBar.m_reason == RefusalReason::Held) {
    m_parts.m_requests.OnHeld(
      aNow, IdOf(aRequest), aContent, aBar.m_retryAfter);
  }
  m_parts.m_requests.OnRunRefused(aNow,
                                  IdOf(aRequest),
                                  aBar.m_reason,
                                  aRequest.m_timeLeft,
                                  StateNow(aRequest));
  m_parts.m_metrics.CountRun(NameOf(aBar.m_reason));
  Deliver(
    aKey,
    aRequest,
    Refuse(aKey.m_call, CallOutcome::NotRun, aBar.m_reason, aBar.m_retryAfter));
}

CallAnswer
RunService::AnswerFrom(CallKey aKey, HttpResponse aResponse)
{
  constexpr std::uint16_t kMisdirected = 421;
  const auto& headers = aResponse.m_headers;
  if (aResponse.m_status == kMisdirected) {
    return Refuse(
      aKey.m_call, CallOutcome::NotRun, RefusalReason::WorkerReplaced);
  }
  const bool notExecuted =
    !m_parts.m_dialect.m_notExecuted.empty() &&
    !HeaderValue(headers, m_parts.m_dialect.m_notExecuted).empty();
  if (notExecuted) {
    return Refuse(
      aKey.m_call, CallOutcome::NotRun, RefusalReason::WorkerRefused);
  }
  // A success without the signature is not the worker's, whatever it looks
  // like.
  const bool lacksSeal = IsSuccess(aResponse.m_status) &&
                         !m_parts.m_dialect.m_seal.empty() &&
                         HeaderValue(headers, m_parts.m_dialect.m_seal).empty();
  if (lacksSeal) {
    return Refuse(aKey.m_call, CallOutcome::Unknown, RefusalReason::AnswerLost);
  }
  CallAnswer answer;
  answer.m_call = aKey.m_call;
  answer.m_outcome = CallOutcome::Answered;
  answer.m_response = std::move(aResponse);
  return answer;
}

CallAnswer
RunService::AnswerFrom(CallKey aKey, BackendResult aResult)
{
  CallAnswer answer;
  switch (aResult.m_kind) {
    case BackendResult::Kind::Answered:
      answer = AnswerFrom(aKey, std::move(aResult.m_response));
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
RunService::Ended(CallKey aKey, BackendResult aResult)
{
  const RunActions next = m_runs.Finish(Clock::now(), aKey);
  if (m_held.contains(aKey)) {
    if (aResult.m_kind == BackendResult::Kind::Answered) {
      m_ends.OnAlive();
    }
    if (aResult.m_closed) {
      // Told once it is known whether the worker has ended under it: its
      // caller would try the next one first, and hear of the end then.
      LookAfterLoss(aKey);
    } else {
      Conclude(aKey, AnswerFrom(aKey, std::move(aResult)));
    }
  }
  Carry(next);
}

void
RunService::Conclude(CallKey aKey, CallAnswer aAnswer)
{
  const auto found = m_held.find(aKey);
  const Held held = std::move(found->second);
  m_held.erase(found);
  m_parts.m_metrics.CountRun(NameOf(aAnswer.m_outcome));
  TraceEnd(held, aAnswer);
  Tally(held, aAnswer);
  if (aAnswer.m_outcome != CallOutcome::Answered) {
    const TimePoint now = Clock::now();
    m_parts.m_requests.OnRunLost(now,
                                 IdOf(held.m_request),
                                 held.m_content,
                                 aAnswer.m_reason,
                                 now - held.m_started,
                                 StateNow(held.m_request));
  } else if (aAnswer.m_response.m_status < kFirstServerError) {
    // The worker came through the run; a failure may have ended it sooner.
    m_parts.m_onRanWell(held.m_content);
  }
  if (aAnswer.m_outcome == CallOutcome::Answered) {
    m_answerSizes.Note(held.m_request.m_kind, aAnswer.m_response.m_body.size());
  }
  if (!held.m_request.m_idempotent) {
    Keep(aKey, aAnswer);
  }
  Deliver(aKey, held.m_request, std::move(aAnswer));
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
RunService::Deliver(CallKey aKey,
                    const CallRequest& aRequest,
                    CallAnswer aAnswer)
{
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  const CallKind kind = aRequest.m_kind;
  aAnswer.m_load = m_runs.Load();
  aAnswer.m_slots = m_hasWorker ? m_runs.Slots() : 0;
  aAnswer.m_serviceTime =
    duration_cast<microseconds>(m_runs.ServiceTime(Clock::now(), kind));
  aAnswer.m_wait = duration_cast<microseconds>(
    m_runs.WaitOf(Clock::now(), aRequest.m_priority, kind));
  m_parts.m_answer(aKey, std::move(aAnswer));
}

void
RunService::Carry(const RunActions& aActions)
{
  for (const RefusedRun& each : aActions.m_refused) {
    m_parts.m_metrics.CountRun(NameOf(each.m_reason));
    const auto held = m_held.find(each.m_key);
    if (held == m_held.end()) {
      continue;
    }
    const CallRequest request = std::move(held->second.m_request);
    const TimePoint now = Clock::now();
    m_parts.m_requests.OnRunRefused(
      now,
      IdOf(request),
      each.m_reason,
      std::chrono::duration_cast<std::chrono::microseconds>(
        held->second.m_deadline - now),
      StateNow(request));
    m_held.erase(held);
    Deliver(each.m_key,
            request,
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
    // One that may run only once is left to end: breaking it off would leave
    // the caller's next question without an answer.
    if (held != m_held.end() && held->second.m_request.m_idempotent) {
      m_parts.m_requests.OnRunCancelled(
        Clock::now(), IdOf(held->second.m_request), true);
      // Closing the connection tells the worker that nobody waits.
      m_client.Abandon(held->second.m_ticket);
      m_held.erase(held);
      Carry(m_runs.Finish(Clock::now(), aKey));
    }
  }
  if (result == CancelResult::Finished && !aAbandon) {
    for (const Kept& each : m_kept) {
      if (each.m_key == aKey) {
        m_parts.m_answer(aKey, each.m_answer);
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

std::string_view
RunService::IdOf(const CallRequest& aRequest) const
{
  return HeaderValue(aRequest.m_headers, m_parts.m_dialect.m_requestId);
}

RequestLog::WorkerState
RunService::StateNow(const CallRequest& aRequest) const
{
  return { .m_instance = m_start.m_id,
           .m_running = m_runs.Running(),
           .m_queued = m_runs.Queued(),
           .m_slots = m_hasWorker ? m_runs.Slots() : 0,
           .m_wait = std::chrono::duration_cast<std::chrono::microseconds>(
             m_runs.WaitOf(
               Clock::now(), aRequest.m_priority, aRequest.m_kind)) };
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
  span.m_service = m_parts.m_settings.m_service;
  span.m_slot = m_parts.m_settings.m_slot;
  span.m_start = aHeld.m_start;
  span.m_end = WallNanos();
  span.m_outcome = std::string{ NameOf(aAnswer.m_outcome) };
  span.m_status = aAnswer.m_response.m_status;
  m_parts.m_trace(std::move(span));
}

void
RunService::OnTick(TimePoint aNow)
{
  if (m_runs.Queued() > 0) {
    Carry(m_runs.OnTick(aNow));
  }
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
