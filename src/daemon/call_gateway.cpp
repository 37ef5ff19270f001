#include "greengagehub/daemon/call_gateway.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/wall_clock.hpp"
#include "greengagehub/net/descriptors.hpp"

#include <algorithm>
#include <asio/post.hpp>

namespace greengagehub {

namespace {

/// Weight of one answer in RouteStatistics::m_meanAnswerBytes.
constexpr double kAnswerSizeWeight = 0.05;
/// Divisor of one answer in RouteStatistics::m_meanAnswerTime.
constexpr int kAnswerTimeDivisor = 20;

LinkHello
MakeHello(const Settings& aSettings, std::uint64_t aProcess)
{
  return { aSettings.m_slot, aProcess, 0, aSettings.m_domain };
}

/// \returns Bytes of memory for bodies; the rest is for tables, connections and
/// links.
std::size_t
BodyBytesOf(const Settings& aSettings)
{
  constexpr std::size_t kBytesPerMb = 1024UL * 1024;
  constexpr std::size_t kPercent = 60;
  return aSettings.m_memoryMb * kBytesPerMb / 100 * kPercent;
}

DescriptorBudget
DescriptorsOf(const Settings& aSettings)
{
  const std::size_t limit = aSettings.m_maxDescriptors;
  return { limit > 0 ? limit : ProcessDescriptorLimit(),
           aSettings.m_workerConnections };
}

HttpServerSettings
CallsEndpoint(const Settings& aSettings)
{
  const ListenSettings& listen = aSettings.m_listen;
  return { .m_address =
             listen.m_callsHost.empty() ? listen.m_host : listen.m_callsHost,
           .m_port = aSettings.m_listen.m_callsPort,
           .m_limits = { .m_maxBodyBytes = aSettings.m_calls.m_maxBodyBytes },
           .m_discardsAbandoned = true };
}

}

CallGateway::CallGateway(Dependencies aDependencies, std::uint64_t aSeed)
  : m_deps(std::move(aDependencies))
  , m_random(aSeed)
  , m_dispatcher(m_random())
  , m_pacer(m_deps.m_settings.m_linkMbps)
  , m_bodies(new ByteBudget{ BodyBytesOf(m_deps.m_settings) })
  , m_descriptors(DescriptorsOf(m_deps.m_settings))
  , m_linkOut(m_deps.m_settings.m_calls.m_booksLinks ? m_pacer.Rate() : 0.0)
  , m_linkIn(m_deps.m_settings.m_calls.m_booksLinks ? m_pacer.Rate() : 0.0)
  , m_runService(
      { .m_loop = m_deps.m_loop,
        .m_settings = m_deps.m_settings,
        .m_dialect = m_deps.m_dialect,
        .m_metrics = m_deps.m_metrics,
        .m_requestLog = m_deps.m_requestLog,
        .m_quarantine = m_deps.m_quarantine.Table(),
        .m_rollouts = m_deps.m_rollouts.Table(),
        .m_seed = m_random(),
        .m_deliver =
          [this](CallKey aKey, CallAnswer aAnswer) {
            Deliver(aKey, std::move(aAnswer));
          },
        .m_trace = m_deps.m_trace,
        .m_onCrash =
          [this](CrashReport aReport) {
            m_deps.m_quarantine.OnLocalCrash(std::move(aReport));
          },
        .m_onSuccess =
          [this](Fingerprint aFingerprint) {
            m_deps.m_quarantine.OnSuccess(aFingerprint);
          },
        .m_mayRunRetry =
          [this](TimePoint aNow) {
            return !m_dispatcher.AreRetriesUsedUp(aNow,
                                                  m_deps.m_settings.m_service);
          },
        .m_version = [this] { return m_deps.m_holder.GetVersion(); },
        .m_isMisrouted =
          [this](const CallRequest& aRequest) { return IsMisrouted(aRequest); },
        .m_onLeaving = m_deps.m_onWorkerLeaving,
        .m_onReplaced = m_deps.m_onWorkerReplaced,
        .m_pacer = &m_pacer,
        .m_linkOut = &m_linkOut,
        .m_bodies = m_bodies,
        .m_process = m_deps.m_process })
  , m_server(m_deps.m_loop,
             m_deps.m_settings.m_listen.m_host,
             m_deps.m_settings.m_listen.m_linkPort,
             MakeHello(m_deps.m_settings, m_deps.m_process),
             m_deps.m_traffic,
             ServerHandlers())
  , m_pool(m_deps.m_loop,
           MakeHello(m_deps.m_settings, m_deps.m_process),
           LinkPoolSettings{},
           m_deps.m_traffic,
           PoolHandlers())
  , m_http(
      m_deps.m_loop,
      CallsEndpoint(m_deps.m_settings),
      [this](HttpRequest aRequest, HttpResponder aResponder) {
        OnCallerRequest(std::move(aRequest), std::move(aResponder));
      },
      [this](std::uint64_t aConnection) {
        OnCallerConnectionClosed(aConnection);
      })
  , m_routes(Content{})
  , m_timer(m_deps.m_loop)
  , m_startBuffer(Clock::now())
  , m_filterTimer(m_deps.m_loop)
{
}

LinkServer::Handlers
CallGateway::ServerHandlers()
{
  return { .m_onNewEpoch =
             [this](std::uint64_t aProcess, std::uint64_t aEpoch) {
               m_resumeFilter.CloseEpochs(aProcess, aEpoch);
               m_runService.OnEpoch(aProcess, aEpoch);
             },
           .m_onFrame =
             [this](LinkConnection& aConnection, LinkFrame aFrame) {
               OnServerFrame(aConnection, std::move(aFrame));
             },
           .m_onClosed =
             [this](const LinkConnection& aConnection) {
               DropQueuedOf(aConnection);
               m_deps.m_connectionLog.OnLinkClosed(
                 "in", aConnection.m_peer.m_slot, aConnection.AtClose());
             } };
}

LinkPool::Handlers
CallGateway::PoolHandlers()
{
  LinkPool::Handlers handlers;
  handlers.m_onFrame = [this](const std::string& aSlot, LinkFrame aFrame) {
    if (std::holds_alternative<LinkDraining>(aFrame)) {
      m_dispatcher.Workers().MarkUnavailable(aSlot);
      return;
    }
    OnPoolFrame(aSlot, std::move(aFrame));
  };
  handlers.m_onConnected = [this](const std::string& aSlot,
                                  std::uint64_t aProcess) {
    Execute(m_dispatcher.OnLinkUp(Clock::now(), aSlot, aProcess));
  };
  handlers.m_onConnectionLost = [this](const std::string& aSlot) {
    Execute(m_dispatcher.OnLinkLost(Clock::now(), aSlot));
  };
  handlers.m_onProcessLost = [this](const std::string& aSlot) {
    // Process number 0 is never used, so all attempts that were sent to the
    // exited process fail.
    Execute(m_dispatcher.OnLinkUp(Clock::now(), aSlot, 0));
  };
  handlers.m_onSent = [this](std::uint64_t aAttempt, std::uint64_t aProcess) {
    m_dispatcher.RecordProcess(aAttempt, aProcess);
  };
  handlers.m_onSendFailed = [this](std::uint64_t aAttempt) {
    Execute(m_dispatcher.OnSendFailed(Clock::now(), aAttempt));
  };
  handlers.m_onCancelResent = [this] {
    m_deps.m_metrics.CountCancellation(NameOf(CancelDelivery::Resent));
  };
  handlers.m_onClosed = [this](const std::string& aSlot,
                               const LinkClose& aClose) {
    m_deps.m_connectionLog.OnLinkClosed("out", aSlot, aClose);
  };
  return handlers;
}

void
CallGateway::PutOwnWorker(bool aIsUnavailable)
{
  WorkerRow own;
  own.m_slot = m_deps.m_settings.m_slot;
  own.m_service = m_deps.m_settings.m_service;
  own.m_domain = m_deps.m_settings.m_domain;
  own.m_slots = m_deps.m_settings.m_runs.m_slots;
  own.m_isUnavailable = aIsUnavailable;
  m_dispatcher.Workers().Put(std::move(own));
}

Outcome<std::uint16_t>
CallGateway::Open()
{
  m_server.UsePacer(m_pacer);
  m_pool.UsePacer(m_pacer);
  m_http.UsePacer(m_pacer);
  m_server.UseBudget(m_bodies);
  m_pool.UseBudget(m_bodies);
  m_http.UseBudget(m_bodies);
  m_http.ObserveCloses([this](const HttpConnectionClose& aClose) {
    m_deps.m_connectionLog.OnClosed(aClose);
  });
  m_dispatcher.Routing().m_ownSlot = m_deps.m_settings.m_slot;
  m_dispatcher.SetDecisions(m_deps.m_settings.m_runs.m_decisions);
  m_dispatcher.SetQuarantine(m_deps.m_quarantine.Table());
  m_dispatcher.SetRollouts(m_deps.m_rollouts.Table());
  m_deps.m_workspaces.SetRetryHandler([this] { RetryAdmissions(); });
  if (m_deps.m_settings.m_platform.m_enabled) {
    m_dispatcher.Routing().m_domain = m_deps.m_settings.m_domain;
  }
  PutOwnWorker(m_deps.m_settings.m_platform.m_enabled);
  return m_http.Open();
}

void
CallGateway::Execute(DispatchActions aActions)
{
  for (DispatchAction& each : aActions) {
    std::visit([this](auto& aAction) { Execute(aAction); }, each);
  }
  ArmTimer();
}

void
CallGateway::Execute(const SendAttempt& aAttempt)
{
  const auto call = m_pending.find(aAttempt.m_call);
  if (call == m_pending.end()) {
    return;
  }
  PendingCall& pending = call->second;
  // The disconnect may be unread behind the answer that led to the repetition.
  if (pending.m_attempts > 0 && m_http.HasClientClosed(pending.m_connection)) {
    CountAbandoned(AbandonedStage::InFlight);
    Execute(m_dispatcher.OnCallerDisconnected(Clock::now(), aAttempt.m_call));
    return;
  }
  pending.m_slot = aAttempt.m_slot;
  if (++pending.m_attempts > 1) {
    m_deps.m_requestLog.OnRetried(Clock::now(),
                                  pending.m_id,
                                  aAttempt.m_slot,
                                  pending.m_attempts,
                                  aAttempt.m_timeLeft);
  }
  BookLinkIn(pending, aAttempt.m_slot);
  CallRequest request = pending.m_request;
  request.m_call = aAttempt.m_attempt;
  request.m_timeLeft = aAttempt.m_timeLeft;
  request.m_targetLeft = aAttempt.m_targetLeft;
  request.m_retriesLeft = aAttempt.m_retriesLeft;
  request.m_isRetry = aAttempt.m_isRetry;
  request.m_refuseIfBusy = aAttempt.m_refuseIfBusy;
  request.m_knownStatement = aAttempt.m_knownStatement;
  request.m_routedBy = pending.m_config->m_version;
  if (aAttempt.m_slot == m_deps.m_settings.m_slot) {
    m_dispatcher.RecordProcess(aAttempt.m_attempt, m_deps.m_process);
    m_runService.OnRequest(
      { m_deps.m_process, aAttempt.m_attempt }, 0, std::move(request));
    return;
  }
  const auto address = m_addresses.find(aAttempt.m_slot);
  if (address == m_addresses.end()) {
    Execute(m_dispatcher.OnSendFailed(Clock::now(), aAttempt.m_attempt));
    return;
  }
  m_pool.Send(aAttempt.m_slot, address->second, std::move(request));
}

void
CallGateway::Execute(const SendCancel& aCancel)
{
  if (aCancel.m_slot == m_deps.m_settings.m_slot) {
    const CallKey key{ m_deps.m_process, aCancel.m_attempt };
    static_cast<void>(m_runService.OnCancel(key, aCancel.m_abandon));
    return;
  }
  const CancelDelivery delivery =
    m_pool.Cancel(aCancel.m_slot,
                  LinkCancel{ aCancel.m_attempt, aCancel.m_abandon },
                  aCancel.m_until);
  if (aCancel.m_abandon) {
    m_deps.m_metrics.CountCancellation(NameOf(delivery));
  }
}

void
CallGateway::Execute(FinishCall& aFinish)
{
  const auto found = m_pending.find(aFinish.m_call);
  if (found == m_pending.end()) {
    return;
  }
  PendingCall call = std::move(found->second);
  m_pending.erase(found);
  const auto connection = m_latestCallByConnection.find(call.m_connection);
  if (connection != m_latestCallByConnection.end() &&
      connection->second == aFinish.m_call) {
    m_latestCallByConnection.erase(connection);
  }
  CallAnswer answer = std::move(aFinish.m_answer);
  if (answer.m_outcome == CallOutcome::Answered) {
    m_answerSizes.Record(call.m_request.m_kind,
                         answer.m_response.m_body.Size());
    RouteStatistics& statistics = StatisticsOf(call.m_routeKey);
    statistics.m_meanAnswerTime +=
      (Clock::now() - call.m_receivedAt - statistics.m_meanAnswerTime) /
      kAnswerTimeDivisor;
    statistics.m_meanAnswerBytes +=
      kAnswerSizeWeight *
      (static_cast<double>(answer.m_response.m_body.Size()) -
       statistics.m_meanAnswerBytes);
  }
  if (answer.m_outcome == CallOutcome::NotRun) {
    m_deps.m_workspaces.Return(call.m_workspaceId, call.m_receipt);
  }
  const auto retryAfter = answer.m_retryAfter;
  answer.m_retryAfter = WithJitter(retryAfter);
  m_deps.m_metrics.CountCall(NameOf(answer.m_outcome), NameOf(answer.m_reason));
  m_deps.m_metrics.ObserveLatency(
    std::chrono::duration<double>(Clock::now() - call.m_receivedAt).count());
  RecordSpan(call, answer);
  const TimePoint now = Clock::now();
  if (answer.m_reason == RefusalReason::Quarantined) {
    m_deps.m_requestLog.OnQuarantined(
      now,
      call.m_id,
      CallFingerprint(m_deps.m_dialect, call.m_request),
      retryAfter);
  }
  m_deps.m_requestLog.OnFinished(now,
                                 { .m_id = call.m_id,
                                   .m_route = call.m_routeKey,
                                   .m_service = call.m_request.m_service,
                                   .m_workspace = call.m_workspace,
                                   .m_slot = call.m_slot,
                                   .m_answer = answer,
                                   .m_attempts = call.m_attempts,
                                   .m_duration = now - call.m_receivedAt,
                                   .m_version = call.m_config->m_version });
  const std::size_t bytes = answer.m_response.m_body.Size();
  call.m_responder.Answer(ResponseFor(m_deps.m_dialect, std::move(answer)),
                          m_draining);
  m_linkOut.HandOver(
    now, m_pacer.Backlog(now), std::move(call.m_linkOut), bytes);
}

std::chrono::milliseconds
CallGateway::WithJitter(std::chrono::milliseconds aRetryAfter)
{
  return aRetryAfter +
         std::chrono::milliseconds{ Below(m_random, aRetryAfter.count()) };
}

void
CallGateway::RecordSpan(const PendingCall& aCall, const CallAnswer& aAnswer)
{
  if (!aCall.m_span.m_sampled) {
    return;
  }
  Span span;
  span.m_context = aCall.m_span;
  span.m_parent = aCall.m_parent ? aCall.m_parent->m_span : 0;
  span.m_kind = Span::Kind::Server;
  span.m_name = aCall.m_request.m_method;
  span.m_service = m_deps.m_settings.m_service;
  span.m_slot = m_deps.m_settings.m_slot;
  span.m_start = aCall.m_spanStart;
  span.m_end = WallNanos();
  span.m_outcome = std::string{ NameOf(aAnswer.m_outcome) };
  span.m_status = aAnswer.m_response.m_status;
  m_deps.m_trace(std::move(span));
}

void
CallGateway::OnTick(TimePoint aNow)
{
  m_resumeFilter.OnTick(aNow, BootTime());
  ReleaseStartBuffer(aNow);
  m_pool.OnTick(aNow);
  m_http.SetMaxConnections(MaxCallerConnections());
  EndRunsOfSilentCallers(aNow);
  m_runService.OnTick(aNow);
  m_dispatcher.SetRetryLimits(RetryLimitsNow());
}

void
CallGateway::ArmTimer()
{
  const auto next = m_dispatcher.NextDeadline();
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
    Execute(m_dispatcher.OnTick(Clock::now()));
  });
}

