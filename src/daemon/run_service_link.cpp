#include "greengagehub/daemon/run_service.hpp"

// Admission of runs with large answers to the network link of this machine.

namespace greengagehub {

Duration
RunService::AnswerSendTime(TimePoint aNow, CallKind aKind) const
{
  std::size_t bytes = m_answerSizes.MeanSize(aKind);
  for (const auto& [key, run] : m_activeRuns) {
    bytes += m_answerSizes.MeanSize(run.m_request.m_kind);
  }
  return m_deps.m_pacer->Backlog(aNow) +
         m_deps.m_pacer->TransmissionTime(bytes);
}

bool
RunService::IsLinkTooBusy(TimePoint aNow, const CallRequest& aRequest) const
{
  if (m_deps.m_pacer == nullptr ||
      m_answerSizes.MeanSize(aRequest.m_kind) <= LinkPacer::kPartBytes) {
    return false;
  }
  const bool isBeforeTarget = aRequest.m_targetLeft.count() > 0;
  return AnswerSendTime(aNow, aRequest.m_kind) >
         (isBeforeTarget ? aRequest.m_targetLeft : aRequest.m_timeLeft);
}

void
RunService::RefuseForBusyLink(TimePoint aNow,
                              CallKey aKey,
                              const CallRequest& aRequest)
{
  const auto reason = RefusalReason::Overloaded;
  // By then half of the data before the answer has been sent.
  const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(
    AnswerSendTime(aNow, aRequest.m_kind) / 2);
  m_deps.m_requestLog.OnRunRefused(aNow,
                                   RequestIdOf(aRequest),
                                   reason,
                                   aRequest.m_timeLeft,
                                   WorkerStateFor(aRequest));
  m_deps.m_metrics.CountRun(NameOf(reason));
  Deliver(aKey,
          aRequest,
          Refuse(aKey.m_call, CallOutcome::NotRun, reason, retryAfter));
}

}
