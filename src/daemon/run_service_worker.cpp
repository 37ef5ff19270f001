#include "greengagehub/daemon/run_service.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/http/listen_check.hpp"

#include <fmt/format.h>

// Incarnations and crashes of the backend server's process.

namespace greengagehub {

namespace {

constexpr std::uint32_t kMaxQueuedPerSlot = 4;
constexpr std::size_t kMaxProbeBodyBytes = 64UL * 1024;
constexpr auto kProbeTimeout = std::chrono::milliseconds{ 1000 };
/// Time for answers of the previous incarnation that are still in transit on
/// this machine.
constexpr auto kPreviousAnswerGrace = std::chrono::milliseconds{ 100 };
/// Within an instance a connection is accepted or refused at once; after a
/// timeout, the state of the worker is unknown.
constexpr auto kListenCheckTimeout = std::chrono::milliseconds{ 20 };
constexpr auto kReturnCheckInterval = std::chrono::milliseconds{ 100 };
/// A worker that was replaced between two checks is tried again after this.
constexpr auto kMaxDeparture = std::chrono::seconds{ 60 };

asio::ip::tcp::endpoint
WorkerAddress(const Settings& aSettings)
{
  return { asio::ip::make_address(aSettings.m_worker.m_host),
           aSettings.m_worker.m_port };
}

}

void
RunService::CheckWorkerAfterLoss(CallKey aKey, TimePoint aConnectedAt)
{
  const ActiveRun& run = m_activeRuns.at(aKey);
  m_lostRuns.push_back(aKey);
  const Witness lost{ run.m_fingerprint,
                      Clock::now() - run.m_startedAt,
                      std::nullopt };
  if (!m_crashDetector.OnConnectionLost(lost, aConnectedAt)) {
    return;
  }
  CheckListening(m_deps.m_loop,
                 WorkerAddress(m_deps.m_settings),
                 kListenCheckTimeout,
                 [this](ListenStatus aResult) {
                   OnListenCheck(aResult == ListenStatus::No);
                 });
}

void
RunService::OnListenCheck(bool aIsPortClosed)
{
  auto end = m_crashDetector.OnProbed(Clock::now(), aIsPortClosed);
  if (end) {
    m_deps.m_requestLog.OnWorkerExit(
      m_incarnation.m_id, m_runs.IsDraining(), *end);
    m_deps.m_metrics.CountWorkerCrash();
  }
  // A draining worker exits on its own.
  const bool isCrash = end && !m_runs.IsDraining();
  if (isCrash) {
    const std::string name = fmt::format(
      "{}/{}/{}", m_deps.m_settings.m_slot, m_deps.m_seed, end->m_number);
    m_deps.m_onCrash({ .m_id = ShortHash(name),
                       .m_slot = m_deps.m_settings.m_slot,
                       .m_service = m_deps.m_settings.m_service,
                       .m_ran = std::move(end->m_runs) });
  }
  for (const CallKey& each : std::exchange(m_lostRuns, {})) {
    FinishLostRun(each, isCrash);
  }
}

void
RunService::FinishLostRun(CallKey aKey, bool aWorkerCrashed)
{
  const auto run = m_activeRuns.find(aKey);
  if (run == m_activeRuns.end()) {
    return;
  }
  CallAnswer answer = Refuse(aKey.m_call,
                             CallOutcome::Unknown,
                             aWorkerCrashed ? RefusalReason::WorkerCrashed
                                            : RefusalReason::AnswerLost);
  answer.m_reachedWorker = true;
  if (aWorkerCrashed) {
    answer.m_crashCount =
      m_deps.m_quarantine.CrashCount(run->second.m_fingerprint);
  }
  FinishRun(aKey, std::move(answer));
}

void
RunService::Probe(const std::string& aPath, ProbeHandler aDone)
{
  BackendRequest request;
  request.m_target = aPath;
  request.m_headers = { { "Host", m_deps.m_settings.m_worker.m_host } };
  request.m_deadline = Clock::now() + kProbeTimeout;
  request.m_maxBodyBytes = kMaxProbeBodyBytes;
  const TimePoint sentAt = Clock::now();
  m_runs.Limiter().RecordSend(sentAt);
  m_deps.m_metrics.CountWorkerRequest();
  m_client.Send(
    std::move(request),
    [this, sentAt, done = std::move(aDone)](const BackendResult& aResult) {
      ReportFault(aResult, {});
      const HttpResponse& response = aResult.m_response;
      const bool isHealthy = aResult.m_kind == BackendResult::Kind::Answered &&
                             IsSuccess(response.m_status);
      const std::string_view id =
        HeaderValue(response.m_headers, m_deps.m_dialect.m_instance);
      if (isHealthy && !id.empty() && done(std::string{ id })) {
        ApplySignals(sentAt,
                     ParseWorkerSignals(m_deps.m_dialect, response.m_headers));
      }
    });
}

void
RunService::OnWorker(const WorkerPresence& aPresence)
{
  const auto& worker = aPresence.Current();
  if (!aPresence.TakesCalls()) {
    if (m_hasWorker) {
      StartDraining();
    }
    return;
  }
  OnIncarnation(worker->m_incarnation, aPresence.PreviousLastReportAt());
  m_incarnationTag = aPresence.CurrentTag();
  m_version = worker->m_version;
  m_warmUpEnd = Clock::now() + worker->m_warmUpLeft;
  m_hasWorker = true;
  m_runs.Reopen();
  m_runs.SetLimits(worker->m_slots, kMaxQueuedPerSlot * worker->m_slots);
}

WorkerCounts
RunService::Counts() const
{
  WorkerCounts counts;
  counts.m_slot = m_deps.m_settings.m_slot;
  counts.m_process = m_deps.m_seed;
  counts.m_service = m_deps.m_settings.m_service;
  counts.m_version = m_hasWorker ? m_version : std::string{};
  counts.m_pendingCalls = m_runs.Load();
  counts.m_arrived = m_runCounter.CountArrived();
  counts.m_routes = m_runCounter.Routes();
  return counts;
}

void
RunService::CountResult(const ActiveRun& aRun, const CallAnswer& aAnswer)
{
  constexpr std::uint16_t kGatewayTimeout = 504;
  RunCounter::Result result = RunCounter::Result::Good;
  if (aAnswer.m_outcome == CallOutcome::NotRun) {
    return;
  }
  if (aAnswer.m_outcome == CallOutcome::Unknown) {
    result = aAnswer.m_reason == RefusalReason::DeadlinePassed
               ? RunCounter::Result::Expired
               : RunCounter::Result::Lost;
  } else if (aAnswer.m_response.m_status == kGatewayTimeout) {
    result = RunCounter::Result::Expired;
  } else if (aAnswer.m_response.m_status >= kFirstServerError) {
    result = RunCounter::Result::Failed;
  }
  const TimePoint now = Clock::now();
  m_runCounter.Ended(aRun.m_request.m_kind.m_route,
                     result,
                     now - aRun.m_startedAt,
                     now < m_warmUpEnd);
}

void
RunService::OnIncarnation(const WorkerIncarnation& aIncarnation,
                          TimePoint aPreviousLastReport)
{
  if (!MayBeSame(m_incarnation, aIncarnation)) {
    m_client.CloseIdle();
    // If a crash closed no connection, its requests would occupy slots of the
    // new incarnation until their deadlines.
    m_client.ShortenDeadlines(aPreviousLastReport,
                              Clock::now() + kPreviousAnswerGrace);
    OnNewIncarnation();
  }
  m_incarnation = aIncarnation;
}

void
RunService::OnNewIncarnation()
{
  m_runs.OnWorkerRestarted();
  ++m_workerStarts;
  m_signals = {};
}

void
RunService::CheckWorkerReturn(TimePoint aNow)
{
  if (!m_departure || aNow < m_departure->m_nextCheck) {
    return;
  }
  m_departure->m_nextCheck = aNow + kReturnCheckInterval;
  if (aNow - m_departure->m_since > kMaxDeparture) {
    OnWorkerReturned();
    return;
  }
  CheckListening(m_deps.m_loop,
                 WorkerAddress(m_deps.m_settings),
                 kListenCheckTimeout,
                 [this](ListenStatus aStatus) {
                   if (!m_departure) {
                     return;
                   }
                   if (aStatus == ListenStatus::No) {
                     m_departure->m_hasExited = true;
                   } else if (aStatus == ListenStatus::Yes &&
                              m_departure->m_hasExited) {
                     OnWorkerReturned();
                   }
                 });
}

void
RunService::OnWorkerReturned()
{
  m_departure.reset();
  m_client.CloseIdle();
  OnNewIncarnation();
  m_deps.m_onLeaving(false);
}

}
