#include "greengagehub/workspaces/workspace_table.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

/// Weight of a typical workspace, in thousandths.
constexpr double kWeightUnit = 1000.0;
constexpr double kMaxWeight = 1'000'000.0;

}

std::vector<WorkspaceId>
WorkspaceTable::FindLowered(const EntityMap<Workspace>& aTarget) const
{
  std::vector<WorkspaceId> lowered;
  for (const auto& [name, workspace] : aTarget) {
    const Workspace& now = workspace->m_value;
    const auto before = m_rows.find(ShortHash(name));
    if (before == m_rows.end() || now.m_perSecond <= 0.0) {
      continue;
    }
    const bool isLowered = before->second.m_perSecond <= 0.0 ||
                           now.m_perSecond < before->second.m_perSecond ||
                           now.m_burst < before->second.m_burst;
    if (isLowered) {
      lowered.push_back(before->first);
    }
  }
  return lowered;
}

std::vector<WorkspaceId>
WorkspaceTable::Update(const Content& aContent)
{
  m_requiresKey = aContent.GetLimits().m_requiresKey;
  m_routeRankCount = 1;
  for (const auto& [name, route] : aContent.Routes()) {
    m_routeRankCount =
      std::max(m_routeRankCount, route->m_value.m_priority + 1);
  }
  const EntityMap<Workspace>& target = aContent.Workspaces();
  if (target == m_entities) {
    return {};
  }
  std::vector<WorkspaceId> lowered = FindLowered(target);
  // Removals come first, as a key may move between workspaces.
  for (const auto& [name, workspace] : m_entities) {
    const auto found = target.find(name);
    if (found == target.end() || found->second != workspace) {
      Remove(name, workspace->m_value);
    }
  }
  for (const auto& [name, workspace] : target) {
    const auto found = m_entities.find(name);
    if (found == m_entities.end() || found->second != workspace) {
      Add(name, workspace->m_value);
    }
  }
  m_entities = target;
  UpdateMeanRate();
  return lowered;
}

void
WorkspaceTable::UpdateMeanRate()
{
  double sum = 0.0;
  std::size_t count = 0;
  for (const auto& [id, row] : m_rows) {
    sum += row.m_perSecond;
    count += row.m_perSecond > 0.0 ? 1 : 0;
  }
  m_meanPerSecond = count > 0 ? sum / static_cast<double>(count) : 0.0;
}

void
WorkspaceTable::Add(const std::string& aName, const Workspace& aWorkspace)
{
  const WorkspaceId id = ShortHash(aName);
  m_rows[id] = { .m_name = aName,
                 .m_id = id,
                 .m_priority = aWorkspace.m_priority,
                 .m_perSecond = aWorkspace.m_perSecond,
                 .m_burst = aWorkspace.m_burst,
                 .m_weight = aWorkspace.m_weight };
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
  m_rows.erase(ShortHash(aName));
}

const WorkspaceRow*
WorkspaceTable::FindByKey(std::string_view aKey) const
{
  const auto found = m_keys.find(Sha256(aKey));
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
  return aRow.m_priority * m_routeRankCount +
         std::min(aRoutePriority, m_routeRankCount - 1);
}

std::uint32_t
WorkspaceTable::WeightOf(const WorkspaceRow& aRow) const noexcept
{
  double weight = 1.0;
  if (aRow.m_weight > 0.0) {
    weight = aRow.m_weight;
  } else if (aRow.m_perSecond > 0.0) {
    weight = aRow.m_perSecond / m_meanPerSecond;
  }
  return static_cast<std::uint32_t>(
    std::clamp(std::round(weight * kWeightUnit), 1.0, kMaxWeight));
}

}
