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

}
