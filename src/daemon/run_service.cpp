#include "greengagehub/daemon/run_service.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// The caller's daemon learns of the newer version from the answer.
constexpr auto kCallerBehindRetryAfter = std::chrono::milliseconds{ 200 };
/// Longest idle time of a connection before it is reused. A non-idempotent call
/// needs a fresh one: if the worker has closed it, the reset does not show
/// whether the call ran.
constexpr auto kMaxIdleNonIdempotent = std::chrono::milliseconds{ 250 };
constexpr auto kMaxIdle = std::chrono::seconds{ 5 };
/// The worker aborts a request at its deadline; its connection is closed this
/// much later.
constexpr auto kDeadlineGrace = std::chrono::milliseconds{ 20 };

BackendClientSettings
ClientSettings(const Settings& aSettings, const ByteBudget::Pointer& aBodies)
{
  BackendClientSettings settings;
  settings.m_address = { asio::ip::make_address(aSettings.m_worker.m_host),
                         aSettings.m_worker.m_port };
  settings.m_maxAnswerBytes = aSettings.m_calls.m_maxBodyBytes;
  settings.m_maxIdleConnections = aSettings.m_workerConnections;
  settings.m_budget = aBodies;
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
           .m_refuseIfBusy = aRequest.m_refuseIfBusy,
           .m_share = aRequest.m_share };
}

}

RunService::RunService(Dependencies aDependencies)
  : m_deps(std::move(aDependencies))
  , m_random(m_deps.m_seed)
  , m_runs(m_deps.m_settings.m_runs)
  , m_client(m_deps.m_loop, ClientSettings(m_deps.m_settings, m_deps.m_bodies))
  , m_hasWorker(!m_deps.m_settings.m_platform.m_enabled)
  , m_timer(m_deps.m_loop)
{
  if (m_deps.m_settings.m_platform.m_enabled) {
    m_runs.Limiter().ExpectFirstResponse();
  }
}

void
RunService::OnRequest(CallKey aKey, std::uint64_t aEpoch, CallRequest aRequest)
{
  const TimePoint now = Clock::now();
  aRequest.m_receivedAt = now;
  if (aRequest.m_service != m_deps.m_settings.m_service) {
    // The request is meant for the instance that used this address before.
    Deliver(
      aKey,
      aRequest,
      Refuse(aKey.m_call, CallOutcome::NotRun, RefusalReason::WorkerReplaced));
    return;
  }
  if (m_deps.m_isMisrouted && m_deps.m_isMisrouted(aRequest)) {
    RefuseRun(now,
              aKey,
              aRequest,
              {},
              { RefusalReason::ConfigBehind, kCallerBehindRetryAfter });
    return;
  }
  ApplyKnownStatement(aRequest.m_knownStatement);
  if (aRequest.m_isBodyDropped) {
    RefuseRun(now,
              aKey,
              aRequest,
              {},
              { RefusalReason::Overloaded, ByteBudget::kRetryAfter });
    return;
  }
  if (!m_hasWorker) {
    Deliver(aKey,
            aRequest,
            Refuse(aKey.m_call, CallOutcome::NotRun, RefusalReason::NoWorker));
    return;
  }
  if (aRequest.m_isRetry && !m_deps.m_mayRunRetry(now)) {
    const auto reason = RefusalReason::RetryBudgetExhausted;
    m_deps.m_metrics.CountRun(NameOf(reason));
    Deliver(aKey, aRequest, Refuse(aKey.m_call, CallOutcome::NotRun, reason));
    return;
  }
  if (RefuseForBusyLink(now, aKey, aRequest)) {
    return;
  }
  m_runCounter.Arrived();
  const Fingerprint fingerprint = CallFingerprint(m_deps.m_dialect, aRequest);
  if (const auto refusal = CheckRefusal(now, fingerprint)) {
    RefuseRun(now, aKey, aRequest, fingerprint, *refusal);
    return;
  }
  RunActions evictions;
  const Admission admission =
    m_runs.Admit(now, aKey, aEpoch, DemandOf(aRequest), evictions);
  if (admission.m_kind == Admission::Kind::Refused) {
    if (admission.m_reason != RefusalReason::Busy) {
      // Busy is frequent and harmless: the caller's daemon selects another
      // worker.
      m_deps.m_requestLog.OnRunRefused(now,
                                       RequestIdOf(aRequest),
                                       admission.m_reason,
                                       aRequest.m_timeLeft,
                                       WorkerStateFor(aRequest));
    }
    m_deps.m_metrics.CountRun(NameOf(admission.m_reason));
    Deliver(aKey,
            aRequest,
            Refuse(aKey.m_call,
                   CallOutcome::NotRun,
                   admission.m_reason,
                   admission.m_retryAfter));
  } else if (admission.m_kind != Admission::Kind::Duplicate) {
    ActiveRun run;
    run.m_deadline = now + aRequest.m_timeLeft;
    run.m_fingerprint = fingerprint;
    run.m_epoch = aEpoch;
    if (UsesLink(aKey)) {
      run.m_linkOut = m_deps.m_linkOut->Book(now, LinkDemandOf(now, aRequest));
    }
    run.m_request = std::move(aRequest);
    m_activeRuns.emplace(aKey, std::move(run));
  }
  if (admission.m_kind == Admission::Kind::Start) {
    StartRun(aKey);
  }
  Execute(evictions);
}

