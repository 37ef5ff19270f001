#include "greengagehub/daemon/platform_endpoints.hpp"

#include "greengagehub/daemon/descriptor_budget.hpp"
#include "platform/heartbeat.hpp"
#include "platform/names.hpp"

#include <fmt/format.h>

namespace greengagehub {

namespace {

constexpr int kMaxFirstChecks = 3;
/// Another writer may report for the address at any rate.
constexpr auto kContradictionInterval = std::chrono::seconds{ 5 };
/// Limits of the log lines on rejected reports, which any client can send at
/// any rate.
constexpr double kRejectionLogsPerSecond = 1.0;
constexpr double kRejectionLogsBurst = 20.0;

HttpServerSettings
ServerAt(const HostPort& aAddress)
{
  HttpServerSettings settings;
  settings.m_address = aAddress.m_host;
  settings.m_port = aAddress.m_port;
  settings.m_maxConnections = DescriptorBudget::kMaxControlConnections;
  return settings;
}

std::string_view
NameOf(WorkerPresence::Change aChange)
{
  switch (aChange) {
    case WorkerPresence::Change::None:
      return "none";
    case WorkerPresence::Change::Arrived:
      return "arrived";
    case WorkerPresence::Change::Updated:
      return "updated";
    case WorkerPresence::Change::Leaving:
      return "leaving";
    case WorkerPresence::Change::Replaced:
      return "replaced";
  }
  return "none";
}

}

PlatformEndpoints::PlatformEndpoints(Dependencies aDependencies)
  : m_deps(std::move(aDependencies))
  , m_worker(m_deps.m_settings.m_platform.m_heartbeatPeriod)
  , m_rejectionLogBudget(kRejectionLogsPerSecond, kRejectionLogsBurst)
  , m_readiness(m_deps.m_loop,
                ServerAt(m_deps.m_settings.m_listen.m_readiness),
                [this](const HttpRequest& aRequest, HttpResponder aResponder) {
                  OnReadiness(aRequest, std::move(aResponder));
                })
  , m_heartbeats(m_deps.m_loop,
                 ServerAt(m_deps.m_settings.m_listen.m_heartbeats),
                 [this](const HttpRequest& aRequest, HttpResponder aResponder) {
                   OnHeartbeat(aRequest, std::move(aResponder));
                 })
{
}

Outcome<std::uint16_t>
PlatformEndpoints::Open()
{
  auto readiness = m_readiness.Open();
  if (!readiness) {
    return readiness;
  }
  return m_heartbeats.Open();
}

void
PlatformEndpoints::Finish()
{
  m_readiness.Finish();
  m_heartbeats.Finish();
}

void
PlatformEndpoints::OnReadiness(const HttpRequest& aRequest,
                               HttpResponder aResponder)
{
  if (PathOf(aRequest.m_target) != platform::kReadyPath) {
    aResponder.Answer({ 404 });
    return;
  }
  aResponder.Answer(HttpResponse{ m_deps.m_isReady() ? std::uint16_t{ 200 }
                                                     : std::uint16_t{ 503 } });
}

void
PlatformEndpoints::OnHeartbeat(const HttpRequest& aRequest,
                               HttpResponder aResponder)
{
  const auto request = platform::ParseWorkerRequest(aRequest);
  if (!request) {
    RejectReport("heartbeat_unreadable", request.error().m_message);
    aResponder.Answer(JsonResponse(400, "{}"));
    return;
  }
  const auto* deregistration =
    std::get_if<platform::WorkerDeregistration>(&request.value());
  const WorkerPresence::Change change =
    deregistration != nullptr
      ? m_worker.OnDeregistered(Clock::now(), deregistration->m_incarnation)
      : ApplyReport(std::get<WorkerReport>(request.value()));
  PublishChange(change);
  // The answer follows the change because the worker receives calls only
  // through this daemon.
  aResponder.Answer(JsonResponse(200, "{}"));
}

void
PlatformEndpoints::RejectReport(std::string_view aEvent,
                                std::string_view aDetail)
{
  m_deps.m_metrics.CountRejectedReport(aEvent);
  if (m_rejectionLogBudget.TryAcquire(Clock::now())) {
    m_deps.m_log.Warning(
      "worker",
      aEvent,
      { { "detail", aDetail },
        { "left_out", m_rejectionLogBudget.TakeSuppressedCount() } });
  }
}

bool
PlatformEndpoints::TakeHealthCheck(TimePoint aNow)
{
  if (m_isContradicted) {
    m_isContradicted = false;
    m_nextContradiction = aNow + kContradictionInterval;
    return m_worker.TakesCalls();
  }
  return m_worker.AwaitsHealthCheck() && m_firstChecks++ < kMaxFirstChecks;
}

bool
PlatformEndpoints::OnProbed(const std::string& aId)
{
  PublishChange(
    m_worker.OnProbed(Clock::now(), aId, m_deps.m_settings.m_service));
  return m_worker.TakesCalls() && m_worker.Current()->m_incarnation.m_id == aId;
}

void
PlatformEndpoints::OnPreviousWorker(PreviousWorker aWorker)
{
  PublishChange(m_worker.OnPrevious(std::move(aWorker)));
}

void
PlatformEndpoints::OnWorkerReplaced()
{
  PublishChange(m_worker.OnReplaced());
}

void
PlatformEndpoints::OnWorkerLeaving()
{
  PublishChange(m_worker.OnLeaving());
}

void
PlatformEndpoints::PublishChange(WorkerPresence::Change aChange)
{
  if (aChange == WorkerPresence::Change::None) {
    return;
  }
  const WorkerReport& worker = *m_worker.Current();
  m_deps.m_log.Info(
    "worker",
    "worker_changed",
    { { "change", NameOf(aChange) },
      { "instance", worker.m_incarnation.m_id },
      { "service", worker.m_service },
      { "source", worker.m_sequence > 0 ? "heartbeat" : "health-check" },
      { "version", worker.m_version },
      { "born_ms",
        worker.m_incarnation.m_startedAt
          ? worker.m_incarnation.m_startedAt->time_since_epoch().count()
          : 0 },
      { "slots", std::uint64_t{ worker.m_slots } },
      { "sequence", worker.m_sequence } });
  m_deps.m_onWorker(m_worker);
}

WorkerPresence::Change
PlatformEndpoints::ApplyReport(const WorkerReport& aReport)
{
  const HostPort& own = m_deps.m_settings.m_worker;
  const bool isAtOwnAddress =
    aReport.m_address == own.m_host + ":" + std::to_string(own.m_port);
  if (isAtOwnAddress && aReport.m_service == m_deps.m_settings.m_service) {
    return m_worker.OnReport(Clock::now(), aReport);
  }
  // Only a health check can verify the report.
  const TimePoint now = Clock::now();
  if (isAtOwnAddress && m_worker.TakesCalls() && now >= m_nextContradiction) {
    m_isContradicted = true;
  }
  RejectReport("heartbeat_of_another",
               fmt::format("instance {} of service {} at {}",
                           aReport.m_incarnation.m_id,
                           aReport.m_service,
                           aReport.m_address));
  return WorkerPresence::Change::None;
}

}
