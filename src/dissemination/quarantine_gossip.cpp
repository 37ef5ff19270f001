#include "greengagehub/dissemination/quarantine_gossip.hpp"

#include "greengagehub/dissemination/delivery_targets.hpp"
#include "greengagehub/dissemination/push_message.hpp"

#include <algorithm>
#include <chrono>

namespace greengagehub {

namespace {

/// Peers of its domain to which a daemon forwards an update. With four, one in
/// e^4 of a domain's members is not reached by crash reports.
constexpr std::size_t kUpdateFanout = 4;
/// Shortest time between two transmissions of all verdicts.
constexpr std::chrono::milliseconds kSyncInterval{ 200 };
/// A verdict is not delivered any longer after this time; probes that show a
/// different digest do it then.
constexpr std::chrono::seconds kRecentTime{ 5 };
/// So many verdicts fit into a datagram.
constexpr std::size_t kMaxRecent = 16;

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

void
QuarantineGossip::AddRecent(TimePoint aNow,
                            const std::vector<QuarantineVerdict>& aVerdicts,
                            Scope aScope)
{
  for (const QuarantineVerdict& each : aVerdicts) {
    std::erase_if(m_recent, [&](const RecentVerdict& aRecent) {
      return aRecent.m_fingerprint == each.m_fingerprint ||
             aNow - aRecent.m_changedAt >= kRecentTime;
    });
    m_recent.push_back(
      { each.m_fingerprint, aNow, aScope == Scope::AllDomains });
    if (m_recent.size() > kMaxRecent) {
      m_recent.pop_front();
    }
  }
}

std::vector<Delivery>
QuarantineGossip::MakeDeliveries(const Membership& aMembership)
{
  const auto isKnownToHave = [](const MemberRow&) { return false; };
  std::vector<Delivery> deliveries{ DeliverToSuccessor(aMembership,
                                                       isKnownToHave) };
  const bool hasLocal = std::ranges::any_of(
    m_recent, [](const RecentVerdict& aEach) { return aEach.m_isLocal; });
  if (hasLocal || aMembership.IsDomainRelay()) {
    for (Delivery& each :
         DeliverToOtherDomains(aMembership, isKnownToHave, m_random)) {
      deliveries.push_back(std::move(each));
    }
  }
  return deliveries;
}

std::vector<QuarantineVerdict>
QuarantineGossip::RecentVerdicts(TimePoint aNow,
                                 const Quarantine& aQuarantine) const
{
  std::vector<QuarantineVerdict> verdicts = aQuarantine.Verdicts(aNow);
  std::erase_if(verdicts, [this](const QuarantineVerdict& aEach) {
    return std::ranges::none_of(m_recent, [&](const RecentVerdict& aRecent) {
      return aRecent.m_fingerprint == aEach.m_fingerprint;
    });
  });
  return verdicts;
}

std::vector<GossipSend>
QuarantineGossip::OnTick(TimePoint aNow,
                         const Membership& aMembership,
                         const Quarantine& aQuarantine)
{
  std::vector<GossipSend> sends;
  const auto recipients = m_deliveries.TakeDue(aNow);
  if (recipients.empty()) {
    return sends;
  }
  GossipMessage message = MakePushMessage(aMembership);
  message.m_quarantine.m_verdicts = RecentVerdicts(aNow, aQuarantine);
  message.m_pushNumber = m_pushNumber;
  for (const auto& each : recipients) {
    sends.push_back({ each.m_peer, message });
  }
  return sends;
}

std::vector<GossipSend>
QuarantineGossip::OnChanged(TimePoint aNow,
                            Membership& aMembership,
                            const Quarantine& aQuarantine,
                            const QuarantineUpdate& aUpdate,
                            Scope aScope)
{
  std::vector<GossipSend> sends;
  AppendSends(
    aMembership, aMembership.SampleOwnDomain(kUpdateFanout), aUpdate, sends);
  if (aScope == Scope::AllDomains) {
    AppendSends(aMembership, aMembership.SampleOtherDomains(), aUpdate, sends);
  }
  if (!aUpdate.m_verdicts.empty()) {
    AddRecent(aNow, aUpdate.m_verdicts, aScope);
    ++m_pushNumber;
    m_deliveries.Restart(aNow, MakeDeliveries(aMembership));
    std::ranges::move(OnTick(aNow, aMembership, aQuarantine),
                      std::back_inserter(sends));
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
  const std::string& sender = aMessage.m_sender.m_slot;
  const std::uint64_t own = aQuarantine.Summary();
  m_deliveries.RecordAlive(sender);
  if (aMessage.m_verdicts == own ||
      (aMessage.m_confirmedPush != 0 &&
       aMessage.m_confirmedPush == m_pushNumber)) {
    m_deliveries.Confirm(sender);
  }
  if (aMessage.m_pushNumber != 0) {
    GossipMessage answer = MakePushMessage(aMembership);
    answer.m_confirmedPush = aMessage.m_pushNumber;
    sends.push_back(
      { aMembership.PeerOf(aMessage.m_sender), std::move(answer) });
  }
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
