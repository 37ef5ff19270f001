#include "greengagehub/workspaces/workspace_table.hpp"

#include <algorithm>

namespace greengagehub {

void
WorkspaceTable::Update(const Content& aContent)
{
  m_routeRanks = 1;
  for (const auto& [name, route] : aContent.Routes()) {
    m_routeRanks = std::max(m_routeRanks, route->m_value.m_priority + 1);
  }
  const EntityMap<Workspace>& target = aContent.Workspaces();
  if (target == m_source) {
    return;
  }
  // All removals before the first addition: a key may have moved from one
  // workspace to another.
  for (const auto& [name, workspace] : m_source) {
    const auto found = target.find(name);
    if (found == target.end() || found->second != workspace) {
      Remove(name, workspace->m_value);
    }
  }
  for (const auto& [name, workspace] : target) {
    const auto found = m_source.find(name);
    if (found == m_source.end() || found->second != workspace) {
      Add(name, workspace->m_value);
    }
  }
  m_source = target;
}

void
WorkspaceTable::Add(const std::string& aName, const Workspace& aWorkspace)
{
  const WorkspaceId id = ShortHashOf(aName);
  m_rows[id] = { .m_name = aName,
                 .m_id = id,
                 .m_priority = aWorkspace.m_priority,
                 .m_perSecond = aWorkspace.m_perSecond,
                 .m_burst = aWorkspace.m_burst };
  for (const Digest& each : aWorkspace.m_keys) {
    m_keys[each] = id;
  }
}

void
WorkspaceTable::Remove(const std::string& aName, const Workspace& aWorkspace)
{
  for (const Digest& each : aWorkspace.m_keys) {
    m_keys.erase(each);
  }
  m_rows.erase(ShortHashOf(aName));
}

const WorkspaceRow*
WorkspaceTable::FindByKey(std::string_view aKey) const
{
  const auto found = m_keys.find(HashOf(aKey));
  return found != m_keys.end() ? Find(found->second) : nullptr;
}

const WorkspaceRow*
WorkspaceTable::Find(WorkspaceId aId) const
{
  const auto found = m_rows.find(aId);
  return found != m_rows.end() ? &found->second : nullptr;
}

std::uint32_t
WorkspaceTable::RankOf(const WorkspaceRow& aRow,
                       std::uint32_t aRoutePriority) const noexcept
{
  return aRow.m_priority * m_routeRanks +
         std::min(aRoutePriority, m_routeRanks - 1);
}

}
