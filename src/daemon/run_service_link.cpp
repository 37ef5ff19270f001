#include "greengagehub/daemon/run_service.hpp"

// Large answers and the link of this machine.

namespace greengagehub {

Duration
RunService::TimeOnLink(TimePoint aNow, CallKind aKind) const
{
  std::size_t bytes = m_answerSizes.Of(aKind);
  for (const auto& [key, held] : m_held) {
    bytes += m_answerSizes.Of(held.m_request.m_kind);
  }
  return m_parts.m_pacer->Backlog(aNow) + m_parts.m_pacer->TimeOf(bytes);
}

bool
RunService::IsLinkTooBusy(TimePoint aNow, const CallRequest& aRequest) const
{
  if (m_parts.m_pacer == nullptr ||
      m_answerSizes.Of(aRequest.m_kind) <= LinkPacer::kPart) {
    return false;
  }
  const bool isInTime = aRequest.m_targetLeft.count() > 0;
  return TimeOnLink(aNow, aRequest.m_kind) >
         (isInTime ? aRequest.m_targetLeft : aRequest.m_timeLeft);
}

void
RunService::RefuseForLink(TimePoint aNow,
                          CallKey aKey,
                          const CallRequest& aRequest)
{
  const auto reason = RefusalReason::Overloaded;
  // Half of what is before it now: by then there is room again for some.
  const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(
    TimeOnLink(aNow, aRequest.m_kind) / 2);
  m_parts.m_requests.OnRunRefused(
    aNow, IdOf(aRequest), reason, aRequest.m_timeLeft, StateNow(aRequest));
  m_parts.m_metrics.CountRun(NameOf(reason));
  Deliver(aKey,
          aRequest,
          Refuse(aKey.m_call, CallOutcome::NotRun, reason, retryAfter));
}

}
