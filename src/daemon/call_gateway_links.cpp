#include "greengagehub/daemon/call_gateway.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

#include <algorithm>
#include <asio/post.hpp>

// What comes from links, members, the own worker and the configuration.

namespace greengagehub {

namespace {

/// Part of the fleet's retry budget that daemons use. The rest is for what they
/// cannot count: what daemons used that have died since they were counted, and
/// the error of the share of repeats among a worker's runs.
constexpr double kRetryReserve = 0.85;

/// \returns What the configuration says, and the settings where it is silent.
HttpServerLimits
LimitsFrom(const CallSettings& aSettings, const Limits& aGiven)
{
  HttpServerLimits own{ .m_maxBodyBytes = aSettings.m_maxBodyBytes };
  if (aGiven.m_maxHeadBytes > 0) {
    own.m_maxHeadBytes = aGiven.m_maxHeadBytes;
  }
  if (aGiven.m_maxBodyBytes > 0) {
    own.m_maxBodyBytes = aGiven.m_maxBodyBytes;
  }
  if (aGiven.m_headTimeout.count() > 0) {
    own.m_headTimeout = aGiven.m_headTimeout;
  }
  if (aGiven.m_idleTimeout.count() > 0) {
    own.m_idleTimeout = aGiven.m_idleTimeout;
  }
  return own;
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
             aResult == CancelResult::Forgotten };
}

}

void
CallGateway::OnServerFrame(LinkConnection& aConnection, LinkFrame aFrame)
{
  const std::uint64_t process = aConnection.m_peer.m_process;
  if (auto* request = std::get_if<CallRequest>(&aFrame)) {
    const CallKey key{ process, request->m_call };
    const TimePoint now = Clock::now();
    if (m_resumeFilter.Holds(now, BootTime())) {
      const bool isFirst = m_resumeFilter.Add(ResumeFilter::FromLink{
        now, key, aConnection.m_peer.m_epoch, std::move(*request) });
      if (isFirst) {
        ReleaseFilteredAt(m_resumeFilter.Until());
      }
      return;
    }
    m_service.OnRequest(key, aConnection.m_peer.m_epoch, std::move(*request));
    return;
  }
  if (const auto* cancel = std::get_if<LinkCancel>(&aFrame)) {
    m_resumeFilter.Cancel({ process, cancel->m_call });
    const CancelResult result =
      m_service.OnCancel({ process, cancel->m_call }, cancel->m_abandon);
    if (!cancel->m_abandon) {
      aConnection.Send(ResultOf(cancel->m_call, result));
    }
  }
}

void
CallGateway::OnPoolFrame(LinkFrame aFrame)
{
  if (auto* answer = std::get_if<CallAnswer>(&aFrame)) {
    Carry(m_dispatcher.OnAnswer(Clock::now(), std::move(*answer)));
    return;
  }
  if (const auto* result = std::get_if<LinkCancelResult>(&aFrame)) {
    Carry(m_dispatcher.OnCancelResult(
      Clock::now(), result->m_call, StateOf(*result)));
  }
}

