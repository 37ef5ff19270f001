#include "greengagehub/daemon/call_gateway.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>
#include <asio/post.hpp>

// Events from links, membership, the local worker and the configuration.

namespace greengagehub {

namespace {

/// The rest of the fleet's retry budget covers failed daemons and errors in the
/// estimated share of retried runs.
constexpr double kRetryBudgetShare = 0.85;

/// A call routed by an older version is checked after this part of the time in
/// which a version has to be in force. Before, the caller's daemon may rightly
/// have the older one.
constexpr int kMisroutedDivisor = 2;

/// A daemon whose caller still waits sends something sooner: it opens a new
/// link 1.5 s after one has become silent.
constexpr auto kMaxCallerSilence = std::chrono::seconds{ 3 };

bool
LeadsTo(const Route& aRoute, const std::string& aService)
{
  if (aRoute.m_split.empty()) {
    return aRoute.m_service == aService;
  }
  return std::ranges::any_of(aRoute.m_split, [&](const WeightedService& aEach) {
    return aEach.m_service == aService;
  });
}

/// \returns The limits of the configuration; where it sets none, those of the
/// settings or the defaults.
HttpServerLimits
MergedLimits(const CallSettings& aSettings, const Limits& aConfigured)
{
  HttpServerLimits limits{ .m_maxBodyBytes = aSettings.m_maxBodyBytes };
  if (aConfigured.m_maxHeadBytes > 0) {
    limits.m_maxHeadBytes = aConfigured.m_maxHeadBytes;
  }
  if (aConfigured.m_maxBodyBytes > 0) {
    limits.m_maxBodyBytes = aConfigured.m_maxBodyBytes;
  }
  if (aConfigured.m_headTimeout.count() > 0) {
    limits.m_headTimeout = aConfigured.m_headTimeout;
  }
  if (aConfigured.m_idleTimeout.count() > 0) {
    limits.m_idleTimeout = aConfigured.m_idleTimeout;
  }
  return limits;
}

AttemptState
StateOf(const LinkCancelResult& aResult)
{
  if (!aResult.m_started) {
    return AttemptState::NotStarted;
  }
  return aResult.m_lost ? AttemptState::Lost : AttemptState::Started;
}

LinkCancelResult
ResultOf(std::uint64_t aCall, CancelResult aResult)
{
  return { aCall,
           aResult != CancelResult::NotStarted,
           aResult == CancelResult::Finished ||
             aResult == CancelResult::Evicted };
}

}

void
CallGateway::OnServerFrame(LinkConnection& aConnection, LinkFrame aFrame)
{
  const std::uint64_t process = aConnection.m_peer.m_process;
  if (auto* request = std::get_if<CallRequest>(&aFrame)) {
    const CallKey key{ process, request->m_call };
    const TimePoint now = Clock::now();
    if (m_resumeFilter.IsDelaying(now, BootTime())) {
      const bool isFirst = m_resumeFilter.Add(ResumeFilter::LinkRequest{
        now, key, aConnection.m_peer.m_epoch, std::move(*request) });
      if (isFirst) {
        ScheduleFilterRelease(m_resumeFilter.ReleaseTime());
      }
      return;
    }
    m_runService.OnRequest(
      key, aConnection.m_peer.m_epoch, std::move(*request));
    return;
  }
  if (const auto* cancel = std::get_if<LinkCancel>(&aFrame)) {
    m_resumeFilter.Cancel({ process, cancel->m_call });
    const CancelResult result =
      m_runService.OnCancel({ process, cancel->m_call }, cancel->m_abandon);
    if (!cancel->m_abandon) {
      aConnection.Send(ResultOf(cancel->m_call, result));
    }
  }
}

void
CallGateway::DropQueuedOf(const LinkConnection& aClosed)
{
  const LinkHello& peer = aClosed.m_peer;
  if (m_server.Find(peer.m_process) == &aClosed) {
    m_resumeFilter.CloseEpochs(peer.m_process, peer.m_epoch + 1);
    m_runService.OnEpoch(peer.m_process, peer.m_epoch + 1);
  }
}

void
CallGateway::EndRunsOfSilentCallers(TimePoint aNow)
{
  m_runService.EndRunsOf([&](std::uint64_t aProcess) {
    const auto lastReceived = m_server.LastReceived(aProcess);
    return !lastReceived ||
           aNow - std::max(*lastReceived, m_resumedAt) > kMaxCallerSilence;
  });
}

void
CallGateway::OnPoolFrame(const std::string& aSlot, LinkFrame aFrame)
{
  if (auto* answer = std::get_if<CallAnswer>(&aFrame)) {
    if (answer->m_newerVersion > m_deps.m_holder.GetVersion()) {
      m_deps.m_onNewerVersion(aSlot, answer->m_newerVersion);
    }
    Execute(m_dispatcher.OnAnswer(Clock::now(), std::move(*answer)));
    return;
  }
  if (const auto* result = std::get_if<LinkCancelResult>(&aFrame)) {
    Execute(m_dispatcher.OnCancelResult(
      Clock::now(), result->m_call, StateOf(*result)));
  }
}

void
CallGateway::Deliver(CallKey aKey, CallAnswer aAnswer)
{
  if (aKey.m_process == m_deps.m_process) {
    // Posted, because the dispatcher may be active further up the stack.
    asio::post(m_deps.m_loop, [this, answer = std::move(aAnswer)]() mutable {
      Execute(m_dispatcher.OnAnswer(Clock::now(), std::move(answer)));
    });
    return;
  }
  if (LinkConnection* connection = m_server.Find(aKey.m_process)) {
    if (!connection->CanSend(aAnswer)) {
      aAnswer = greengagehub::Refuse(
        aAnswer.m_call, CallOutcome::Unknown, RefusalReason::AnswerLost);
      aAnswer.m_reachedWorker = true;
    }
    connection->Send(std::move(aAnswer));
  }
}

void
CallGateway::OnMember(const MemberEvent& aEvent)
{
  const MemberRecord& record = aEvent.m_record;
  if (aEvent.m_kind == MemberEvent::Kind::Gone) {
    m_dispatcher.Workers().Remove(record.m_slot);
    m_addresses.erase(record.m_slot);
    return;
  }
  if (m_trackedServices.contains(record.m_service)) {
    AddOrUpdateWorker(record);
  } else {
    // The slot may have belonged to a tracked service before.
    m_dispatcher.Workers().Remove(record.m_slot);
  }
}

void
CallGateway::OnWorker(const WorkerPresence& aPresence)
{
  m_runService.OnWorker(aPresence);
  WorkerRow own;
  own.m_slot = m_deps.m_settings.m_slot;
  own.m_service = m_deps.m_settings.m_service;
  own.m_domain = m_deps.m_settings.m_domain;
  own.m_slots = aPresence.Current()->m_slots;
  own.m_incarnation = aPresence.CurrentTag();
  own.m_version = aPresence.Current()->m_version;
  own.m_isUnavailable = !aPresence.TakesCalls() || m_draining;
  m_dispatcher.Workers().Put(std::move(own));
  if (!aPresence.TakesCalls()) {
    m_server.Broadcast(LinkDraining{});
  }
}

void
CallGateway::ProbeWorker(RunService::ProbeHandler aDone)
{
  const auto& services = m_deps.m_holder.Active()->m_content.Services();
  const auto own = services.find(m_deps.m_settings.m_service);
  if (own != services.end() && !own->second->m_value.m_healthPath.empty()) {
    m_runService.Probe(own->second->m_value.m_healthPath, std::move(aDone));
  }
}

void
CallGateway::AddOrUpdateWorker(const MemberRecord& aRecord)
{
  WorkerRow row;
  row.m_slot = aRecord.m_slot;
  row.m_service = aRecord.m_service;
  row.m_domain = aRecord.m_domain;
  row.m_slots = std::max(1U, aRecord.m_slots);
  row.m_incarnation = aRecord.m_workerIncarnation;
  row.m_version = aRecord.m_workerVersion;
  row.m_isUnavailable = !TakesCalls(aRecord.m_state) || aRecord.m_slots == 0;
  if (aRecord.m_isWorkerLeaving) {
    m_dispatcher.Workers().MarkLeaving(
      Clock::now(), aRecord.m_slot, aRecord.m_workerIncarnation);
  }
  m_dispatcher.Workers().Put(std::move(row));
  m_addresses[aRecord.m_slot] = aRecord.m_address;
}

void
CallGateway::TrackService(const std::string& aService)
{
  if (!m_trackedServices.insert(aService).second) {
    return;
  }
  m_deps.m_members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) {
      const MemberRecord& record = aRow.m_record;
      if (record.m_service == aService && IsPresent(record.m_state)) {
        AddOrUpdateWorker(record);
      }
    });
}

