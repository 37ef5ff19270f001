#include "greengagehub/daemon/call_gateway.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>

// Requests of callers: routing, admission and the start of calls.

namespace greengagehub {

namespace {

constexpr std::size_t kMaxRouteStatistics = 10'000;
/// Most versions that are known to exist are in force after this time.
constexpr std::chrono::milliseconds kConfigRetryDelay{ 200 };

bool
IsIdempotent(const Route& aRoute, std::string_view aMethod)
{
  switch (aRoute.m_idempotency) {
    case Route::Idempotency::Yes:
      return true;
    case Route::Idempotency::No:
      return false;
    case Route::Idempotency::ByMethod:
      break;
  }
  return IsIdempotentMethod(aMethod);
}

}

void
CallGateway::OnCallerRequest(HttpRequest aRequest, HttpResponder aResponder)
{
  RouteRequest(Clock::now(), std::move(aRequest), std::move(aResponder));
}

void
CallGateway::RouteRequest(TimePoint aReceivedAt,
                          HttpRequest aRequest,
                          HttpResponder aResponder)
{
  if (!m_deps.m_isReady()) {
    if (!m_startBuffer.Add(Clock::now(), aReceivedAt, aRequest, aResponder)) {
      Refuse(aRequest, aResponder, RefusalReason::NotReady);
    }
    return;
  }
  const Route* route =
    m_routes.Find(HostOf(aRequest.m_headers), PathOf(aRequest.m_target));
  if (route == nullptr) {
    RefuseWithoutRoute(aRequest, aResponder);
    return;
  }
  const Limits& limits = m_deps.m_holder.Active()->m_content.GetLimits();
  if (ParseNumberHeader(aRequest.m_headers, kDepthHeader, 0) >=
      limits.m_maxDepth) {
    Refuse(aRequest, aResponder, RefusalReason::TooDeep);
    return;
  }
  const std::string service = SelectService(*route);
  TrackService(service);
  const bool hasNoWorker = !m_dispatcher.Workers().HasAvailableWorker(service);
  if (hasNoWorker &&
      m_startBuffer.Add(Clock::now(), aReceivedAt, aRequest, aResponder)) {
    return;
  }
  Admit(*route,
        service,
        aReceivedAt,
        std::move(aRequest),
        std::move(aResponder),
        true);
}

void
CallGateway::Admit(const Route& aRoute,
                   const std::string& aService,
                   TimePoint aReceivedAt,
                   HttpRequest aRequest,
                   HttpResponder aResponder,
                   bool aIsNew)
{
  WorkspaceAdmission admission;
  if (m_deps.m_workspaces.NeedsKey(aRoute)) {
    admission = m_deps.m_workspaces.Admit(
      HeaderValue(aRequest.m_headers, m_deps.m_dialect.m_apiKey),
      aIsNew,
      IsLate(aRoute, aReceivedAt, aRequest));
  }
  if (admission.m_waits) {
    const bool hasWaited = Clock::now() - aReceivedAt >= TokenQueue::kMaxWait;
    if (hasWaited || m_tokenQueue.IsFull()) {
      m_deps.m_workspaces.CancelWait(admission.m_workspace->m_id);
      Refuse(aRequest,
             aResponder,
             admission.m_refusalAfterWait,
             WithJitter(TokenQueue::kMaxWait),
             admission.m_workspace);
      return;
    }
    m_tokenQueue.Add({ std::move(aRequest),
                       std::move(aResponder),
                       aReceivedAt,
                       admission.m_workspace->m_id });
    return;
  }
  if (admission.m_refusal != RefusalReason::None) {
    Refuse(aRequest,
           aResponder,
           admission.m_refusal,
           WithJitter(admission.m_retryAfter),
           admission.m_workspace);
    return;
  }
  StartCall(aRoute,
            aService,
            aReceivedAt,
            admission,
            std::move(aRequest),
            std::move(aResponder));
}

bool
CallGateway::IsLate(const Route& aRoute,
                    TimePoint aReceivedAt,
                    const HttpRequest& aRequest)
{
  if (aRoute.m_targetLatency.count() == 0) {
    return false;
  }
  const auto requestedDeadline = std::chrono::milliseconds{ ParseNumberHeader(
    aRequest.m_headers,
    m_deps.m_dialect.m_deadline,
    static_cast<std::uint64_t>(aRoute.m_deadline.count())) };
  const auto callAge =
    StatisticsOf(aRoute.m_host + aRoute.m_path)
      .m_age.Estimate(requestedDeadline, aRequest.m_isFirstOnConnection);
  return callAge + (Clock::now() - aReceivedAt) >= aRoute.m_targetLatency;
}

void
CallGateway::RetryAdmissions()
{
  for (TokenQueue::Entry& each : m_tokenQueue.TakeAll()) {
    m_deps.m_workspaces.CancelWait(each.m_workspace);
    if (DiscardIfAbandoned(each.m_request, AbandonedStage::Queued)) {
      continue;
    }
    const Route* route = m_routes.Find(HostOf(each.m_request.m_headers),
                                       PathOf(each.m_request.m_target));
    if (route == nullptr) {
      RefuseWithoutRoute(each.m_request, each.m_responder);
      continue;
    }
    Admit(*route,
          SelectService(*route),
          each.m_receivedAt,
          std::move(each.m_request),
          std::move(each.m_responder),
          false);
  }
}

void
CallGateway::RefuseWithoutRoute(const HttpRequest& aRequest,
                                HttpResponder& aResponder)
{
  const RefusalReason reason = ReasonForMissingRoute(
    m_deps.m_holder.GetVersion(), m_deps.m_highestKnownVersion());
  const bool mayExist = reason == RefusalReason::ConfigBehind;
  Refuse(aRequest,
         aResponder,
         reason,
         mayExist ? WithJitter(kConfigRetryDelay)
                  : StartBuffer::kMaxBufferTime);
}

void
CallGateway::Refuse(const HttpRequest& aRequest,
                    HttpResponder& aResponder,
                    RefusalReason aReason,
                    std::chrono::milliseconds aRetryAfter,
                    const WorkspaceRow* aWorkspace)
{
  m_deps.m_metrics.CountCall(NameOf(CallOutcome::NotRun), NameOf(aReason));
  const CallAnswer answer =
    greengagehub::Refuse(0, CallOutcome::NotRun, aReason, aRetryAfter);
  m_deps.m_requestLog.OnFinished(
    Clock::now(),
    { .m_id = HeaderValue(aRequest.m_headers, m_deps.m_dialect.m_requestId),
      .m_route = aRequest.m_target,
      .m_workspace = aWorkspace != nullptr
                       ? std::string_view{ aWorkspace->m_name }
                       : std::string_view{},
      .m_answer = answer,
      .m_version = m_deps.m_holder.GetVersion() });
  aResponder.Answer(ResponseFor(m_deps.m_dialect, answer));
}

void
CallGateway::ReleaseStartBuffer(TimePoint aNow)
{
  if (m_startBuffer.Count() == 0) {
    return;
  }
  if (m_deps.m_isReady()) {
    for (StartBuffer::Entry& each : m_startBuffer.TakeAll()) {
      if (!DiscardIfAbandoned(each.m_request, AbandonedStage::Buffered)) {
        RouteRequest(each.m_receivedAt,
                     std::move(each.m_request),
                     std::move(each.m_responder));
      }
    }
    return;
  }
  for (StartBuffer::Entry& each : m_startBuffer.TakeExpired(aNow)) {
    Refuse(each.m_request, each.m_responder, RefusalReason::NotReady);
  }
}

void
CallGateway::StartCall(const Route& aRoute,
                       const std::string& aService,
                       TimePoint aReceivedAt,
                       const WorkspaceAdmission& aAdmission,
                       HttpRequest aRequest,
                       HttpResponder aResponder)
{
  const WorkspaceRow* workspace = aAdmission.m_workspace;
  const TimePoint now = Clock::now();
  const DecisionSettings& decisions = m_deps.m_settings.m_runs.m_decisions;
  const auto& headers = aRequest.m_headers;
  const auto requestedDeadline = std::chrono::milliseconds{ ParseNumberHeader(
    headers,
    m_deps.m_dialect.m_deadline,
    static_cast<std::uint64_t>(aRoute.m_deadline.count())) };
  const std::uint32_t retries = aRoute.m_attempts > 0
                                  ? aRoute.m_attempts - 1
                                  : m_deps.m_settings.m_calls.m_maxRetries;
  CallPlan plan;
  plan.m_service = aService;
  plan.m_class = aRoute.m_class;
  plan.m_idempotent = IsIdempotent(aRoute, aRequest.m_method);
  plan.m_deadline =
    aReceivedAt + std::min(requestedDeadline, aRoute.m_deadline);
  const std::string routeKey = aRoute.m_host + aRoute.m_path;
  RouteStatistics& statistics = StatisticsOf(routeKey);
  if (aRoute.m_targetLatency.count() > 0) {
    const bool isFirst = aRequest.m_isFirstOnConnection;
    const auto callAge =
      decisions.m_usesCallAge
        ? statistics.m_age.Estimate(requestedDeadline, isFirst)
        : std::chrono::milliseconds::zero();
    statistics.m_age.Record(requestedDeadline, isFirst);
    plan.m_target = aReceivedAt + aRoute.m_targetLatency - callAge;
  }
  plan.m_kind = { aRoute.m_targetLatency, statistics.m_routeHash };
  plan.m_crossingCost =
    CrossingCost(decisions,
                 static_cast<double>(aRequest.m_body.Size()),
                 statistics.m_meanAnswerBytes);
  plan.m_priority =
    workspace != nullptr
      ? m_deps.m_workspaces.Table().RankOf(*workspace, aRoute.m_priority)
      : aRoute.m_priority;
  if (plan.m_service != m_deps.m_settings.m_service) {
    // The caller may be the local worker, in one of its retried runs.
    plan.m_retriedRunProbability = m_runService.RetriedRunShareAt(now);
  }
  plan.m_retriesLeft = static_cast<std::uint32_t>(std::min<std::uint64_t>(
    retries, ParseNumberHeader(headers, kRetriesHeader, retries)));

  PendingCall call{ .m_responder = std::move(aResponder),
                    .m_connection = aRequest.m_connection,
                    .m_receivedAt = aReceivedAt,
                    .m_config = m_deps.m_holder.Active(),
                    .m_routeKey = routeKey,
                    .m_id = std::string{
                      HeaderValue(headers, m_deps.m_dialect.m_requestId) } };
  call.m_parent = ParseTraceparent(HeaderValue(headers, kTraceparentHeader));
  const bool isSampled =
    Below(m_random, 100) < m_deps.m_settings.m_log.m_tracePercent;
  call.m_span = NewSpan(call.m_parent, isSampled, m_random);
  call.m_spanStart = WallNanos();
  CallRequest& request = call.m_request;
  request.m_service = plan.m_service;
  request.m_method = std::move(aRequest.m_method);
  request.m_target = std::move(aRequest.m_target);
  request.m_depth =
    static_cast<std::uint32_t>(ParseNumberHeader(headers, kDepthHeader, 0));
  request.m_headers =
    HeadersFromCaller(m_deps.m_dialect, std::move(aRequest.m_headers));
  if (m_deps.m_dialect.m_sendsHopHeaders) {
    request.m_headers.push_back(HttpHeader{ std::string{ kTraceparentHeader },
                                            FormatTraceparent(call.m_span) });
  }
  if (!m_deps.m_dialect.m_callerService.empty()) {
    request.m_headers.push_back(
      HttpHeader{ std::string{ m_deps.m_dialect.m_callerService },
                  m_deps.m_settings.m_service });
  }
  if (workspace != nullptr) {
    call.m_workspace = workspace->m_name;
    call.m_workspaceId = workspace->m_id;
    call.m_receipt = aAdmission.m_receipt;
    request.m_headers.push_back(HttpHeader{
      std::string{ m_deps.m_dialect.m_workspace }, workspace->m_name });
  }
  if (m_deps.m_settings.m_runs.m_sharesFairly) {
    plan.m_share = ShareOf(workspace, call.m_parent);
  }
  request.m_share = plan.m_share;
  request.m_priority = plan.m_priority;
  request.m_kind = plan.m_kind;
  request.m_body = std::move(aRequest.m_body);
  request.m_class = plan.m_class;
  request.m_idempotent = plan.m_idempotent;
  plan.m_fingerprint = CallFingerprint(m_deps.m_dialect, request);
  const LinkDemand demand = LinkDemandOf(now, plan, statistics);
  if (const auto retryAfter =
        BookLink(now, aRequest.m_isFromThisInstance, demand, plan, call)) {
    RefuseForLink(call, *retryAfter);
    return;
  }

  const std::uint64_t id = ++m_lastCall;
  m_latestCallByConnection[call.m_connection] = id;
  m_pending.emplace(id, std::move(call));
  Execute(m_dispatcher.Begin(now, id, std::move(plan)));
}

CallShare
CallGateway::ShareOf(const WorkspaceRow* aWorkspace,
                     const std::optional<TraceContext>& aParent) const
{
  if (aWorkspace != nullptr) {
    return { aWorkspace->m_id,
             m_deps.m_workspaces.Table().WeightOf(*aWorkspace) };
  }
  // The caller may be a run of the local worker.
  return aParent ? m_runService.ShareOfRun(*aParent) : CallShare{};
}

CallGateway::RouteStatistics&
CallGateway::StatisticsOf(const std::string& aKey)
{
  if (m_routeStatistics.size() > kMaxRouteStatistics) {
    // Most entries belong to removed routes. Statistics of current routes are
    // soon collected again.
    m_routeStatistics.clear();
  }
  const auto [found, isNew] = m_routeStatistics.try_emplace(aKey);
  if (isNew) {
    found->second.m_routeHash = ShortHash(aKey);
  }
  return found->second;
}

std::string
CallGateway::SelectService(const Route& aRoute)
{
  if (aRoute.m_split.empty()) {
    return aRoute.m_service;
  }
  std::uint64_t total = 0;
  for (const WeightedService& each : aRoute.m_split) {
    total += each.m_weight;
  }
  std::uint64_t remaining = Below(m_random, total);
  for (const WeightedService& each : aRoute.m_split) {
    if (remaining < each.m_weight) {
      return each.m_service;
    }
    remaining -= each.m_weight;
  }
  return aRoute.m_split.front().m_service;
}

bool
CallGateway::DiscardIfAbandoned(const HttpRequest& aRequest,
                                AbandonedStage aStage)
{
  if (!m_http.HasClientClosed(aRequest.m_connection)) {
    return false;
  }
  CountAbandoned(aStage);
  return true;
}

void
CallGateway::CountAbandoned(AbandonedStage aStage)
{
  m_deps.m_metrics.CountAbandoned(NameOf(aStage));
}

void
CallGateway::OnCallerConnectionClosed(std::uint64_t aConnection)
{
  if (m_startBuffer.DropConnection(aConnection)) {
    CountAbandoned(AbandonedStage::Buffered);
  }
  for (const WorkspaceId each : m_tokenQueue.DropConnection(aConnection)) {
    m_deps.m_workspaces.CancelWait(each);
    CountAbandoned(AbandonedStage::Queued);
  }
  const auto found = m_latestCallByConnection.find(aConnection);
  if (found == m_latestCallByConnection.end()) {
    return;
  }
  const std::uint64_t call = found->second;
  m_latestCallByConnection.erase(found);
  CountAbandoned(AbandonedStage::InFlight);
  Execute(m_dispatcher.OnCallerDisconnected(Clock::now(), call));
}

}
