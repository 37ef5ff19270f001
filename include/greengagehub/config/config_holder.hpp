#pragma once

#include "greengagehub/config/decision.hpp"

#include <map>

namespace greengagehub {

/// \brief A whole configuration at one version. Calls in flight keep the one
/// they started with by counting a reference.
struct ActiveConfig
  : boost::intrusive_ref_counter<ActiveConfig, boost::thread_unsafe_counter>
{
  Version m_version;
  Digest m_chain;
  Content m_content;
};
using ActiveConfigPtr = boost::intrusive_ptr<const ActiveConfig>;

/// \brief What became of an entry or snapshot that was offered to a holder.
enum class StageResult : std::uint8_t
{
  /// In force now, with all that had waited for it.
  Applied,
  /// At or below what is in force, and the same history.
  AlreadyHeld,
  /// Waits for the versions before it.
  Gap,
  /// Another history: the chain does not follow from what is in force.
  Forked,
  /// Failed its digest or a rule; dropped whole.
  Corrupt,
};

/// \brief The configuration in force on one proxy.
///
/// Moves forward only. A version is checked whole on a copy (chain, rules,
/// digest) and then swapped in by pointer, so that nothing is ever applied in
/// part and no route is ever seen without its service.
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
  /// \brief Recent entries, oldest first, for peers that lag.
  [[nodiscard]] std::vector<VersionEntry> EntriesAfter(Version aVersion,
                                                       bool& aComplete) const;
  [[nodiscard]] const VersionEntry* Entry(Version aVersion) const;

  StageResult Stage(const VersionEntry& aEntry);
  /// \brief A version from a source that keeps whole contents and numbers them
  /// as it likes.
  /// \param aPatch what differs from the content in force.
  StageResult StageChange(Version aVersion, std::string aPatch);
  /// \param aSnapshot canonical JSON of the content at `aHead`.
  StageResult StageSnapshot(const VersionEntry& aHead,
                            std::string_view aSnapshot);

private:
  StageResult Apply(const VersionEntry& aEntry);
  StageResult ApplyChange(VersionEntry aEntry, bool aCheckDigest);
  void ApplyWaiting();
  void Keep(const VersionEntry& aEntry);

  ActiveConfigPtr m_active;
  /// Entries that arrived before the ones they follow, bounded in number.
  std::map<Version, VersionEntry> m_waiting;
  std::map<Version, VersionEntry> m_recent;
};

}