void
RunService::StartRun(CallKey aKey)
{
  ActiveRun& run = m_activeRuns.at(aKey);
  const CallRequest& call = run.m_request;
  const TimePoint now = Clock::now();
  // The check at admission is outdated after a wait in the queue.
  if (const auto refusal = CheckRefusal(now, run.m_fingerprint)) {
    const CallRequest request = std::move(run.m_request);
    const Fingerprint fingerprint = run.m_fingerprint;
    m_activeRuns.erase(aKey);
    RefuseRun(now, aKey, request, fingerprint, *refusal);
    Execute(m_runs.Finish(now, aKey));
    return;
  }
  const auto timeLeft =
    std::chrono::duration_cast<std::chrono::milliseconds>(run.m_deadline - now);
  run.m_startedAt = now;
  run.m_workerStart = m_workerStarts;
  m_retriedRuns.Record(now, call.m_isRetry);
  run.m_spanStart = WallNanos();
  run.m_parent =
    ParseTraceparent(HeaderValue(call.m_headers, kTraceparentHeader));
  run.m_span = NewSpan(run.m_parent, false, m_random);
  BackendRequest request;
  request.m_method = call.m_method;
  request.m_target = call.m_target;
  request.m_headers =
    HeadersToWorker(m_deps.m_dialect,
                    call,
                    std::max(timeLeft, std::chrono::milliseconds{ 1 }),
                    run.m_span,
                    m_incarnation.m_id);
  request.m_body = call.m_body;
  request.m_echoHeader = m_deps.m_dialect.m_requestId;
  request.m_echoValue =
    HeaderValue(call.m_headers, m_deps.m_dialect.m_requestId);
  request.m_deadline = run.m_deadline + kDeadlineGrace;
  request.m_maxIdleTime = call.m_idempotent ? kMaxIdle : kMaxIdleNonIdempotent;
  request.m_isRepeatable = call.m_idempotent;
  m_deps.m_metrics.CountWorkerRequest();
  run.m_ticket =
    m_client.Send(std::move(request), [this, aKey](BackendResult aResult) {
      OnBackendResult(aKey, std::move(aResult));
    });
}

void
RunService::OnBackendResult(CallKey aKey, BackendResult aResult)
{
  const auto run = m_activeRuns.find(aKey);
  if (run != m_activeRuns.end() &&
      aResult.m_kind == BackendResult::Kind::Answered) {
    // First, as the next run may not be allowed any more.
    CheckReplaced(run->second, aResult.m_response);
    ApplySignals(run->second, aResult.m_response);
  }
  const RunActions next = m_runs.Finish(Clock::now(), aKey);
  if (m_activeRuns.contains(aKey)) {
    ReportFault(aResult, RequestIdOf(run->second.m_request));
    if (aResult.m_kind == BackendResult::Kind::Answered) {
      m_crashDetector.OnAlive();
    }
    if (aResult.m_closed) {
      // The answer follows the check, so that a crash is published before the
      // caller's daemon retries at another worker.
      CheckWorkerAfterLoss(aKey, aResult.m_connectedAt);
    } else {
      const bool isIdempotent = run->second.m_request.m_idempotent;
      FinishRun(aKey, AnswerFrom(aKey, std::move(aResult), isIdempotent));
    }
  }
  Execute(next);
}

