#pragma once

#include "greengagehub/config/content.hpp"
#include "greengagehub/workspaces/workspace_id.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace greengagehub {

/// \brief A workspace as requests are checked against it.
struct WorkspaceRow
{
  std::string m_name{};
  WorkspaceId m_id{ 0 };
  std::uint32_t m_priority{ 0 };
  /// Requests a second over the whole fleet; 0: no limit.
  double m_perSecond{ 0.0 };
  double m_burst{ 0.0 };
};

/// \brief Finds the workspace of an API key.
///
/// Keys are looked up by their SHA-256, so that the time that a look-up takes
/// tells nothing about a key. An update costs a pass over the workspaces, and
/// work only for those that have changed.
class WorkspaceTable
{
public:
  /// \brief Takes over the workspaces of a content.
  void Update(const Content& aContent);

  [[nodiscard]] bool IsEmpty() const noexcept { return m_rows.empty(); }
  [[nodiscard]] std::size_t Keys() const noexcept { return m_keys.size(); }
  /// \returns The workspace that holds the key, or nullptr; valid until the
  /// next update.
  [[nodiscard]] const WorkspaceRow* FindByKey(std::string_view aKey) const;
  [[nodiscard]] const WorkspaceRow* Find(WorkspaceId aId) const;
  /// \returns Rank of a request among those that wait: by its workspace first,
  /// by its route among those of equal workspaces.
  [[nodiscard]] std::uint32_t RankOf(
    const WorkspaceRow& aRow,
    std::uint32_t aRoutePriority) const noexcept;

private:
  struct DigestHash
  {
    [[nodiscard]] std::size_t operator()(const Digest& aDigest) const noexcept
    {
      return static_cast<std::size_t>(WordOf(aDigest, 0));
    }
  };

  void Add(const std::string& aName, const Workspace& aWorkspace);
  void Remove(const std::string& aName, const Workspace& aWorkspace);

  /// As taken over last; shares its entities with the content.
  EntityMap<Workspace> m_source;
  std::unordered_map<WorkspaceId, WorkspaceRow> m_rows;
  std::unordered_map<Digest, WorkspaceId, DigestHash> m_keys;
  /// Priorities of routes that are told apart.
  std::uint32_t m_routeRanks{ 1 };
};

}
