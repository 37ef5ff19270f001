#include "greengagehub/daemon/request_log.hpp"

#include "greengagehub/daemon/call_headers.hpp"

namespace greengagehub {

namespace {

constexpr std::string_view kComponent = "calls";

std::int64_t
Micros(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aSpan).count();
}

}

void
RequestLog::OnFinished(TimePoint aNow, const FinishedRequest& aRequest)
{
  const CallAnswer& answer = aRequest.m_answer;
  const bool isRoutine = answer.m_outcome == CallOutcome::Answered &&
                         answer.m_response.m_status < kFirstServerError &&
                         aRequest.m_attempts <= 1;
  if (isRoutine && ++m_routineRequests % kSampleInterval != 0) {
    return;
  }
  if (!m_budget.TryAcquire(aNow)) {
    return;
  }
  m_log.Info(kComponent,
             "request_finished",
             { { "request", aRequest.m_id },
               { "route", aRequest.m_route },
               { "service", aRequest.m_service },
               { "workspace", aRequest.m_workspace },
               { "outcome", NameOf(answer.m_outcome) },
               { "reason", NameOf(answer.m_reason) },
               { "status", std::uint64_t{ StatusOf(answer) } },
               { "last_slot", aRequest.m_slot },
               { "sends", std::uint64_t{ aRequest.m_attempts } },
               { "took_us", Micros(aRequest.m_duration) },
               { "retry_after_ms", answer.m_retryAfter.count() },
               { "version", aRequest.m_version.m_number } });
}

void
RequestLog::OnQuarantined(TimePoint aNow,
                          std::string_view aId,
                          Fingerprint aFingerprint,
                          Duration aTimeLeft)
{
  if (m_budget.TryAcquire(aNow)) {
    m_log.Info(kComponent,
               "request_held",
               { { "request", aId },
                 { "content", ToHex(aFingerprint) },
                 { "left_us", Micros(aTimeLeft) } });
  }
}

void
RequestLog::OnRetried(TimePoint aNow,
                      std::string_view aId,
                      std::string_view aSlot,
                      std::uint32_t aAttempts,
                      std::chrono::microseconds aTimeLeft)
{
  if (!m_budget.TryAcquire(aNow)) {
    return;
  }
  m_log.Info(kComponent,
             "request_placed",
             { { "request", aId },
               { "slot", aSlot },
               { "sends", std::uint64_t{ aAttempts } },
               { "left_us", aTimeLeft.count() } });
}

void
RequestLog::OnRunRefused(TimePoint aNow,
                         std::string_view aId,
                         RefusalReason aReason,
                         std::chrono::microseconds aTimeLeft,
                         const WorkerState& aState)
{
  if (!m_budget.TryAcquire(aNow)) {
    return;
  }
  if (aState.m_use) {
    const ShareUse& use = *aState.m_use;
    m_log.Info(kComponent,
               "run_refused",
               { { "request", aId },
                 { "reason", NameOf(aReason) },
                 { "left_us", aTimeLeft.count() },
                 { "waited_us", Micros(aState.m_waited) },
                 { "routed_by", aState.m_routedBy.m_number },
                 { "version", aState.m_version.m_number },
                 { "instance", aState.m_instance },
                 { "running", std::uint64_t{ aState.m_running } },
                 { "queued", std::uint64_t{ aState.m_queued } },
                 { "slots", std::uint64_t{ aState.m_slots } },
                 { "wait_us", aState.m_wait.count() },
                 { "limited", aState.m_rateLimit.has_value() },
                 { "per_second", aState.m_rateLimit.value_or(0.0) },
                 { "share", use.m_share },
                 { "own_running", std::uint64_t{ use.m_running } },
                 { "own_queued", std::uint64_t{ use.m_queued } },
                 { "own_slot_s", use.m_slotSeconds } });
    return;
  }
  m_log.Info(kComponent,
             "run_refused",
             { { "request", aId },
               { "reason", NameOf(aReason) },
               { "left_us", aTimeLeft.count() },
               { "waited_us", Micros(aState.m_waited) },
               { "routed_by", aState.m_routedBy.m_number },
               { "version", aState.m_version.m_number },
               { "instance", aState.m_instance },
               { "running", std::uint64_t{ aState.m_running } },
               { "queued", std::uint64_t{ aState.m_queued } },
               { "slots", std::uint64_t{ aState.m_slots } },
               { "wait_us", aState.m_wait.count() },
               { "link_bytes", std::uint64_t{ aState.m_linkBytes } },
               { "link_wait_us", aState.m_linkWait.count() },
               { "limited", aState.m_rateLimit.has_value() },
               { "per_second", aState.m_rateLimit.value_or(0.0) } });
}