void
RunService::FinishRun(CallKey aKey, CallAnswer aAnswer)
{
  const auto found = m_activeRuns.find(aKey);
  ActiveRun run = std::move(found->second);
  m_activeRuns.erase(found);
  m_deps.m_metrics.CountRun(NameOf(aAnswer.m_outcome));
  RecordSpan(run, aAnswer);
  CountResult(run, aAnswer);
  const TimePoint now = Clock::now();
  if (aAnswer.m_outcome != CallOutcome::Answered) {
    m_deps.m_requestLog.OnRunLost(now,
                                  RequestIdOf(run.m_request),
                                  run.m_fingerprint,
                                  aAnswer.m_reason,
                                  now - run.m_startedAt,
                                  WorkerStateFor(run.m_request));
  } else {
    m_deps.m_requestLog.OnRunAnswered(now,
                                      { RequestIdOf(run.m_request),
                                        run.m_request.m_service,
                                        m_incarnation.m_id,
                                        run.m_request.m_routedBy,
                                        m_deps.m_version(),
                                        now - run.m_request.m_receivedAt });
  }
  const bool isSuccess = aAnswer.m_outcome == CallOutcome::Answered &&
                         aAnswer.m_response.m_status < kFirstServerError;
  if (isSuccess) {
    // Server errors do not count: the run may have stopped before the point of
    // a crash.
    m_deps.m_onSuccess(run.m_fingerprint);
  }
  if (aAnswer.m_outcome == CallOutcome::Answered) {
    m_answerSizes.Record(run.m_request.m_kind,
                         aAnswer.m_response.m_body.Size());
  }
  if (!run.m_request.m_idempotent) {
    KeepAnswer(aKey, aAnswer);
  }
  const std::size_t bytes = aAnswer.m_response.m_body.Size();
  Deliver(aKey, run.m_request, std::move(aAnswer));
  if (UsesLink(aKey)) {
    m_deps.m_linkOut->HandOver(
      now, LinkBacklog(now), std::move(run.m_linkOut), bytes);
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
  const TimePoint now = Clock::now();
  aAnswer.m_timeAtWorker =
    duration_cast<microseconds>(now - aRequest.m_receivedAt);
  aAnswer.m_load = m_runs.Load();
  aAnswer.m_slots = m_hasWorker ? m_runs.Slots() : 0;
  aAnswer.m_serviceTime =
    duration_cast<microseconds>(m_runs.ServiceTime(now, kind));
  aAnswer.m_wait = duration_cast<microseconds>(
    m_runs.ExpectedWaitOfKind(now, aRequest.m_priority, kind));
  aAnswer.m_linkWait = duration_cast<microseconds>(LinkWaitOf(now, aRequest));
  aAnswer.m_statement = Statement();
  if (const Version active = m_deps.m_version(); aRequest.m_routedBy < active) {
    aAnswer.m_newerVersion = active;
  }
  m_deps.m_deliver(aKey, std::move(aAnswer));
}

void
RunService::Execute(const RunActions& aActions)
{
  for (const RefusedRun& each : aActions.m_refused) {
    m_deps.m_metrics.CountRun(NameOf(each.m_reason));
    const auto run = m_activeRuns.find(each.m_key);
    if (run == m_activeRuns.end()) {
      continue;
    }
    const CallRequest request = std::move(run->second.m_request);
    const TimePoint now = Clock::now();
    m_deps.m_requestLog.OnRunRefused(
      now,
      RequestIdOf(request),
      each.m_reason,
      std::chrono::duration_cast<std::chrono::microseconds>(
        run->second.m_deadline - now),
      WorkerStateFor(request));
    m_activeRuns.erase(run);
    Deliver(each.m_key,
            request,
            Refuse(each.m_key.m_call,
                   CallOutcome::NotRun,
                   each.m_reason,
                   each.m_retryAfter));
  }
  for (const CallKey& each : aActions.m_start) {
    StartRun(each);
  }
  ArmTimer();
}

CancelResult
RunService::OnCancel(CallKey aKey, bool aAbandon)
{
  const CancelResult result = m_runs.Cancel(Clock::now(), aKey);
  if (result == CancelResult::NotStarted) {
    m_activeRuns.erase(aKey);
    return result;
  }
  if (result == CancelResult::Running && aAbandon) {
    EndRepeatableRun(aKey);
  }
  if (result == CancelResult::Finished && !aAbandon) {
    for (const KeptAnswer& each : m_keptAnswers) {
      if (each.m_key == aKey) {
        CallAnswer answer = each.m_answer;
        answer.m_statement = Statement();
        m_deps.m_deliver(aKey, std::move(answer));
        return CancelResult::Running;
      }
    }
  }
  return result;
}

void
RunService::EndRepeatableRun(CallKey aKey)
{
  const auto found = m_activeRuns.find(aKey);
  // A non-idempotent run continues: if it were aborted, a later cancellation
  // could not return its answer.
  if (found == m_activeRuns.end() || !found->second.m_request.m_idempotent) {
    return;
  }
  const ActiveRun& run = found->second;
  const TimePoint now = Clock::now();
  m_deps.m_requestLog.OnRunCancelled(now,
                                     RequestIdOf(run.m_request),
                                     run.m_startedAt -
                                       run.m_request.m_receivedAt,
                                     now - run.m_startedAt);
  // Closes the connection, which cancels the request at the worker.
  m_client.Abandon(run.m_ticket);
  m_activeRuns.erase(found);
  Execute(m_runs.Finish(now, aKey));
}

void
RunService::EndRunsOf(const std::function<bool(std::uint64_t)>& aIsGone)
{
  std::vector<CallKey> ended;
  for (const auto& [key, run] : m_activeRuns) {
    if (run.m_ticket != 0 && run.m_request.m_idempotent &&
        key.m_process != m_deps.m_process && aIsGone(key.m_process)) {
      ended.push_back(key);
    }
  }
  for (const CallKey& each : ended) {
    EndRepeatableRun(each);
  }
}

void
RunService::OnEpoch(std::uint64_t aProcess, std::uint64_t aEpoch)
{
  m_runs.CloseEpochs(Clock::now(), aProcess, aEpoch);
  std::erase_if(m_activeRuns, [&](const auto& aEach) {
    const ActiveRun& run = aEach.second;
    return aEach.first.m_process == aProcess && run.m_ticket == 0 &&
           run.m_epoch < aEpoch;
  });
}

void
RunService::StartDraining()
{
  Execute(m_runs.StartDraining(Clock::now()));
}

std::string_view
RunService::RequestIdOf(const CallRequest& aRequest) const
{
  return HeaderValue(aRequest.m_headers, m_deps.m_dialect.m_requestId);
}

RequestLog::WorkerState
RunService::WorkerStateFor(const CallRequest& aRequest) const
{
  const TimePoint now = Clock::now();
  return { .m_instance = m_incarnation.m_id,
           .m_waited = now - aRequest.m_receivedAt,
           .m_routedBy = aRequest.m_routedBy,
           .m_version = m_deps.m_version(),
           .m_running = m_runs.Running(),
           .m_queued = m_runs.Queued(),
           .m_slots = m_hasWorker ? m_runs.Slots() : 0,
           .m_wait = std::chrono::duration_cast<std::chrono::microseconds>(
             m_runs.ExpectedWaitOfKind(
               now, aRequest.m_priority, aRequest.m_kind)),
           .m_linkBytes =
             m_deps.m_linkOut != nullptr ? m_deps.m_linkOut->BookedBytes() : 0,
           .m_linkWait = std::chrono::duration_cast<std::chrono::microseconds>(
             LinkWaitOf(now, aRequest)),
           .m_rateLimit = m_runs.Limiter().Limit(),
           .m_use = UseFor(aRequest) };
}

void
RunService::RecordSpan(const ActiveRun& aRun, const CallAnswer& aAnswer)
{
  if (!aRun.m_span.m_sampled) {
    return;
  }
  Span span;
  span.m_context = aRun.m_span;
  span.m_parent = aRun.m_parent ? aRun.m_parent->m_span : 0;
  span.m_kind = Span::Kind::Client;
  span.m_name = aRun.m_request.m_method;
  span.m_service = m_deps.m_settings.m_service;
  span.m_slot = m_deps.m_settings.m_slot;
  span.m_start = aRun.m_spanStart;
  span.m_end = WallNanos();
  span.m_outcome = std::string{ NameOf(aAnswer.m_outcome) };
  span.m_status = aAnswer.m_response.m_status;
  m_deps.m_trace(std::move(span));
}

void
RunService::OnTick(TimePoint aNow)
{
  if (m_runs.Queued() > 0) {
    Execute(m_runs.OnTick(aNow));
  }
  DropKeptAnswers(aNow);
  CheckWorkerReturn(aNow);
}

void
RunService::ArmTimer()
{
  const auto next = m_runs.NextWakeUp(Clock::now());
  if (!next || (m_timerExpiry && *m_timerExpiry <= *next)) {
    return;
  }
  m_timerExpiry = next;
  m_timer.expires_at(*next);
  m_timer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    m_timerExpiry.reset();
    Execute(m_runs.OnTick(Clock::now()));
  });
}

}
