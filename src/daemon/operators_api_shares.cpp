#include "greengagehub/daemon/operators_api.hpp"

#include "operators_answers.hpp"

// How workspaces share the backend server.

namespace greengagehub {

namespace {

/// Workspaces listed, those with the most recent slot time.
constexpr std::size_t kMaxListed = 200;

}

HttpResponse
OperatorsApi::Shares() const
{
  const TimePoint now = Clock::now();
  const RunTable& runs = m_deps.m_calls.Runs();
  const WorkspaceTable& workspaces = m_deps.m_control.GetWorkspaces().Table();
  Json listed = Json::array();
  for (const WorkspaceUse& each : runs.Shares().Uses(now)) {
    if (listed.size() == kMaxListed) {
      break;
    }
    const WorkspaceRow* row = workspaces.Find(each.m_workspace);
    listed.push_back({ { "workspace", row != nullptr ? row->m_name : "" },
                       { "weight", each.m_weight },
                       { "share", runs.Shares().ShareOf(each.m_workspace) },
                       { "queued", each.m_queued },
                       { "running", each.m_running },
                       { "slot_s", each.m_recentSeconds },
                       { "refused", each.m_refused } });
  }
  return JsonResponse(200,
                      Dump(Json{ { "slots", runs.Slots() },
                                 { "running", runs.Running() },
                                 { "queued", runs.Queued() },
                                 { "active", runs.Shares().ActiveCount() },
                                 { "workspaces", std::move(listed) } }));
}

}
