#include "greengagehub/dissemination/quarantine_gossip.hpp"

#include "greengagehub/dissemination/push_message.hpp"

namespace greengagehub {

namespace {

/// Peers of its domain to which a daemon forwards an update. With four, one in
/// e^4 of a domain's members is not reached; those are updated when a probe
/// shows a different digest.
constexpr std::size_t kUpdateFanout = 4;
/// Shortest time between two transmissions of all verdicts.
constexpr std::chrono::milliseconds kSyncInterval{ 200 };

void
AppendSends(const Membership& aMembership,
            const std::vector<MemberPeer>& aTo,
            const QuarantineUpdate& aUpdate,
            std::vector<GossipSend>& aOut)
{
  for (QuarantineUpdate& part : SplitIntoDatagrams(aUpdate)) {
    GossipMessage message = MakePushMessage(aMembership);
    message.m_quarantine = std::move(part);
    for (const MemberPeer& each : aTo) {
      aOut.push_back({ each, message });
    }
  }
}

}

std::vector<GossipSend>
QuarantineGossip::OnChanged(Membership& aMembership,
                            const QuarantineUpdate& aUpdate,
                            Scope aScope) const
{
  std::vector<GossipSend> sends;
  AppendSends(
    aMembership, aMembership.SampleOwnDomain(kUpdateFanout), aUpdate, sends);
  if (aScope == Scope::AllDomains) {
    AppendSends(aMembership, aMembership.SampleOtherDomains(), aUpdate, sends);
    // Sends the verdicts twice to compensate for datagram loss: a domain that
    // misses both runs the request until a probe shows a different digest.
    // Crash reports are sent once, because other domains count them too.
    AppendSends(aMembership,
                aMembership.SampleOtherDomains(),
                { {}, aUpdate.m_verdicts },
                sends);
  }
  return sends;
}

std::vector<GossipSend>
QuarantineGossip::OnMessage(TimePoint aNow,
                            const Membership& aMembership,
                            const Quarantine& aQuarantine,
                            const GossipMessage& aMessage)
{
  std::vector<GossipSend> sends;
  const std::uint64_t own = aQuarantine.Summary();
  if (aMessage.m_verdicts == own || own == 0 || aNow < m_nextSync) {
    return sends;
  }
  m_nextSync = aNow + kSyncInterval;
  AppendSends(aMembership,
              { aMembership.PeerOf(aMessage.m_sender) },
              { {}, aQuarantine.Verdicts(aNow) },
              sends);
  return sends;
}

}
