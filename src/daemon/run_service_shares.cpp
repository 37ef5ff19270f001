#include "greengagehub/daemon/run_service.hpp"

#include <algorithm>

// Shares of the worker among workspaces.

namespace greengagehub {

CallShare
RunService::ShareOfRun(const TraceContext& aSpan) const
{
  const auto found = std::ranges::find_if(m_activeRuns, [&](const auto& aEach) {
    const ActiveRun& run = aEach.second;
    return run.m_ticket != 0 && run.m_span.m_span == aSpan.m_span &&
           run.m_span.m_trace == aSpan.m_trace;
  });
  return found != m_activeRuns.end() ? found->second.m_request.m_share
                                     : CallShare{};
}

std::optional<RequestLog::ShareUse>
RunService::UseFor(const CallRequest& aRequest) const
{
  const std::uint64_t workspace = aRequest.m_share.m_workspace;
  if (workspace == 0 || !m_deps.m_settings.m_runs.m_sharesFairly) {
    return std::nullopt;
  }
  const WorkspaceUse use = m_runs.Shares().UseOf(Clock::now(), workspace);
  return RequestLog::ShareUse{ .m_share = m_runs.Shares().ShareOf(workspace),
                               .m_queued = use.m_queued,
                               .m_running = use.m_running,
                               .m_slotSeconds = use.m_recentSeconds };
}

}
