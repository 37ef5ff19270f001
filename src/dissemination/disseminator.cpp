#include "greengagehub/dissemination/disseminator.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr std::size_t kMaxSources = 8;
/// So many sources in a row may fail to answer before a daemon waits for one.
constexpr std::size_t kMaxPendingPulls = 3;
/// A source is not asked again before this time.
constexpr std::chrono::milliseconds kAskAgainDelay{ 1000 };
/// Bytes of an entry on the wire in addition to its patch.
constexpr std::size_t kEntryOverhead = 80;
/// Bytes of a push in addition to its entries: sender, version, digests.
constexpr std::size_t kHeadBytes = 80;
/// Bytes available in a probe in addition to its membership records.
constexpr std::size_t kMaxRepairBytes = 600;

/// \returns The entries after `aAfter` that fit into `aBytes`, oldest first.
std::vector<VersionEntry>
EntriesThatFit(const ConfigHolder& aHolder, Version aAfter, std::size_t aBytes)
{
  bool complete = false;
  std::vector<VersionEntry> entries = aHolder.EntriesAfter(aAfter, complete);
  std::size_t remaining = aBytes;
  std::size_t fitting = 0;
  for (const VersionEntry& each : entries) {
    if (each.m_patch.size() + kEntryOverhead > remaining) {
      break;
    }
    remaining -= each.m_patch.size() + kEntryOverhead;
    ++fitting;
  }
  entries.resize(fitting);
  return entries;
}

}

std::vector<VersionEntry>
EntriesToPush(const ConfigHolder& aHolder,
              Version aAfter,
              std::size_t aMaxDatagramBytes)
{
  return EntriesThatFit(aHolder, aAfter, aMaxDatagramBytes - kHeadBytes);
}

Disseminator::Disseminator(DisseminationSettings aSettings, std::uint64_t aSeed)
  : m_settings(aSettings)
  , m_random(aSeed)
{
}

std::optional<TimePoint>
Disseminator::ReportedAt(Version aInForce) const
{
  const bool isBehind = m_highestKnownVersion > aInForce;
  return isBehind ? std::optional{ m_behindSince } : std::nullopt;
}

std::vector<VersionEntry>
Disseminator::EntriesToRepair(const ConfigHolder& aHolder,
                              Version aTheirs) const
{
  return EntriesThatFit(aHolder, aTheirs, kMaxRepairBytes);
}

void
Disseminator::OnDigest(TimePoint aNow,
                       const ConfigHolder& aHolder,
                       const VersionDigest& aHead,
                       const MemberPeer& aPeer)
{
  const bool wasBehind = m_highestKnownVersion > aHolder.GetVersion();
  m_highestKnownVersion = std::max(m_highestKnownVersion, aHead.m_version);
  if (aHead.m_version <= aHolder.GetVersion()) {
    return;
  }
  if (!wasBehind) {
    m_behindSince = aNow;
  }
  AddSource(aPeer, aHead.m_version);
  const auto domainDelay = aPeer.m_crossesDomains
                             ? m_settings.m_otherDomainDelay
                             : std::chrono::milliseconds{ 0 };
  const TimePoint at =
    aNow + Jittered(m_random, m_settings.m_pullDelay) + domainDelay;
  m_pullAt = m_pullAt ? std::min(*m_pullAt, at) : at;
}

void
Disseminator::AddSource(const MemberPeer& aPeer, Version aVersion)
{
  const auto known = std::ranges::find(
    m_sources, aPeer, [](const Source& aSource) { return aSource.m_peer; });
  if (known != m_sources.end()) {
    known->m_version = std::max(known->m_version, aVersion);
  } else if (m_sources.size() < kMaxSources) {
    m_sources.push_back({ aPeer, aVersion });
  } else {
    m_sources[Below(m_random, kMaxSources)] = { aPeer, aVersion };
  }
}

bool
Disseminator::IsPending(const MemberPeer& aPeer) const
{
  return std::ranges::any_of(
    m_pendingPulls,
    [&aPeer](const PendingPull& aPull) { return aPull.m_peer == aPeer; });
}

Disseminator::Source*
Disseminator::NextSource(TimePoint aNow)
{
  const auto isBetter = [](const Source& aLeft, const Source& aRight) {
    const bool isRemote = aLeft.m_peer.m_crossesDomains;
    return isRemote != aRight.m_peer.m_crossesDomains
             ? !isRemote
             : aLeft.m_version > aRight.m_version;
  };
  Source* next = nullptr;
  for (Source& each : m_sources) {
    const bool wasJustAsked =
      each.m_askedAt != TimePoint{} && aNow - each.m_askedAt < kAskAgainDelay;
    if (wasJustAsked || IsPending(each.m_peer)) {
      continue;
    }
    if (next == nullptr || isBetter(each, *next)) {
      next = &each;
    }
  }
  return next;
}

std::optional<MemberPeer>
Disseminator::NextPull(TimePoint aNow, const ConfigHolder& aHolder)
{
  std::erase_if(m_pendingPulls, [&](const PendingPull& aPull) {
    return aNow - aPull.m_startedAt >= m_settings.m_pullTimeout;
  });
  if (m_highestKnownVersion <= aHolder.GetVersion()) {
    m_sources.clear();
    m_pullAt.reset();
    return std::nullopt;
  }
  const bool isDue = m_pullAt && aNow >= *m_pullAt;
  const bool mayHedge =
    m_pendingPulls.empty() ||
    (m_pendingPulls.size() < kMaxPendingPulls &&
     aNow - m_pendingPulls.back().m_startedAt >= m_settings.m_hedgeDelay);
  Source* source = isDue && mayHedge ? NextSource(aNow) : nullptr;
  if (source == nullptr) {
    return std::nullopt;
  }
  source->m_askedAt = aNow;
  m_pendingPulls.push_back({ source->m_peer, aNow });
  return source->m_peer;
}

void
Disseminator::OnPullEnded(const MemberPeer& aPeer) noexcept
{
  std::erase_if(m_pendingPulls, [&aPeer](const PendingPull& aPull) {
    return aPull.m_peer == aPeer;
  });
}

}
