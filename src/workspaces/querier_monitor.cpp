#include "greengagehub/workspaces/querier_monitor.hpp"

namespace greengagehub {

void
QuerierMonitor::Start(TimePoint aNow)
{
  m_lastEnough = aNow;
}

bool
QuerierMonitor::IsOutOfReach(TimePoint aNow, std::size_t aPeers)
{
  std::erase_if(m_lastQueries, [&](const auto& aEach) {
    return aNow - aEach.second > kRecent;
  });
  const bool isEnough =
    aPeers < kMinPeers || m_lastQueries.size() * kPeersPerQuerier >= aPeers;
  if (isEnough) {
    m_lastEnough = aNow;
  }
  return aNow - m_lastEnough >= kTooFewFor;
}

}