void
CallGateway::Deliver(CallKey aKey, CallAnswer aAnswer)
{
  if (aKey.m_process == m_parts.m_process) {
    // Posted, as the dispatcher may be under way further up the stack.
    asio::post(m_parts.m_loop, [this, answer = std::move(aAnswer)]() mutable {
      Carry(m_dispatcher.OnAnswer(Clock::now(), std::move(answer)));
    });
    return;
  }
  if (LinkConnection* connection = m_server.Find(aKey.m_process)) {
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
  if (m_services.contains(record.m_service)) {
    PutWorker(record);
  } else {
    // Its slot may have belonged to another service before.
    m_dispatcher.Workers().Remove(record.m_slot);
  }
}

void
CallGateway::OnWorker(const WorkerPresence& aPresence)
{
  m_service.OnWorker(aPresence);
  WorkerRow own;
  own.m_slot = m_parts.m_settings.m_slot;
  own.m_service = m_parts.m_settings.m_service;
  own.m_domain = m_parts.m_settings.m_domain;
  own.m_slots = aPresence.Current()->m_slots;
  own.m_start = TagOf(aPresence.Current()->m_start);
  own.m_version = aPresence.Current()->m_version;
  own.m_leaving = !aPresence.TakesCalls() || m_leaving;
  m_dispatcher.Workers().Put(std::move(own));
  if (!aPresence.TakesCalls()) {
    m_server.Broadcast(LinkLeaving{});
  }
}

void
CallGateway::ProbeWorker(std::function<void(std::string)> aDone)
{
  const auto& services = m_parts.m_holder.Active()->m_content.Services();
  const auto own = services.find(m_parts.m_settings.m_service);
  if (own != services.end() && !own->second->m_value.m_healthPath.empty()) {
    m_service.Probe(own->second->m_value.m_healthPath, std::move(aDone));
  }
}

void
CallGateway::PutWorker(const MemberRecord& aRecord)
{
  WorkerRow row;
  row.m_slot = aRecord.m_slot;
  row.m_service = aRecord.m_service;
  row.m_domain = aRecord.m_domain;
  row.m_slots = std::max(1U, aRecord.m_slots);
  row.m_start = aRecord.m_workerStart;
  row.m_version = aRecord.m_workerVersion;
  row.m_leaving = !TakesCalls(aRecord.m_state) || aRecord.m_slots == 0;
  m_dispatcher.Workers().Put(std::move(row));
  m_addresses[aRecord.m_slot] = aRecord.m_address;
}

void
CallGateway::WantService(const std::string& aService)
{
  if (!m_services.insert(aService).second) {
    return;
  }
  m_parts.m_members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) {
      const MemberRecord& record = aRow.m_record;
      if (record.m_service == aService && IsPresent(record.m_state)) {
        PutWorker(record);
      }
    });
}

void
CallGateway::OnVersion()
{
  const Content& content = m_parts.m_holder.Active()->m_content;
  m_routes = RouteTable{ content };
  m_dispatcher.SetRetryLimits(RetryLimitsNow());
  m_http.SetLimits(LimitsFrom(m_parts.m_settings.m_calls, content.GetLimits()));
  // Posted, as whoever brought the version says next that it is the newest.
  asio::post(m_parts.m_loop, [this] { ReleaseHeld(Clock::now()); });
}

RetryLimits
CallGateway::RetryLimitsNow() const
{
  const PlatformSettings& platform = m_parts.m_settings.m_platform;
  RetryLimits limits;
  if (!platform.m_enabled) {
    constexpr double kPercent = 100.0;
    const Content& content = m_parts.m_holder.Active()->m_content;
    limits.m_share = content.GetLimits().m_retryPercent / kPercent;
    return limits;
  }
  // The limit is the fleet's. A share of calls adds up over daemons by itself;
  // the slack is divided among them.
  const auto daemons = static_cast<double>(m_parts.m_members().Present() + 1);
  limits.m_share = kRetryReserve * platform.m_retryShare;
  limits.m_slack = kRetryReserve * platform.m_retrySlack / daemons;
  limits.m_window = platform.m_retryWindow;
  return limits;
}

void
CallGateway::OnProcessResumed()
{
  m_resumeFilter.DropLinks();
  m_server.CloseAll();
}

void
CallGateway::ReleaseFilteredAt(TimePoint aWhen)
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
  ResumeFilter::Held held = m_resumeFilter.TakeAll();
  for (ResumeFilter::FromLink& each : held.m_links) {
    const auto waited =
      std::chrono::duration_cast<std::chrono::microseconds>(now - each.m_read);
    each.m_request.m_timeLeft -= waited;
    each.m_request.m_targetLeft -= waited;
    m_service.OnRequest(each.m_key, each.m_epoch, std::move(each.m_request));
  }
  for (ResumeFilter::FromCaller& each : held.m_callers) {
    Serve(each.m_came, std::move(each.m_request), std::move(each.m_responder));
  }
}

}