void
CallGateway::StartDraining()
{
  m_draining = true;
  SetWorkerLeaving(true);
}

void
CallGateway::SetWorkerLeaving(bool aIsLeaving)
{
  if (aIsLeaving) {
    m_dispatcher.Workers().MarkUnavailable(m_deps.m_settings.m_slot);
    m_runService.StartDraining();
    m_server.Broadcast(LinkDraining{});
  } else if (!m_draining) {
    m_runService.StopDraining();
    PutOwnWorker(false);
  }
}

void
CallGateway::CloseAfterAnswers()
{
  m_http.CloseAfterAnswers();
}

void
CallGateway::StopAcceptingRequests()
{
  m_http.Finish();
}

void
CallGateway::EndCalls()
{
  Execute(m_dispatcher.EndAll(Clock::now()));
}

void
CallGateway::FinishLinks()
{
  m_server.Finish();
  m_pool.Finish();
}

bool
CallGateway::HasUnsentAnswers() const
{
  return m_server.HasUnsent() || m_http.Counts().m_queues.m_unsentBytes > 0;
}

bool
CallGateway::HasOpenConnections() const
{
  return m_http.Connections() > 0 || m_server.HasLivePeers(Clock::now()) ||
         m_pool.Counts().m_open > 0;
}

void
CallGateway::LogOpenConnections() const
{
  m_deps.m_connectionLog.OnExit(
    m_http.Counts(), m_server.Counts(), m_pool.Counts());
}

}
