#include "greengagehub/daemon/control_plane.hpp"

#include <algorithm>

// Joining the fleet: finds peers through the seed addresses in the store, those
// of this daemon's domain first, and synchronizes the member table with them.

namespace greengagehub {

namespace {

constexpr std::chrono::milliseconds kMaxJoinBackoff{ 15'000 };
/// During this time after the start the pause between reads of the seeds stays
/// short, because daemons that start together publish their addresses late.
constexpr auto kStartupTime = std::chrono::seconds{ 6 };
/// Addresses in other failure domains that a joining daemon contacts at once;
/// limits the traffic between domains.
constexpr std::size_t kMaxOtherDomainSeeds = 2;
constexpr std::chrono::milliseconds kStartupJoinBackoff{ 500 };
/// A daemon contacts peers at this interval for this long after its start.
/// Probes alone spread members too slowly when all daemons start together: for
/// 3.5 s calls found no worker although all of them ran.
constexpr auto kContactTime = std::chrono::seconds{ 3 };
constexpr std::chrono::milliseconds kContactInterval{ 200 };

}

void
ControlPlane::ContactWhileJoining(TimePoint aNow)
{
  const bool isDue = aNow - m_startedAt < kContactTime && aNow >= m_nextContact;
  if (!isDue) {
    return;
  }
  m_nextContact = aNow + Jittered(m_random, kContactInterval);
  std::vector<MemberPeer> targets = m_membership.SampleOwnDomain(1);
  if (targets.empty()) {
    targets = m_membership.Sample(1);
  }
  if (targets.empty() && !m_knownSeeds.empty()) {
    targets.push_back(m_knownSeeds[Below(m_random, m_knownSeeds.size())]);
  }
  for (const MemberPeer& each : targets) {
    Contact(each);
  }
}

void
ControlPlane::DiscoverDomains(TimePoint aNow)
{
  if (!m_memberSync.HasJoined() || !m_membership.IsDomainRelay()) {
    return;
  }
  for (const MemberPeer& each :
       m_domainDiscovery.PeersToContact(aNow, m_membership)) {
    Contact(each);
  }
  if (m_domainDiscovery.IsReadDue(aNow)) {
    m_store.Execute(MakeStaleList(std::string{ kSeedPrefix }),
                    [this](const StoreReply& aReply) { OnSeeds(aReply); });
  }
}

void
ControlPlane::Join()
{
  const TimePoint now = Clock::now();
  m_nextJoin = now + Jittered(m_random, m_joinBackoff);
  if (!m_knownSeeds.empty()) {
    // Gives the contacted seeds more time to answer.
    m_nextJoin += kStartupJoinBackoff;
  }
  const auto maxBackoff =
    now - m_startedAt < kStartupTime ? kStartupJoinBackoff : kMaxJoinBackoff;
  m_joinBackoff =
    std::min<std::chrono::milliseconds>(2 * m_joinBackoff, maxBackoff);
  for (const MemberAddress& each : m_settings.m_seeds) {
    Contact({ each });
  }
  ++m_joinAttempts;
  m_store.Execute(MakeStaleList(std::string{ kSeedPrefix }),
                  [this](const StoreReply& aReply) { OnSeeds(aReply); });
}

void
ControlPlane::OnSeeds(const StoreReply& aReply)
{
  if (aReply.m_status != StoreReply::Status::Ok) {
    return;
  }
  const std::string domain = SeedPrefix(m_settings.m_domain);
  std::uint32_t ownDomainSeeds = 0;
  std::vector<MemberPeer> otherDomainPeers;
  std::vector<DomainDiscovery::Seed> otherDomainSeeds;
  m_knownSeeds.clear();
  for (const StoreItem& each : aReply.m_items) {
    const bool isOwnDomain = each.m_key.starts_with(domain);
    ownDomainSeeds += isOwnDomain ? 1 : 0;
    const auto address = ParseSeed(each.m_value);
    const bool isPeer = address && !(*address == m_membership.Self().m_address);
    if (isPeer && !isOwnDomain) {
      otherDomainSeeds.push_back(
        { DomainOfSeed(each.m_key), { *address, true } });
    }
    if (isPeer) {
      (isOwnDomain ? m_knownSeeds : otherDomainPeers)
        .push_back({ *address, !isOwnDomain });
    }
  }
  m_domainDiscovery.OnSeeds(std::move(otherDomainSeeds));
  // Daemons that start together publish their seeds late.
  m_hasFoundNoPeers = Clock::now() - m_startedAt >= kStandaloneAfter &&
                      m_settings.m_seeds.empty() && m_knownSeeds.empty() &&
                      otherDomainPeers.empty();
  if (m_memberSync.HasJoined()) {
    return;
  }
  const bool hasOwnDomainPeer = !m_knownSeeds.empty();
  if (!hasOwnDomainPeer || m_joinAttempts > 1) {
    // No peer of this daemon's domain is known, or none has answered.
    std::shuffle(otherDomainPeers.begin(), otherDomainPeers.end(), m_random);
    otherDomainPeers.resize(
      std::min(otherDomainPeers.size(), kMaxOtherDomainSeeds));
    m_knownSeeds.insert(
      m_knownSeeds.end(), otherDomainPeers.begin(), otherDomainPeers.end());
  }
  for (const MemberPeer& each : m_knownSeeds) {
    Contact(each);
  }
  const TimePoint now = Clock::now();
  // By kStandaloneAfter, running peers would have answered; later, the seeds
  // are treated as stale.
  const bool isStarting = now - m_startedAt < kStandaloneAfter;
  m_seedPublisher.OnSeeds(now, isStarting && hasOwnDomainPeer);
  if (ownDomainSeeds >= m_settings.m_watch.m_watchers) {
    m_watchLease.OnAllPlacesTaken(now);
  }
}

void
ControlPlane::SetJoined()
{
  if (m_memberSync.HasJoined()) {
    return;
  }
  m_memberSync.Joined();
  m_readinessGate.RecordJoined();
  for (const MemberPeer& each :
       m_membership.SampleOwnDomainFirst(ReadinessGate::kRequiredPeers)) {
    Contact(each);
  }
}

void
ControlPlane::SyncMembers(TimePoint aNow, const GossipMessage& aMessage)
{
  const MemberPeer peer = m_membership.PeerOf(aMessage.m_sender);
  const bool differs = aMessage.m_members != m_membership.Digests().Summary();
  if (!differs) {
    SetJoined();
  }
  if (m_memberSync.TryBegin(aNow,
                            { differs, peer.m_crossesDomains },
                            m_membership.IsDomainRelay())) {
    PullFrom(peer, true);
  }
}

}
