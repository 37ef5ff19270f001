#include "greengagehub/daemon/control_plane.hpp"

// Exchange of quarantine updates between daemons.

namespace greengagehub {

namespace {

/// Peers of its domain to which a daemon forwards an update. With four, one in
/// e^4 of a domain's members is not reached; those are updated when a probe
/// shows a different digest.
constexpr std::size_t kUpdateFanout = 4;
/// Shortest time between two transmissions of all verdicts.
constexpr std::chrono::milliseconds kVerdictsInterval{ 200 };

}

void
ControlPlane::SendQuarantine(const std::vector<MemberPeer>& aTo,
                             const QuarantineUpdate& aUpdate)
{
  for (QuarantineUpdate& part : SplitIntoDatagrams(aUpdate)) {
    GossipMessage message;
    message.m_kind = GossipMessage::Kind::Push;
    message.m_sender = m_membership.Self();
    message.m_members = m_membership.Digests().Summary();
    message.m_quarantine = std::move(part);
    for (const MemberPeer& each : aTo) {
      SendGossip({ each, message });
    }
  }
}

void
ControlPlane::PublishQuarantine(const QuarantineUpdate& aUpdate,
                                QuarantineService::Scope aScope)
{
  SendQuarantine(m_membership.SampleOwnDomain(kUpdateFanout), aUpdate);
  if (aScope == QuarantineService::Scope::AllDomains) {
    SendQuarantine(m_membership.SampleOtherDomains(), aUpdate);
    // Sends the verdicts twice to compensate for datagram loss: a domain that
    // misses both runs the request until a probe shows a different digest.
    // Crash reports are sent once, because other domains count them too.
    SendQuarantine(m_membership.SampleOtherDomains(),
                   { {}, aUpdate.m_verdicts });
  }
}

void
ControlPlane::SyncVerdicts(TimePoint aNow, const GossipMessage& aMessage)
{
  const Quarantine& own = m_quarantine.Table();
  const bool differs = aMessage.m_verdicts != own.Summary();
  if (!differs || own.Summary() == 0 || aNow < m_nextVerdictSync) {
    return;
  }
  m_nextVerdictSync = aNow + kVerdictsInterval;
  SendQuarantine({ m_membership.PeerOf(aMessage.m_sender) },
                 { {}, own.Verdicts(aNow) });
}

}
