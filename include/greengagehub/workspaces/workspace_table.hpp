#pragma once

#include "greengagehub/config/content.hpp"
#include "greengagehub/workspaces/workspace_id.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagehub {

struct WorkspaceRow
{
  std::string m_name{};
  WorkspaceId m_id{ 0 };
  /// Lower numbers come first.
  std::uint32_t m_priority{ 0 };
  /// Requests per second over the whole fleet; 0: no limit.
  double m_perSecond{ 0.0 };
  /// Requests by which a quota window may exceed the rate.
  double m_burst{ 0.0 };
  /// As configured; 0: in proportion to the rate.
  double m_weight{ 0.0 };
};

/// \brief Finds the workspace of an API key.
///
/// API keys are looked up by their SHA-256, so that the duration of a lookup
/// reveals nothing about a key.
class WorkspaceTable
{
public:
  /// \returns Workspaces whose limit is lower than before.
  std::vector<WorkspaceId> Update(const Content& aContent);

  [[nodiscard]] bool IsEmpty() const noexcept { return m_rows.empty(); }
  /// \returns Whether routes that are not public need an API key.
  [[nodiscard]] bool RequiresKey() const noexcept
  {
    return m_requiresKey || !IsEmpty();
  }
  [[nodiscard]] std::size_t KeyCount() const noexcept { return m_keys.size(); }
  /// \returns nullptr for an unknown key; valid until the next update.
  [[nodiscard]] const WorkspaceRow* FindByKey(std::string_view aKey) const;
  [[nodiscard]] const WorkspaceRow* Find(WorkspaceId aId) const;
  /// \returns Rank of a request in a wait queue, lowest first: ordered by the
  /// priority of the workspace, then by that of the route.
  [[nodiscard]] std::uint32_t RankOf(
    const WorkspaceRow& aRow,
    std::uint32_t aRoutePriority) const noexcept;

  /// \returns Weight of its share of a worker, in thousandths: as configured,
  /// else its rate relative to the mean of all rates, else 1,000.
  [[nodiscard]] std::uint32_t WeightOf(const WorkspaceRow& aRow) const noexcept;

private:
  struct DigestHash
  {
    [[nodiscard]] std::size_t operator()(const Digest& aDigest) const noexcept
    {
      return static_cast<std::size_t>(WordOf(aDigest, 0));
    }
  };

  /// \returns Workspaces of `aTarget` whose limit is lower than here.
  [[nodiscard]] std::vector<WorkspaceId> FindLowered(
    const EntityMap<Workspace>& aTarget) const;
  void Add(const std::string& aName, const Workspace& aWorkspace);
  void Remove(const std::string& aName, const Workspace& aWorkspace);
  void UpdateMeanRate();

  EntityMap<Workspace> m_entities;
  std::unordered_map<WorkspaceId, WorkspaceRow> m_rows;
  std::unordered_map<Digest, WorkspaceId, DigestHash> m_keys;
  bool m_requiresKey{ false };
  /// Number of ranks per workspace priority, one for each route priority.
  std::uint32_t m_routeRankCount{ 1 };
  /// Mean rate of the workspaces that have one.
  double m_meanPerSecond{ 0.0 };
};

}
