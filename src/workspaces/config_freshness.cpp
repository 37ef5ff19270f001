#include "greengagehub/workspaces/config_freshness.hpp"

#include <algorithm>

namespace greengagehub {

void
ConfigFreshness::OnProof(FreshnessProof aProof)
{
  if (aProof.m_version <= m_activeVersion) {
    m_provenAt =
      std::max(m_provenAt.value_or(aProof.m_provenAt), aProof.m_provenAt);
    return;
  }
  if (m_pending.size() >= kMaxPending) {
    m_pending.pop_front();
  }
  m_pending.push_back(aProof);
}

void
ConfigFreshness::OnVersion(Version aActiveVersion)
{
  m_activeVersion = std::max(m_activeVersion, aActiveVersion);
  std::deque<FreshnessProof> pending;
  pending.swap(m_pending);
  for (const FreshnessProof& each : pending) {
    OnProof(each);
  }
}

bool
ConfigFreshness::IsFresh(TimePoint aNow) const noexcept
{
  return !IsEnforced() || (m_provenAt && aNow - *m_provenAt <= m_bound);
}

}
