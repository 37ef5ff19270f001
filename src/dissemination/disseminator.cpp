#include "greengagehub/dissemination/disseminator.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr std::size_t kMaxSources = 8;
/// Digests, number and framing of an entry on the wire.
constexpr std::size_t kEntryOverhead = 80;
/// Room that a probe leaves beside its membership records.
constexpr std::size_t kProbeRoom = 600;

}

Disseminator::Disseminator(DisseminationSettings aSettings, std::uint64_t aSeed)
  : m_settings(aSettings)
  , m_random(aSeed)
{
}

std::vector<VersionEntry>
Disseminator::Fitting(const ConfigHolder& aHolder,
                      Version aAfter,
                      std::size_t aBytes) const
{
  bool complete = false;
  std::vector<VersionEntry> entries = aHolder.EntriesAfter(aAfter, complete);
  std::size_t room = aBytes;
  std::size_t fitting = 0;
  for (const VersionEntry& each : entries) {
    if (each.m_patch.size() + kEntryOverhead > room) {
      break;
    }
    room -= each.m_patch.size() + kEntryOverhead;
    ++fitting;
  }
  entries.resize(fitting);
  return entries;
}

std::vector<VersionEntry>
Disseminator::ToPush(const ConfigHolder& aHolder, Version aBefore) const
{
  return Fitting(
    aHolder, aBefore, m_settings.m_maxDatagramBytes - kEntryOverhead);
}

std::vector<VersionEntry>
Disseminator::ToRepair(const ConfigHolder& aHolder, Version aTheirs) const
{
  return Fitting(aHolder, aTheirs, kProbeRoom);
}

void
Disseminator::OnDigest(TimePoint aNow,
                       const ConfigHolder& aHolder,
                       const VersionDigest& aHead,
                       const MemberPeer& aPeer)
{
  m_heard = std::max(m_heard, aHead.m_version);
  if (aHead.m_version <= aHolder.GetVersion()) {
    return;
  }
  if (!aPeer.m_isFar) {
    m_nearSource = aPeer;
  }
  if (m_sources.size() < kMaxSources) {
    m_sources.push_back(aPeer);
  } else {
    m_sources[Below(m_random, kMaxSources)] = aPeer;
  }
  const auto far =
    aPeer.m_isFar ? m_settings.m_farDelay : std::chrono::milliseconds{ 0 };
  const TimePoint at = aNow + Jittered(m_random, m_settings.m_pullDelay) + far;
  m_pullAt = m_pullAt ? std::min(*m_pullAt, at) : at;
}

std::optional<MemberPeer>
Disseminator::DuePull(TimePoint aNow, const ConfigHolder& aHolder)
{
  if (m_pullUntil && aNow >= *m_pullUntil) {
    PullEnded();
  }
  if (m_heard <= aHolder.GetVersion()) {
    m_sources.clear();
    m_nearSource.reset();
    m_pullAt.reset();
    return std::nullopt;
  }
  const bool due = m_pullAt && aNow >= *m_pullAt && !m_pullUntil;
  if (!due || m_sources.empty()) {
    return std::nullopt;
  }
  if (m_nearSource) {
    const MemberPeer source = *m_nearSource;
    m_nearSource.reset();
    m_pullUntil = aNow + m_settings.m_pullTimeout;
    return source;
  }
  const std::size_t chosen = Below(m_random, m_sources.size());
  const MemberPeer source = m_sources[chosen];
  m_sources.erase(m_sources.begin() + static_cast<std::ptrdiff_t>(chosen));
  m_pullUntil = aNow + m_settings.m_pullTimeout;
  return source;
}

void
Disseminator::PullEnded() noexcept
{
  m_pullUntil.reset();
  m_pullAt.reset();
}

}