void
CallGateway::OnVersion()
{
  const Content& content = m_deps.m_holder.Active()->m_content;
  m_versionTimes.Record(Clock::now(), m_deps.m_holder.GetVersion());
  m_routes = RouteTable{ content };
  m_dispatcher.SetRetryLimits(RetryLimitsNow());
  const HttpServerLimits limits =
    MergedLimits(m_deps.m_settings.m_calls, content.GetLimits());
  m_http.SetLimits(limits);
  m_runService.SetMaxAnnouncedBytes(limits.m_maxBodyBytes);
  // Posted, because the caller marks the version as current only after this.
  asio::post(m_deps.m_loop, [this] { ReleaseStartBuffer(Clock::now()); });
}

bool
CallGateway::IsMisrouted(const CallRequest& aRequest) const
{
  const auto newerSince = m_versionTimes.FirstAfter(aRequest.m_routedBy);
  const Duration limit =
    m_deps.m_settings.m_platform.m_maxConfigDelay / kMisroutedDivisor;
  const bool isLate = aRequest.m_routedBy > Version{} && newerSince &&
                      Clock::now() - *newerSince > limit;
  if (!isLate) {
    return false;
  }
  const Route* route =
    m_routes.Find(HostOf(aRequest.m_headers), PathOf(aRequest.m_target));
  return route == nullptr || !LeadsTo(*route, aRequest.m_service);
}

