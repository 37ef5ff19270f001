#include "greengagehub/daemon/run_service.hpp"

// Admission of runs with large answers to the network link of this instance.

namespace greengagehub {

LinkDemand
RunService::LinkDemandOf(TimePoint aNow, const CallRequest& aRequest) const
{
  const CallKind kind = aRequest.m_kind;
  const AnswerSize known = m_answerSizes.SizeOf(kind);
  const auto& transfer = aRequest.m_answerTransfer;
  return { .m_size = known.m_mean > 0.0 ? known : aRequest.m_answerSize,
           .m_readyIn =
             m_runs.ServiceTime(aNow, kind) +
             m_runs.ExpectedWaitOfKind(aNow, aRequest.m_priority, kind),
           .m_targetLeft = aRequest.m_targetLeft - transfer,
           .m_deadlineLeft = aRequest.m_timeLeft - transfer,
           .m_target = kind.m_target,
           .m_workspace = aRequest.m_share.m_workspace,
           .m_weight = WeightInUnits(aRequest.m_share) };
}

Duration
RunService::LinkBacklog(TimePoint aNow) const noexcept
{
  return m_deps.m_pacer != nullptr ? m_deps.m_pacer->Backlog(aNow)
                                   : Duration::zero();
}

Duration
RunService::LinkWaitOf(TimePoint aNow, const CallRequest& aRequest) const
{
  if (m_deps.m_linkOut == nullptr) {
    return Duration::zero();
  }
  return m_deps.m_linkOut->WaitOf(
    aNow, LinkBacklog(aNow), LinkDemandOf(aNow, aRequest));
}

bool
RunService::RefuseForBusyLink(TimePoint aNow,
                              CallKey aKey,
                              const CallRequest& aRequest)
{
  if (!UsesLink(aKey)) {
    return false;
  }
  const LinkDecision decision = m_deps.m_linkOut->Check(
    aNow, LinkBacklog(aNow), LinkDemandOf(aNow, aRequest));
  if (decision.IsAccepted()) {
    return false;
  }
  RefuseRun(aNow,
            aKey,
            aRequest,
            {},
            { RefusalReason::LinkBusy, decision.m_retryAfter });
  return true;
}

}
