#pragma once

#include "greengagehub/config/decision.hpp"

#include <map>

namespace greengagehub {

/// \brief An immutable configuration at one version. Calls in flight hold a
/// reference to the version they started with.
struct ActiveConfig
  : boost::intrusive_ref_counter<ActiveConfig, boost::thread_unsafe_counter>
{
  Version m_version;
  Digest m_chain;
  Content m_content;
};
using ActiveConfigPtr = boost::intrusive_ptr<const ActiveConfig>;

enum class StageResult : std::uint8_t
{
  /// Active now, with the pending entries that follow.
  Applied,
  /// At or below the active version, in the same history.
  NotNewer,
  /// The version that the patch applies to is not active here.
  Gap,
  /// The chain digest does not follow from the active version.
  Forked,
  /// A digest or a rule check failed; nothing was applied.
  Corrupt,
  /// The version was active with another content, which was replaced.
  Replaced,
};

/// \brief The active configuration of one daemon and its recent history.
///
/// Versions only increase. Each is validated on a copy and becomes active by a
/// pointer swap, so readers never see a partly applied version.
class ConfigHolder
{
public:
  ConfigHolder();

  [[nodiscard]] const ActiveConfigPtr& Active() const noexcept
  {
    return m_active;
  }
  [[nodiscard]] Version GetVersion() const noexcept
  {
    return m_active->m_version;
  }
  /// \param aComplete set to whether all entries above `aVersion` are recent.
  /// \returns These entries, oldest first; empty when incomplete.
  [[nodiscard]] std::vector<VersionEntry> EntriesAfter(Version aVersion,
                                                       bool& aComplete) const;
  /// \returns nullptr if the version is not recent.
  [[nodiscard]] const VersionEntry* Entry(Version aVersion) const;

  /// \returns Whether a patch on the active version did not lead to the content
  /// that its entry states, so that the next version must be obtained whole.
  [[nodiscard]] bool NeedsSnapshot() const noexcept { return m_needsSnapshot; }

  /// \brief Applies an entry. One that arrives early and has no m_base is kept
  /// until the versions before it are applied.
  StageResult Stage(const VersionEntry& aEntry);
  /// \brief Makes the content of a whole document active, whatever was active
  /// before. The version's number need not follow the active one.
  StageResult StageDocument(Version aVersion, const ContentTexts& aDocument);
  /// \param aSnapshot canonical JSON of the content at `aHead`.
  StageResult StageSnapshot(const VersionEntry& aHead,
                            std::string_view aSnapshot);

private:
  StageResult Apply(const VersionEntry& aEntry);
  StageResult ApplyPatch(const VersionEntry& aEntry);
  void Activate(boost::intrusive_ptr<ActiveConfig> aNext);
  void ApplyPending();
  void AddRecent(const VersionEntry& aEntry);

  ActiveConfigPtr m_active;
  bool m_needsSnapshot{ false };
  /// Entries that arrived before their predecessors; bounded.
  std::map<Version, VersionEntry> m_pending;
  std::map<Version, VersionEntry> m_recent;
};

}