RetryLimits
CallGateway::RetryLimitsNow() const
{
  const PlatformSettings& platform = m_deps.m_settings.m_platform;
  RetryLimits limits;
  if (!platform.m_enabled) {
    constexpr double kPercent = 100.0;
    const Content& content = m_deps.m_holder.Active()->m_content;
    limits.m_share = content.GetLimits().m_retryPercent / kPercent;
    return limits;
  }
  // The limits apply to the whole fleet. The share is relative to each daemon's
  // calls; the slack is absolute and divided among the daemons.
  const auto daemons = static_cast<double>(m_deps.m_members().Present() + 1);
  limits.m_share = kRetryBudgetShare * platform.m_retryShare;
  limits.m_slack = kRetryBudgetShare * platform.m_retrySlack / daemons;
  limits.m_window = platform.m_retryWindow;
  return limits;
}

void
CallGateway::OnProcessResumed()
{
  m_resumedAt = Clock::now();
  m_resumeFilter.DropAll();
  m_server.CloseAll();
}

void
CallGateway::ScheduleFilterRelease(TimePoint aWhen)
{
  m_filterTimer.expires_at(aWhen);
  m_filterTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      ReleaseFiltered();
    }
  });
}

void
CallGateway::ReleaseFiltered()
{
  const TimePoint now = Clock::now();
  for (ResumeFilter::LinkRequest& each : m_resumeFilter.TakeAll()) {
    const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(
      now - each.m_receivedAt);
    each.m_request.m_timeLeft -= delay;
    each.m_request.m_targetLeft -= delay;
    m_runService.OnRequest(each.m_key, each.m_epoch, std::move(each.m_request));
  }
}

}
