#include "greengagehub/daemon/control_plane.hpp"

#include <algorithm>

// How a daemon finds the others: by the addresses in the store, those of its
// own failure domain first, and by comparing members.

namespace greengagehub {

namespace {

constexpr std::chrono::milliseconds kMaxJoinBackoff{ 15'000 };
/// Where all start together, the first seed may stand only some seconds later;
/// until then the pause between looks for one stays short.
constexpr auto kHerdTime = std::chrono::seconds{ 6 };
/// Addresses of other domains that a joining daemon asks at once: where all
/// start together, each answer brings up to a datagram of news across.
constexpr std::size_t kFarSeedsAsked = 2;
constexpr std::chrono::milliseconds kHerdJoinBackoff{ 500 };
/// For so long after its start a daemon asks others for members, every so
/// often. Where all start together each knows nobody, and what one learns only
/// spreads by asking: with one probe a second, calls of a service found no
/// worker for 3.5 s although all of them ran.
constexpr auto kJoinTime = std::chrono::seconds{ 3 };
constexpr std::chrono::milliseconds kContactEvery{ 200 };

}

void
ControlPlane::ContactWhileJoining(TimePoint aNow)
{
  const bool due = aNow - m_started < kJoinTime && aNow >= m_nextContact;
  if (!due) {
    return;
  }
  m_nextContact = aNow + Jittered(m_random, kContactEvery);
  std::vector<MemberPeer> targets = m_membership.SampleNear(1);
  if (targets.empty()) {
    targets = m_membership.Sample(1);
  }
  if (targets.empty() && !m_seedsHeard.empty()) {
    targets.push_back(m_seedsHeard[Below(m_random, m_seedsHeard.size())]);
  }
  for (const MemberPeer& each : targets) {
    Contact(each);
  }
}

void
ControlPlane::FindDomains(TimePoint aNow)
{
  if (!m_memberSync.HasJoined() || !m_membership.SpeaksForDomain()) {
    return;
  }
  for (const MemberPeer& each : m_domainFinder.ToAsk(aNow, m_membership)) {
    Contact(each);
  }
  if (m_domainFinder.ReadIsDue(aNow)) {
    m_store.Carry(MakeOldList(std::string{ kSeedPrefix }),
                  [this](const StoreReply& aReply) { OnSeeds(aReply); });
  }
}

void
ControlPlane::Join()
{
  const TimePoint now = Clock::now();
  m_nextJoin = now + Jittered(m_random, m_joinBackoff);
  if (!m_seedsHeard.empty()) {
    // They are being asked; one of them is most likely just slow.
    m_nextJoin += kHerdJoinBackoff;
  }
  const auto longest =
    now - m_started < kHerdTime ? kHerdJoinBackoff : kMaxJoinBackoff;
  m_joinBackoff =
    std::min<std::chrono::milliseconds>(2 * m_joinBackoff, longest);
  for (const MemberAddress& each : m_settings.m_seeds) {
    Contact({ each });
  }
  ++m_joinTries;
  // Addresses are hints, whether or not they are the newest ones.
  m_store.Carry(MakeOldList(std::string{ kSeedPrefix }),
                [this](const StoreReply& aReply) { OnSeeds(aReply); });
}

void
ControlPlane::OnSeeds(const StoreReply& aReply)
{
  if (aReply.m_status != StoreReply::Status::Ok) {
    // Whoever was read before is still asked.
    return;
  }
  const std::string domain = SeedPrefix(m_settings.m_domain);
  std::uint32_t taken = 0;
  std::vector<MemberPeer> far;
  std::vector<DomainFinder::Seed> others;
  m_seedsHeard.clear();
  for (const StoreItem& each : aReply.m_items) {
    const bool isNear = each.m_key.starts_with(domain);
    taken += isNear ? 1 : 0;
    const auto address = ParseSeed(each.m_value);
    const bool other = address && !(*address == m_membership.Self().m_address);
    if (other && !isNear) {
      others.push_back({ DomainOfSeed(each.m_key), { *address, true } });
    }
    if (other) {
      (isNear ? m_seedsHeard : far).push_back({ *address, !isNear });
    }
  }
  m_domainFinder.OnSeeds(std::move(others));
  if (m_memberSync.HasJoined()) {
    return;
  }
  const bool someoneNear = !m_seedsHeard.empty();
  if (!someoneNear || m_joinTries > 1) {
    // Nobody of the own domain stands there, or nobody has answered.
    std::shuffle(far.begin(), far.end(), m_random);
    far.resize(std::min(far.size(), kFarSeedsAsked));
    m_seedsHeard.insert(m_seedsHeard.end(), far.begin(), far.end());
  }
  for (const MemberPeer& each : m_seedsHeard) {
    Contact(each);
  }
  const TimePoint now = Clock::now();
  // Where none of them has answered by now, all of them are gone.
  const bool fresh = now - m_started < kAloneAfter;
  m_seedKeeper.OnSeeds(now, fresh && someoneNear);
  if (taken >= m_settings.m_watch.m_watchers) {
    m_watchRole.NoteAllTaken(now);
  }
}

void
ControlPlane::SetJoined()
{
  if (m_memberSync.HasJoined()) {
    return;
  }
  m_memberSync.Joined();
  m_gate.Joined();
  // Hear at once from as many as it takes to be ready.
  for (const MemberPeer& each :
       m_membership.SampleNearFirst(ReadyGate::kPeers)) {
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
  if (m_memberSync.Begins(
        aNow, { differs, peer.m_isFar }, m_membership.SpeaksForDomain())) {
    PullFrom(peer, true);
  }
}

}
