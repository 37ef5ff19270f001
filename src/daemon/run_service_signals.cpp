#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/run_service.hpp"

// What the backend server states about itself in its responses.

namespace greengagehub {

void
RunService::CheckReplaced(const ActiveRun& aRun, const HttpResponse& aResponse)
{
  const bool isReplaced = aRun.m_workerStart == m_workerStarts &&
                          aResponse.m_status == kMisdirectedRequestStatus &&
                          !m_incarnation.m_id.empty();
  if (isReplaced && m_deps.m_onReplaced) {
    m_deps.m_onReplaced();
  }
}

void
RunService::ApplySignals(const ActiveRun& aRun, const HttpResponse& aResponse)
{
  const bool isFromCurrent = aRun.m_workerStart == m_workerStarts &&
                             aResponse.m_status != kMisdirectedRequestStatus &&
                             !IsUnsigned(aResponse);
  if (!isFromCurrent) {
    return;
  }
  ApplySignals(aRun.m_startedAt,
               ParseWorkerSignals(m_deps.m_dialect, aResponse.m_headers));
}

void
RunService::ApplySignals(TimePoint aSentAt, const WorkerSignals& aSignals)
{
  const TimePoint now = Clock::now();
  const WorkerSignals previous = std::exchange(m_signals, aSignals);
  // A slow response may have been started before the worker said so.
  m_signals.m_isLeaving = aSignals.m_isLeaving || previous.m_isLeaving;
  m_deps.m_requestLog.OnWorkerSignals(
    now, m_incarnation.m_id, previous, aSignals);
  if (aSignals.m_invalidRateLimit.empty()) {
    m_runs.Limiter().OnResponse(now, aSentAt, aSignals.m_rateLimit);
  }
  const bool startsToLeave =
    aSignals.m_isLeaving && !previous.m_isLeaving && m_deps.m_onLeaving;
  if (!startsToLeave) {
    return;
  }
  if (!m_deps.m_settings.m_platform.m_enabled) {
    m_departure = Departure{ now, now };
  }
  m_deps.m_onLeaving(true);
}

void
RunService::ApplyKnownStatement(const WorkerStatement& aStatement)
{
  const bool isOfCurrent =
    m_incarnationTag == 0 || aStatement.m_incarnation == m_incarnationTag;
  if (aStatement.m_rateLimit && isOfCurrent) {
    m_runs.Limiter().Adopt(Clock::now(), *aStatement.m_rateLimit);
  }
}

WorkerStatement
RunService::Statement() const
{
  return { m_incarnationTag, m_runs.Limiter().Limit(), m_signals.m_isLeaving };
}

}