void
RequestLog::OnRunAnswered(TimePoint aNow, const AnsweredRun& aRun)
{
  const bool isRoutine = aRun.m_routedBy >= aRun.m_version;
  if (isRoutine && ++m_routineRuns % kSampleInterval != 0) {
    return;
  }
  if (!m_budget.TryAcquire(aNow)) {
    return;
  }
  m_log.Info(kComponent,
             "run_answered",
             { { "request", aRun.m_id },
               { "service", aRun.m_service },
               { "instance", aRun.m_instance },
               { "routed_by", aRun.m_routedBy.m_number },
               { "version", aRun.m_version.m_number },
               { "at_worker_us", Micros(aRun.m_timeAtWorker) } });
}

void
RequestLog::OnRunLost(TimePoint aNow,
                      std::string_view aId,
                      Fingerprint aFingerprint,
                      RefusalReason aReason,
                      Duration aRunTime,
                      const WorkerState& aState)
{
  if (!m_budget.TryAcquire(aNow)) {
    return;
  }
  m_log.Info(kComponent,
             "run_lost",
             { { "request", aId },
               { "content", ToHex(aFingerprint) },
               { "reason", NameOf(aReason) },
               { "ran_us", Micros(aRunTime) },
               { "instance", aState.m_instance },
               { "running", std::uint64_t{ aState.m_running } } });
}

void
RequestLog::OnBrokenAnswer(TimePoint aNow,
                           std::string_view aId,
                           std::string_view aInstance,
                           ResponseFault aFault)
{
  if (m_budget.TryAcquire(aNow)) {
    m_log.Warning(kComponent,
                  "answer_broken",
                  { { "request", aId },
                    { "instance", aInstance },
                    { "reason", NameOf(aFault) } });
  }
}

void
RequestLog::OnWorkerExit(std::string_view aInstance,
                         bool aIsDraining,
                         const WorkerCrash& aExit)
{
  std::string fingerprints;
  for (const Witness& each : aExit.m_runs) {
    fingerprints += fingerprints.empty() ? "" : " ";
    fingerprints += ToHex(each.m_fingerprint);
  }
  m_log.Warning("worker",
                "worker_ended",
                { { "instance", aInstance },
                  { "leaving", aIsDraining },
                  { "number", aExit.m_number },
                  { "runs", std::uint64_t{ aExit.m_runs.size() } },
                  { "contents", fingerprints } });
}

void
RequestLog::OnWorkerSignals(TimePoint aNow,
                            std::string_view aInstance,
                            const WorkerSignals& aPrevious,
                            const WorkerSignals& aCurrent)
{
  if (aCurrent.m_rateLimit != aPrevious.m_rateLimit &&
      m_signalBudget.TryAcquire(aNow)) {
    m_log.Info("worker",
               "worker_limit",
               { { "instance", aInstance },
                 { "limited", aCurrent.m_rateLimit.has_value() },
                 { "per_second", aCurrent.m_rateLimit.value_or(0.0) },
                 { "was_limited", aPrevious.m_rateLimit.has_value() },
                 { "was_per_second", aPrevious.m_rateLimit.value_or(0.0) },
                 { "left_out", m_signalBudget.TakeSuppressedCount() } });
  }
  if (aCurrent.m_invalidRateLimit != aPrevious.m_invalidRateLimit &&
      !aCurrent.m_invalidRateLimit.empty() && m_signalBudget.TryAcquire(aNow)) {
    m_log.Warning("worker",
                  "worker_limit_unreadable",
                  { { "instance", aInstance },
                    { "text", aCurrent.m_invalidRateLimit },
                    { "expected", "a decimal number, once" } });
  }
  if (aCurrent.m_isLeaving && !aPrevious.m_isLeaving) {
    m_log.Info("worker", "worker_leaving", { { "instance", aInstance } });
  }
}

void
RequestLog::OnRunCancelled(TimePoint aNow,
                           std::string_view aId,
                           Duration aWaited,
                           Duration aRan)
{
  if (m_budget.TryAcquire(aNow)) {
    m_log.Info(kComponent,
               "run_cancelled",
               { { "request", aId },
                 { "started", true },
                 { "waited_us", Micros(aWaited) },
                 { "ran_us", Micros(aRan) } });
  }
}

void
RequestLog::OnTick()
{
  if (const std::uint64_t omitted = m_budget.TakeSuppressedCount();
      omitted > 0) {
    m_log.Warning(kComponent, "lines_left_out", { { "count", omitted } });
  }
}

}
