#include "greengagehub/daemon/call_gateway.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>

// What comes from callers: which route, held or refused or begun.

namespace greengagehub {

namespace {

/// Routes whose figures are kept.
constexpr std::size_t kMaxFigures = 10'000;
/// \returns The host without its port, in lower case.
std::string
HostOf(const std::vector<HttpHeader>& aHeaders)
{
  const std::string_view value = HeaderValue(aHeaders, "host");
  std::string host{ value.substr(0, value.rfind(':')) };
  std::transform(host.begin(), host.end(), host.begin(), [](char aChar) {
    const bool upper = aChar >= 'A' && aChar <= 'Z';
    return upper ? static_cast<char>(aChar - 'A' + 'a') : aChar;
  });
  return host;
}

bool
MayRepeat(const Route& aRoute, std::string_view aMethod)
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
CallGateway::Take(HttpRequest aRequest, HttpResponder aResponder)
{
  const TimePoint now = Clock::now();
  if (!m_resumeFilter.Holds(now, BootTime())) {
    Serve(now, std::move(aRequest), std::move(aResponder));
    return;
  }
  const bool isFirst = m_resumeFilter.Add(ResumeFilter::FromCaller{
    now, std::move(aRequest), std::move(aResponder) });
  if (isFirst) {
    ReleaseFilteredAt(m_resumeFilter.Until());
  }
}

void
CallGateway::Serve(TimePoint aCame,
                   HttpRequest aRequest,
                   HttpResponder aResponder)
{
  if (!m_parts.m_isReady()) {
    if (!m_starting.Add(Clock::now(), aCame, aRequest, aResponder)) {
      Refuse(aRequest, aResponder, RefusalReason::NotReady);
    }
    return;
  }
  const Route* route =
    m_routes.Find(HostOf(aRequest.m_headers), PathOf(aRequest.m_target));
  if (route == nullptr) {
    Refuse(aRequest, aResponder, RefusalReason::NoRoute);
    return;
  }
  const Limits& limits = m_parts.m_holder.Active()->m_content.GetLimits();
  if (NumberHeader(aRequest.m_headers, kDepthHeader, 0) >= limits.m_maxDepth) {
    Refuse(aRequest, aResponder, RefusalReason::TooDeep);
    return;
  }
  const std::string service = ServiceOf(*route);
  WantService(service);
  const bool joining = !m_dispatcher.Workers().HasUsable(service);
  if (joining && m_starting.Add(Clock::now(), aCame, aRequest, aResponder)) {
    return;
  }
  Admit(
    *route, service, aCame, std::move(aRequest), std::move(aResponder), true);
}

void
CallGateway::Admit(const Route& aRoute,
                   const std::string& aService,
                   TimePoint aCame,
                   HttpRequest aRequest,
                   HttpResponder aResponder,
                   bool aIsNew)
{
  WorkspaceAdmission admission;
  if (m_parts.m_workspaces.NeedsKey(aRoute)) {
    admission = m_parts.m_workspaces.Admit(
      HeaderValue(aRequest.m_headers, m_parts.m_dialect.m_apiKey),
      aIsNew,
      IsLate(aRoute, aCame, aRequest));
  }
  if (admission.m_waits) {
    const bool hasWaited = Clock::now() - aCame >= TokenQueue::kMaxWait;
    if (hasWaited || m_awaitingTokens.IsFull()) {
      m_parts.m_workspaces.GiveUp(admission.m_workspace->m_id);
      Refuse(aRequest,
             aResponder,
             RefusalReason::NoCoordinator,
             Spread(TokenQueue::kMaxWait),
             admission.m_workspace);
      return;
    }
    m_awaitingTokens.Add({ std::move(aRequest),
                           std::move(aResponder),
                           aCame,
                           admission.m_workspace->m_id });
    return;
  }
  if (admission.m_refusal != RefusalReason::None) {
    Refuse(aRequest,
           aResponder,
           admission.m_refusal,
           Spread(admission.m_retryAfter),
           admission.m_workspace);
    return;
  }
  Begin(aRoute,
        aService,
        aCame,
        admission.m_workspace,
        std::move(aRequest),
        std::move(aResponder));
}

bool
CallGateway::IsLate(const Route& aRoute,
                    TimePoint aCame,
                    const HttpRequest& aRequest)
{
  if (aRoute.m_targetLatency.count() == 0) {
    return false;
  }
  const auto asked = std::chrono::milliseconds{ NumberHeader(
    aRequest.m_headers,
    m_parts.m_dialect.m_deadline,
    static_cast<std::uint64_t>(aRoute.m_deadline.count())) };
  const auto age = FiguresOf(aRoute.m_host + aRoute.m_path)
                     .m_age.Of(asked, aRequest.m_isFirstOnConnection);
  return age + (Clock::now() - aCame) >= aRoute.m_targetLatency;
}

void
CallGateway::RetryAdmissions()
{
  for (TokenQueue::Waiting& each : m_awaitingTokens.TakeAll()) {
    m_parts.m_workspaces.GiveUp(each.m_workspace);
    const Route* route = m_routes.Find(HostOf(each.m_request.m_headers),
                                       PathOf(each.m_request.m_target));
    if (route == nullptr) {
      Refuse(each.m_request, each.m_responder, RefusalReason::NoRoute);
      continue;
    }
    Admit(*route,
          ServiceOf(*route),
          each.m_came,
          std::move(each.m_request),
          std::move(each.m_responder),
          false);
  }
}

void
CallGateway::Refuse(const HttpRequest& aRequest,
                    HttpResponder& aResponder,
                    RefusalReason aReason,
                    std::chrono::milliseconds aRetryAfter,
                    const WorkspaceRow* aWorkspace)
{
  m_parts.m_metrics.CountCall(NameOf(CallOutcome::NotRun), NameOf(aReason));
  const CallAnswer answer =
    greengagehub::Refuse(0, CallOutcome::NotRun, aReason, aRetryAfter);
  m_parts.m_requests.OnFinished(
    Clock::now(),
    { .m_id = HeaderValue(aRequest.m_headers, m_parts.m_dialect.m_requestId),
      .m_route = aRequest.m_target,
      .m_workspace = aWorkspace != nullptr
                       ? std::string_view{ aWorkspace->m_name }
                       : std::string_view{},
      .m_answer = answer,
      .m_version = m_parts.m_holder.GetVersion() });
  aResponder.Answer(ResponseFor(m_parts.m_dialect, answer));
}

void
CallGateway::ReleaseHeld(TimePoint aNow)
{
  if (m_starting.Count() == 0) {
    return;
  }
  if (m_parts.m_isReady()) {
    for (StartBuffer::Held& each : m_starting.TakeAll()) {
      Serve(
        each.m_came, std::move(each.m_request), std::move(each.m_responder));
    }
    return;
  }
  for (StartBuffer::Held& each : m_starting.TakeExpired(aNow)) {
    Refuse(each.m_request, each.m_responder, RefusalReason::NotReady);
  }
}

void
CallGateway::Begin(const Route& aRoute,
                   const std::string& aService,
                   TimePoint aCame,
                   const WorkspaceRow* aWorkspace,
                   HttpRequest aRequest,
                   HttpResponder aDone)
{
  const TimePoint now = Clock::now();
  const DecisionSettings& decisions = m_parts.m_settings.m_runs.m_decisions;
  const auto& headers = aRequest.m_headers;
  const auto asked = std::chrono::milliseconds{ NumberHeader(
    headers,
    m_parts.m_dialect.m_deadline,
    static_cast<std::uint64_t>(aRoute.m_deadline.count())) };
  const std::uint32_t tries = aRoute.m_attempts > 0
                                ? aRoute.m_attempts - 1
                                : m_parts.m_settings.m_calls.m_tries;
  CallPlan plan;
  plan.m_service = aService;
  plan.m_class = aRoute.m_class;
  plan.m_idempotent = MayRepeat(aRoute, aRequest.m_method);
  plan.m_deadline = aCame + std::min(asked, aRoute.m_deadline);
  const std::string routeKey = aRoute.m_host + aRoute.m_path;
  RouteFigures& figures = FiguresOf(routeKey);
  if (aRoute.m_targetLatency.count() > 0) {
    const bool isFirst = aRequest.m_isFirstOnConnection;
    const auto age = decisions.m_weighsAge ? figures.m_age.Of(asked, isFirst)
                                           : std::chrono::milliseconds::zero();
    figures.m_age.Note(asked, isFirst);
    plan.m_target = aCame + aRoute.m_targetLatency - age;
  }
  plan.m_kind = { aRoute.m_targetLatency, figures.m_route };
  plan.m_crossing = CrossingPrice(decisions,
                                  static_cast<double>(aRequest.m_body.size()),
                                  figures.m_answerBytes);
  plan.m_priority =
    aWorkspace != nullptr
      ? m_parts.m_workspaces.Table().RankOf(*aWorkspace, aRoute.m_priority)
      : aRoute.m_priority;
  if (plan.m_service != m_parts.m_settings.m_service) {
    // It may come from the own worker.
    plan.m_inherited = m_service.RepeatShareAt(now);
  }
  plan.m_triesLeft = static_cast<std::uint32_t>(
    std::min<std::uint64_t>(tries, NumberHeader(headers, kTriesHeader, tries)));

  Waiting call{ .m_responder = std::move(aDone),
                .m_connection = aRequest.m_connection,
                .m_since = aCame,
                .m_config = m_parts.m_holder.Active(),
                .m_route = routeKey,
                .m_id = std::string{
                  HeaderValue(headers, m_parts.m_dialect.m_requestId) } };
  call.m_parent = ParseTraceparent(HeaderValue(headers, kTraceparentHeader));
  const bool sample =
    Below(m_random, 100) < m_parts.m_settings.m_log.m_tracePercent;
  call.m_span = NewSpan(call.m_parent, sample, m_random);
  call.m_start = WallNanos();
  CallRequest& request = call.m_request;
  request.m_service = plan.m_service;
  request.m_method = std::move(aRequest.m_method);
  request.m_target = std::move(aRequest.m_target);
  request.m_depth =
    static_cast<std::uint32_t>(NumberHeader(headers, kDepthHeader, 0));
  request.m_headers =
    HeadersFromCaller(m_parts.m_dialect, std::move(aRequest.m_headers));
  if (m_parts.m_dialect.m_tracesHops) {
    request.m_headers.push_back(HttpHeader{ std::string{ kTraceparentHeader },
                                            FormatTraceparent(call.m_span) });
  }
  if (!m_parts.m_dialect.m_callerService.empty()) {
    request.m_headers.push_back(
      HttpHeader{ std::string{ m_parts.m_dialect.m_callerService },
                  m_parts.m_settings.m_service });
  }
  if (aWorkspace != nullptr) {
    call.m_workspace = aWorkspace->m_name;
    request.m_headers.push_back(HttpHeader{
      std::string{ m_parts.m_dialect.m_workspace }, aWorkspace->m_name });
  }
  request.m_priority = plan.m_priority;
  request.m_kind = plan.m_kind;
  request.m_body = std::move(aRequest.m_body);
  request.m_class = plan.m_class;
  request.m_idempotent = plan.m_idempotent;
  plan.m_content = ContentOf(m_parts.m_dialect, request);

  const std::uint64_t id = ++m_lastCall;
  m_byConnection[call.m_connection] = id;
  m_waiting.emplace(id, std::move(call));
  Carry(m_dispatcher.Begin(now, id, std::move(plan)));
}

CallGateway::RouteFigures&
CallGateway::FiguresOf(const std::string& aKey)
{
  if (m_figures.size() > kMaxFigures) {
    // Mostly of routes that are gone; the others are learned again at once.
    m_figures.clear();
  }
  const auto [found, isNew] = m_figures.try_emplace(aKey);
  if (isNew) {
    found->second.m_route = ShortHashOf(aKey);
  }
  return found->second;
}

std::string
CallGateway::ServiceOf(const Route& aRoute)
{
  if (aRoute.m_split.empty()) {
    return aRoute.m_service;
  }
  std::uint64_t total = 0;
  for (const RouteShare& each : aRoute.m_split) {
    total += each.m_weight;
  }
  std::uint64_t drawn = Below(m_random, total);
  for (const RouteShare& each : aRoute.m_split) {
    if (drawn < each.m_weight) {
      return each.m_service;
    }
    drawn -= each.m_weight;
  }
  return aRoute.m_split.front().m_service;
}

void
CallGateway::OnHungUp(std::uint64_t aConnection)
{
  m_starting.Drop(aConnection);
  for (const WorkspaceId each : m_awaitingTokens.Drop(aConnection)) {
    m_parts.m_workspaces.GiveUp(each);
  }
  m_resumeFilter.HungUp(aConnection);
  const auto found = m_byConnection.find(aConnection);
  if (found == m_byConnection.end()) {
    return;
  }
  const std::uint64_t call = found->second;
  m_byConnection.erase(found);
  Carry(m_dispatcher.OnCallerGone(Clock::now(), call));
}

}
