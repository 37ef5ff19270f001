#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/daemon/run_service.hpp"

// What the backend server states about itself in its responses.

namespace greengagehub {

bool
RunService::IsUnsigned(const HttpResponse& aResponse) const
{
  return IsSuccess(aResponse.m_status) && !m_deps.m_dialect.m_seal.empty() &&
         HeaderValue(aResponse.m_headers, m_deps.m_dialect.m_seal).empty();
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
  const WorkerSignals signals =
    ParseWorkerSignals(m_deps.m_dialect, aResponse.m_headers);
  const WorkerSignals previous = std::exchange(m_signals, signals);
  m_deps.m_requestLog.OnWorkerSignals(
    Clock::now(), m_incarnation.m_id, previous, signals);
}

}
