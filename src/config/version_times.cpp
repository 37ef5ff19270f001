#include "greengagehub/config/version_times.hpp"

#include <algorithm>

namespace greengagehub {

void
VersionTimes::Record(TimePoint aNow, Version aVersion)
{
  if (!m_entries.empty() && aVersion <= m_entries.back().m_version) {
    return;
  }
  m_entries.push_back({ aVersion, aNow });
  if (m_entries.size() > kMaxEntries) {
    m_entries.pop_front();
  }
}

std::optional<TimePoint>
VersionTimes::FirstAfter(Version aVersion) const
{
  const auto first =
    std::ranges::upper_bound(m_entries, aVersion, {}, &Entry::m_version);
  return first == m_entries.end() ? std::nullopt : std::optional{ first->m_at };
}

}
