#include "greengagehub/membership/domain_finder.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// An answer comes within milliseconds, and callers whose domain has no worker
/// of a service wait for it.
constexpr std::chrono::milliseconds kAskEvery{ 200 };

}

std::vector<MemberPeer>
DomainFinder::ToAsk(TimePoint aNow, const Membership& aMembership)
{
  std::vector<MemberPeer> asked;
  if (aNow < m_nextAsk) {
    return asked;
  }
  m_nextAsk = aNow + kAskEvery;
  const auto known = aMembership.DomainsPresent();
  for (const Seed& each : m_seeds) {
    if (!known.contains(each.m_domain)) {
      asked.push_back(each.m_peer);
    }
  }
  if (!asked.empty()) {
    m_readAfter = kFirstRead;
  }
  return asked;
}

bool
DomainFinder::ReadIsDue(TimePoint aNow)
{
  if (aNow < m_nextRead) {
    return false;
  }
  m_nextRead = aNow + m_readAfter;
  m_readAfter = std::min(2 * m_readAfter, kLastRead);
  return true;
}

}
