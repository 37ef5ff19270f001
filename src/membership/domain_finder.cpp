#include "greengagehub/membership/domain_finder.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// An answer comes within milliseconds, and callers whose domain has no worker
/// of a service wait for it.
constexpr std::chrono::milliseconds kAskEvery{ 200 };
/// Between two reads of the addresses: while a domain is missing they may be
/// about to be written; later, one may have come that nobody here has heard of.
constexpr std::chrono::milliseconds kReadWhileMissing{ 1000 };
constexpr std::chrono::milliseconds kReadEvery{ 30'000 };

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
  m_missing = !asked.empty() || known.size() < 2;
  return asked;
}

bool
DomainFinder::ReadIsDue(TimePoint aNow)
{
  if (aNow < m_nextRead) {
    return false;
  }
  m_nextRead = aNow + (m_missing ? kReadWhileMissing : kReadEvery);
  return true;
}

}
