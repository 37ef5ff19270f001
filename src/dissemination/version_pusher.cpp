#include "greengagehub/dissemination/version_pusher.hpp"

namespace greengagehub {

std::vector<GossipSend>
VersionPusher::OnAdvanced(const Disseminator& aDisseminator,
                          const ConfigHolder& aHolder,
                          Membership& aMembership,
                          Version aBefore) const
{
  std::vector<GossipSend> sends;
  const auto entries = aDisseminator.EntriesToPush(aHolder, aBefore);
  const std::uint32_t fanout = aDisseminator.Settings().m_fanout;
  for (const MemberPeer& each : Targets(aMembership, fanout)) {
    GossipMessage message;
    message.m_kind = GossipMessage::Kind::Push;
    message.m_sender = aMembership.Self();
    message.m_entries = entries;
    sends.push_back({ each, std::move(message) });
  }
  return sends;
}

std::vector<MemberPeer>
VersionPusher::Targets(Membership& aMembership, std::uint32_t aFanout) const
{
  if (m_scope == Scope::AnyDomain || aFanout == 0) {
    return aMembership.Sample(aFanout);
  }
  // Each domain watches the store itself. Relays also push to other domains, in
  // case the watchers of a domain have failed.
  std::vector<MemberPeer> targets = aMembership.SampleOwnDomain(aFanout - 1);
  if (aMembership.IsDomainRelay()) {
    const auto remote = aMembership.SampleOtherDomains();
    targets.insert(targets.end(), remote.begin(), remote.end());
  }
  return targets;
}

}
