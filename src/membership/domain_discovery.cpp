#include "greengagehub/membership/domain_discovery.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Short, since calls may wait for a worker in an undiscovered domain.
constexpr std::chrono::milliseconds kContactInterval{ 200 };

}

std::vector<MemberPeer>
DomainDiscovery::PeersToContact(TimePoint aNow, const Membership& aMembership)
{
  std::vector<MemberPeer> peers;
  if (aNow < m_nextContact) {
    return peers;
  }
  m_nextContact = aNow + kContactInterval;
  const auto knownDomains = aMembership.DomainsPresent();
  for (const Seed& each : m_seeds) {
    if (!knownDomains.contains(each.m_domain)) {
      peers.push_back(each.m_peer);
    }
  }
  if (!peers.empty()) {
    m_readInterval = kMinReadInterval;
  }
  return peers;
}

bool
DomainDiscovery::IsReadDue(TimePoint aNow)
{
  if (aNow < m_nextRead) {
    return false;
  }
  m_nextRead = aNow + m_readInterval;
  m_readInterval = std::min(2 * m_readInterval, kMaxReadInterval);
  return true;
}

}
