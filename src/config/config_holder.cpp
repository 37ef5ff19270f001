#include "greengagehub/config/config_holder.hpp"

#include "greengagehub/config/content_diff.hpp"

namespace greengagehub {

namespace {

constexpr std::size_t kMaxPending = 256;
constexpr std::size_t kMaxRecent = 512;

}

ConfigHolder::ConfigHolder()
  : m_active(new ActiveConfig)
{
}

const VersionEntry*
ConfigHolder::Entry(Version aVersion) const
{
  const auto found = m_recent.find(aVersion);
  return found == m_recent.end() ? nullptr : &found->second;
}

std::vector<VersionEntry>
ConfigHolder::EntriesAfter(Version aVersion, bool& aComplete) const
{
  std::vector<VersionEntry> entries;
  auto it = m_recent.upper_bound(aVersion);
  aComplete = aVersion >= GetVersion() ||
              (it != m_recent.end() && it->second.Follows(aVersion));
  if (!aComplete) {
    return entries;
  }
  for (; it != m_recent.end(); ++it) {
    entries.push_back(it->second);
  }
  return entries;
}

StageResult
ConfigHolder::Stage(const VersionEntry& aEntry)
{
  const Version current = GetVersion();
  if (aEntry.m_version <= current) {
    const VersionEntry* known = Entry(aEntry.m_version);
    const bool forked = known != nullptr && known->m_chain != aEntry.m_chain;
    return forked ? StageResult::Forked : StageResult::NotNewer;
  }
  if (aEntry.m_base) {
    return *aEntry.m_base == current ? ApplyPatch(aEntry) : StageResult::Gap;
  }
  if (aEntry.m_version != current.Next()) {
    if (m_pending.size() < kMaxPending) {
      m_pending.emplace(aEntry.m_version, aEntry);
    }
    return StageResult::Gap;
  }
  const StageResult result = Apply(aEntry);
  if (result == StageResult::Applied) {
    ApplyPending();
  }
  return result;
}

StageResult
ConfigHolder::Apply(const VersionEntry& aEntry)
{
  const Digest chain =
    NextChain(m_active->m_chain, aEntry.m_version, aEntry.m_patch);
  if (chain != aEntry.m_chain) {
    return StageResult::Forked;
  }
  boost::intrusive_ptr<ActiveConfig> next{ new ActiveConfig };
  next->m_version = aEntry.m_version;
  next->m_chain = aEntry.m_chain;
  next->m_content = m_active->m_content;
  const bool isInvalid = !next->m_content.Apply(aEntry.m_patch).empty();
  if (isInvalid || next->m_content.GetDigest() != aEntry.m_content) {
    return StageResult::Corrupt;
  }
  Activate(std::move(next));
  AddRecent(aEntry);
  return StageResult::Applied;
}

void
ConfigHolder::ApplyPending()
{
  while (!m_pending.empty()) {
    const auto first = m_pending.begin();
    if (first->first > GetVersion().Next()) {
      return;
    }
    const VersionEntry entry = first->second;
    m_pending.erase(first);
    if (entry.m_version == GetVersion().Next()) {
      Apply(entry);
    }
  }
}

StageResult
ConfigHolder::StageDocument(Version aVersion, const ContentTexts& aDocument)
{
  // Version 0 is the empty content before the first version.
  if (aVersion < GetVersion() || aVersion == Version{}) {
    return StageResult::NotNewer;
  }
  boost::intrusive_ptr<ActiveConfig> next{ new ActiveConfig };
  next->m_version = aVersion;
  next->m_content = m_active->m_content;
  if (!next->m_content.Assign(aDocument).empty()) {
    return StageResult::Corrupt;
  }
  next->m_chain = next->m_content.GetDigest();
  if (aVersion == GetVersion()) {
    if (next->m_content.GetDigest() == m_active->m_content.GetDigest()) {
      return StageResult::NotNewer;
    }
    Activate(std::move(next));
    // Patches to or from the former content must not reach peers.
    m_recent.clear();
    return StageResult::Replaced;
  }
  const VersionEntry entry{ aVersion,
                            PatchBetween(m_active->m_content, next->m_content),
                            next->m_chain,
                            next->m_chain,
                            GetVersion() };
  Activate(std::move(next));
  AddRecent(entry);
  return StageResult::Applied;
}

StageResult
ConfigHolder::ApplyPatch(const VersionEntry& aEntry)
{
  boost::intrusive_ptr<ActiveConfig> next{ new ActiveConfig };
  next->m_version = aEntry.m_version;
  next->m_content = m_active->m_content;
  const bool isInvalid = !next->m_content.Apply(aEntry.m_patch).empty();
  if (isInvalid || next->m_content.GetDigest() != aEntry.m_content) {
    m_needsSnapshot = true;
    return StageResult::Corrupt;
  }
  next->m_chain = aEntry.m_content;
  Activate(std::move(next));
  AddRecent(aEntry);
  return StageResult::Applied;
}

void
ConfigHolder::Activate(boost::intrusive_ptr<ActiveConfig> aNext)
{
  m_active = std::move(aNext);
  m_needsSnapshot = false;
}

StageResult
ConfigHolder::StageSnapshot(const VersionEntry& aHead,
                            std::string_view aSnapshot)
{
  if (aHead.m_version <= GetVersion()) {
    return StageResult::NotNewer;
  }
  boost::intrusive_ptr<ActiveConfig> next{ new ActiveConfig };
  next->m_version = aHead.m_version;
  next->m_chain = aHead.m_chain;
  const bool isInvalid = !next->m_content.Apply(aSnapshot).empty();
  if (isInvalid || next->m_content.GetDigest() != aHead.m_content) {
    return StageResult::Corrupt;
  }
  Activate(std::move(next));
  m_recent.clear();
  ApplyPending();
  return StageResult::Applied;
}

void
ConfigHolder::AddRecent(const VersionEntry& aEntry)
{
  if (aEntry.m_patch.size() > kMaxPatchBytes) {
    // Peers that lack a patch of this size get a snapshot instead.
    m_recent.clear();
    return;
  }
  m_recent.emplace(aEntry.m_version, aEntry);
  if (m_recent.size() > kMaxRecent) {
    m_recent.erase(m_recent.begin());
  }
}

}
