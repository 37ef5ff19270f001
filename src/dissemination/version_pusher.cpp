#include "greengagehub/dissemination/version_pusher.hpp"

#include "greengagehub/dissemination/delivery_targets.hpp"
#include "greengagehub/dissemination/push_message.hpp"

namespace greengagehub {

std::vector<Delivery>
VersionPusher::MakeDeliveries(const Membership& aMembership)
{
  if (m_settings.m_fanout == 0) {
    return {};
  }
  const auto hasVersion = [this](const MemberRow& aRow) {
    return aRow.m_version >= m_version;
  };
  const std::size_t randomMembers =
    m_settings.m_fanout > 2 ? m_settings.m_fanout - 2 : 0;
  std::vector<Delivery> deliveries{
    DeliverToSuccessor(aMembership, hasVersion),
    DeliverToRandomMembers(aMembership, randomMembers, hasVersion, m_random)
  };
  if (aMembership.IsDomainRelay()) {
    // Each domain reads the store itself, unless its readers have failed.
    for (Delivery& each :
         DeliverToOtherDomains(aMembership, hasVersion, m_random)) {
      deliveries.push_back(std::move(each));
    }
  }
  return deliveries;
}

std::vector<VersionEntry>
VersionPusher::EntriesFor(const ConfigHolder& aHolder,
                          const Membership& aMembership,
                          const std::string& aSlot) const
{
  const std::size_t maxBytes = m_settings.m_maxDatagramBytes;
  const auto index = aMembership.Members().Find(aSlot);
  const Version known =
    index ? aMembership.Members().At(*index).m_version : Version{};
  const bool isOlder = known > Version{} && known < aHolder.GetVersion();
  if (isOlder) {
    auto entries = EntriesToPush(aHolder, known, maxBytes);
    const bool isWhole =
      !entries.empty() && entries.back().m_version == aHolder.GetVersion();
    if (isWhole) {
      return entries;
    }
  }
  return EntriesToPush(aHolder, m_before, maxBytes);
}

std::vector<GossipSend>
VersionPusher::OnAdvanced(TimePoint aNow,
                          const ConfigHolder& aHolder,
                          const Membership& aMembership,
                          Version aBefore)
{
  m_version = aHolder.GetVersion();
  m_before = aBefore;
  m_deliveries.Restart(aNow, MakeDeliveries(aMembership));
  return OnTick(aNow, aHolder, aMembership);
}

std::vector<GossipSend>
VersionPusher::OnTick(TimePoint aNow,
                      const ConfigHolder& aHolder,
                      const Membership& aMembership)
{
  std::vector<GossipSend> sends;
  for (const auto& each : m_deliveries.TakeDue(aNow)) {
    GossipMessage message = MakePushMessage(aMembership);
    message.m_entries = EntriesFor(aHolder, aMembership, each.m_slot);
    message.m_requestsHead = true;
    sends.push_back({ each.m_peer, std::move(message) });
  }
  return sends;
}

std::vector<GossipSend>
VersionPusher::OnMessage(const ConfigHolder& aHolder,
                         const Membership& aMembership,
                         const GossipMessage& aMessage)
{
  std::vector<GossipSend> sends;
  const MemberPeer sender = aMembership.PeerOf(aMessage.m_sender);
  m_deliveries.RecordAlive(aMessage.m_sender.m_slot);
  if (aMessage.m_requestsHead) {
    GossipMessage answer = MakePushMessage(aMembership);
    answer.m_reportsHead = true;
    sends.push_back({ sender, std::move(answer) });
  }
  const Version theirs = aMessage.m_head.m_version;
  if (theirs >= m_version || aMessage.m_reportsHead) {
    m_deliveries.Confirm(aMessage.m_sender.m_slot);
  }
  if (aMessage.m_reportsHead && theirs < aHolder.GetVersion()) {
    // The push was on another version than the one in force there.
    GossipMessage repair = MakePushMessage(aMembership);
    repair.m_entries =
      EntriesToPush(aHolder, theirs, m_settings.m_maxDatagramBytes);
    if (!repair.m_entries.empty()) {
      sends.push_back({ sender, std::move(repair) });
    }
  }
  return sends;
}

}
