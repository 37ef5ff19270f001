#include "greengagehub/daemon/call_gateway.hpp"

#include "greengagehub/daemon/call_headers.hpp"

// Bookings of this instance's network link for answers to its callers.

namespace greengagehub {

LinkDemand
CallGateway::LinkDemandOf(TimePoint aNow,
                          const CallPlan& aPlan,
                          const RouteStatistics& aStatistics) const
{
  return { .m_size = m_answerSizes.SizeOf(aPlan.m_kind),
           .m_readyIn = aStatistics.m_meanAnswerTime,
           .m_targetLeft = std::min(aPlan.m_target, aPlan.m_deadline) - aNow,
           .m_deadlineLeft = aPlan.m_deadline - aNow,
           .m_target = aPlan.m_kind.m_target,
           .m_workspace = aPlan.m_share.m_workspace,
           .m_weight = WeightInUnits(aPlan.m_share) };
}

std::optional<std::chrono::milliseconds>
CallGateway::BookLink(TimePoint aNow,
                      bool aIsFromThisInstance,
                      const LinkDemand& aDemand,
                      CallPlan& aPlan,
                      PendingCall& aCall)
{
  if (!m_linkOut.Books(aDemand.m_size)) {
    return std::nullopt;
  }
  if (aPlan.m_service != m_deps.m_settings.m_service) {
    // The answer comes from another instance.
    const LinkDecision in = m_linkIn.Check(aNow, {}, aDemand);
    if (!in.IsAccepted()) {
      return in.m_retryAfter;
    }
  }
  CallRequest& request = aCall.m_request;
  if (!aIsFromThisInstance) {
    const Duration backlog = m_pacer.Backlog(aNow);
    const LinkDecision out = m_linkOut.Check(aNow, backlog, aDemand);
    if (!out.IsAccepted()) {
      return out.m_retryAfter;
    }
    request.m_answerTransfer =
      std::chrono::duration_cast<std::chrono::microseconds>(
        m_linkOut.WaitOf(aNow, backlog, aDemand));
    aCall.m_linkOut = m_linkOut.Book(aNow, aDemand);
  }
  request.m_answerSize = aDemand.m_size;
  aPlan.m_remoteTransfer = m_linkIn.WaitOf(aNow, {}, aDemand);
  return std::nullopt;
}

void
CallGateway::BookLinkIn(PendingCall& aCall, const std::string& aSlot)
{
  aCall.m_linkIn = {};
  if (aSlot == m_deps.m_settings.m_slot) {
    return;
  }
  const CallRequest& request = aCall.m_request;
  aCall.m_linkIn = m_linkIn.Book(
    Clock::now(),
    { .m_size = request.m_answerSize,
      .m_readyIn = StatisticsOf(aCall.m_routeKey).m_meanAnswerTime,
      .m_workspace = request.m_share.m_workspace,
      .m_weight = WeightInUnits(request.m_share) });
}

void
CallGateway::RefuseForLink(PendingCall& aCall,
                           std::chrono::milliseconds aRetryAfter)
{
  m_deps.m_workspaces.Return(aCall.m_workspaceId, aCall.m_receipt);
  const CallAnswer answer = greengagehub::Refuse(
    0, CallOutcome::NotRun, RefusalReason::LinkBusy, WithJitter(aRetryAfter));
  m_deps.m_metrics.CountCall(NameOf(answer.m_outcome), NameOf(answer.m_reason));
  m_deps.m_requestLog.OnFinished(Clock::now(),
                                 { .m_id = aCall.m_id,
                                   .m_route = aCall.m_routeKey,
                                   .m_service = aCall.m_request.m_service,
                                   .m_workspace = aCall.m_workspace,
                                   .m_answer = answer,
                                   .m_version = aCall.m_config->m_version });
  aCall.m_responder.Answer(ResponseFor(m_deps.m_dialect, answer));
}

}
