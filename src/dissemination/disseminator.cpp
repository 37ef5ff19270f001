#include "greengagehub/dissemination/disseminator.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr std::size_t kMaxSources = 8;
/// Bytes of an entry on the wire in addition to its patch.
constexpr std::size_t kEntryOverhead = 80;
/// Bytes available in a probe in addition to its membership records.
constexpr std::size_t kMaxRepairBytes = 600;

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

std::vector<VersionEntry>
Disseminator::EntriesToPush(const ConfigHolder& aHolder, Version aBefore) const
{
  return EntriesThatFit(
    aHolder, aBefore, m_settings.m_maxDatagramBytes - kEntryOverhead);
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
  if (!aPeer.m_crossesDomains) {
    m_ownDomainSource = aPeer;
  }
  if (m_sources.size() < kMaxSources) {
    m_sources.push_back(aPeer);
  } else {
    m_sources[Below(m_random, kMaxSources)] = aPeer;
  }
  const auto domainDelay = aPeer.m_crossesDomains
                             ? m_settings.m_otherDomainDelay
                             : std::chrono::milliseconds{ 0 };
  const TimePoint at =
    aNow + Jittered(m_random, m_settings.m_pullDelay) + domainDelay;
  m_pullAt = m_pullAt ? std::min(*m_pullAt, at) : at;
}

std::optional<MemberPeer>
Disseminator::NextPull(TimePoint aNow, const ConfigHolder& aHolder)
{
  if (m_pullDeadline && aNow >= *m_pullDeadline) {
    OnPullEnded();
  }
  if (m_highestKnownVersion <= aHolder.GetVersion()) {
    m_sources.clear();
    m_ownDomainSource.reset();
    m_pullAt.reset();
    return std::nullopt;
  }
  const bool due = m_pullAt && aNow >= *m_pullAt && !m_pullDeadline;
  if (!due || m_sources.empty()) {
    return std::nullopt;
  }
  if (m_ownDomainSource) {
    const MemberPeer source = *m_ownDomainSource;
    m_ownDomainSource.reset();
    m_pullDeadline = aNow + m_settings.m_pullTimeout;
    return source;
  }
  const std::size_t drawn = Below(m_random, m_sources.size());
  const MemberPeer source = m_sources[drawn];
  m_sources.erase(m_sources.begin() + static_cast<std::ptrdiff_t>(drawn));
  m_pullDeadline = aNow + m_settings.m_pullTimeout;
  return source;
}

void
Disseminator::OnPullEnded() noexcept
{
  m_pullDeadline.reset();
  m_pullAt.reset();
}

}
