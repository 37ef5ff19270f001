#include "greengagehub/dissemination/version_pusher.hpp"

#include "greengagehub/dissemination/push_message.hpp"

#include <algorithm>
#include <string_view>

namespace greengagehub {

namespace {

/// After this time a push counts as unanswered; many times the round trip
/// between domains, with room for a receiver that is short of processor time.
constexpr std::chrono::milliseconds kConfirmTime{ 200 };
/// Unanswered pushes to a member are ignored after this time.
constexpr std::chrono::seconds kForgetUnanswered{ 5 };
/// So many datagrams in a row are not lost to one member that runs.
constexpr int kMaxSends = 4;
constexpr std::size_t kWidthFactor = 4;
constexpr std::size_t kMaxWidth = 16;
/// Bounds the candidates, and so the datagrams, of one delivery.
constexpr std::size_t kMaxTargets = 64;

bool
IsInDomain(const MemberRow& aRow, std::string_view aDomain)
{
  return IsPresent(aRow.m_record.m_state) && aRow.m_record.m_domain == aDomain;
}

}

VersionPusher::Delivery
VersionPusher::ToSuccessor(const Membership& aMembership) const
{
  struct Successor
  {
    /// From this daemon's key, modulo 2^64.
    std::uint64_t m_distance;
    const MemberRow* m_row;
  };
  const MemberRecord& self = aMembership.Self();
  const std::uint64_t ownKey = RankKey(self.m_slot);
  std::vector<Successor> successors;
  aMembership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) {
      if (IsInDomain(aRow, self.m_domain)) {
        successors.push_back({ aRow.m_rankKey - ownKey, &aRow });
      }
    });
  const auto end =
    successors.begin() +
    static_cast<std::ptrdiff_t>(std::min(successors.size(), kMaxTargets));
  std::partial_sort(successors.begin(),
                    end,
                    successors.end(),
                    [](const Successor& aLeft, const Successor& aRight) {
                      return aLeft.m_distance < aRight.m_distance;
                    });
  Delivery delivery;
  delivery.m_coversSkipped = true;
  for (auto each = successors.begin(); each != end; ++each) {
    const MemberRecord& record = each->m_row->m_record;
    delivery.m_targets.push_back({ record.m_slot, aMembership.PeerOf(record) });
    if (each->m_row->m_version >= m_version) {
      delivery.m_targets.back().m_isConfirmed = true;
      break;
    }
  }
  return delivery;
}

VersionPusher::Delivery
VersionPusher::ToAnyOf(const Membership& aMembership,
                       std::vector<const MemberRow*> aRows)
{
  std::shuffle(aRows.begin(), aRows.end(), m_random);
  aRows.resize(std::min(aRows.size(), kMaxTargets));
  Delivery delivery;
  for (const MemberRow* each : aRows) {
    delivery.m_targets.push_back(
      { each->m_record.m_slot, aMembership.PeerOf(each->m_record) });
  }
  return delivery;
}

VersionPusher::Delivery
VersionPusher::ToRandomMembers(const Membership& aMembership)
{
  const MemberRecord& self = aMembership.Self();
  std::vector<const MemberRow*> rows;
  aMembership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) {
      if (IsInDomain(aRow, self.m_domain) && aRow.m_version < m_version) {
        rows.push_back(&aRow);
      }
    });
  Delivery delivery = ToAnyOf(aMembership, std::move(rows));
  delivery.m_wanted = m_settings.m_fanout > 2 ? m_settings.m_fanout - 2 : 0;
  delivery.m_width = delivery.m_wanted;
  return delivery;
}

std::vector<VersionPusher::Delivery>
VersionPusher::ToOtherDomains(const Membership& aMembership)
{
  struct Domain
  {
    std::vector<const MemberRow*> m_rows{};
    bool m_hasVersion{ false };
  };
  const MemberRecord& self = aMembership.Self();
  std::map<std::string_view, Domain> domains;
  aMembership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) {
      const std::string_view name = aRow.m_record.m_domain;
      if (name != self.m_domain && IsPresent(aRow.m_record.m_state)) {
        Domain& domain = domains[name];
        domain.m_rows.push_back(&aRow);
        domain.m_hasVersion |= aRow.m_version >= m_version;
      }
    });
  std::vector<Delivery> deliveries;
  for (auto& [name, domain] : domains) {
    if (!domain.m_hasVersion) {
      deliveries.push_back(ToAnyOf(aMembership, std::move(domain.m_rows)));
    }
  }
  return deliveries;
}

bool
VersionPusher::IsUnresponsive(TimePoint aNow, const std::string& aSlot) const
{
  const auto found = m_unanswered.find(aSlot);
  return found != m_unanswered.end() &&
         aNow - found->second.m_first >= kConfirmTime;
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

GossipSend
VersionPusher::MakePush(const ConfigHolder& aHolder,
                        const Membership& aMembership,
                        const Target& aTarget) const
{
  GossipMessage message = MakePushMessage(aMembership);
  message.m_entries = EntriesFor(aHolder, aMembership, aTarget.m_slot);
  message.m_requestsHead = true;
  return { aTarget.m_peer, std::move(message) };
}

void
VersionPusher::SendTo(TimePoint aNow,
                      const ConfigHolder& aHolder,
                      const Membership& aMembership,
                      Target& aTarget,
                      std::vector<GossipSend>& aOut)
{
  ++aTarget.m_sendCount;
  aTarget.m_lastSent = aNow;
  m_unanswered.try_emplace(aTarget.m_slot, Unanswered{ aNow, aNow })
    .first->second.m_last = aNow;
  aOut.push_back(MakePush(aHolder, aMembership, aTarget));
}

void
VersionPusher::RepeatUnconfirmed(TimePoint aNow,
                                 const ConfigHolder& aHolder,
                                 const Membership& aMembership,
                                 Delivery& aDelivery,
                                 std::vector<GossipSend>& aOut)
{
  if (aDelivery.IsSatisfied() && !aDelivery.m_coversSkipped) {
    return;
  }
  for (std::size_t i = 0; i < aDelivery.m_tried; ++i) {
    Target& target = aDelivery.m_targets[i];
    const bool isDue = !target.m_isConfirmed &&
                       target.m_sendCount < kMaxSends &&
                       aNow - target.m_lastSent >= kConfirmTime;
    if (isDue) {
      SendTo(aNow, aHolder, aMembership, target, aOut);
    }
  }
}

void
VersionPusher::StartRoundIfDue(TimePoint aNow,
                               const ConfigHolder& aHolder,
                               const Membership& aMembership,
                               Delivery& aDelivery,
                               std::vector<GossipSend>& aOut)
{
  if (aDelivery.IsSatisfied() || aNow < aDelivery.m_nextRound) {
    return;
  }
  std::size_t started = 0;
  while (started < aDelivery.m_width &&
         aDelivery.m_tried < aDelivery.m_targets.size()) {
    Target& target = aDelivery.m_targets[aDelivery.m_tried++];
    if (target.m_isConfirmed) {
      ++aDelivery.m_confirmed;
      break;
    }
    const bool isUnresponsive = IsUnresponsive(aNow, target.m_slot);
    started += isUnresponsive ? 0 : 1;
    const bool wasJustSent =
      isUnresponsive &&
      aNow - m_unanswered.at(target.m_slot).m_last < kConfirmTime;
    if (!wasJustSent) {
      SendTo(aNow, aHolder, aMembership, target, aOut);
    }
  }
  aDelivery.m_width = std::min(kWidthFactor * aDelivery.m_width, kMaxWidth);
  aDelivery.m_nextRound = aNow + kConfirmTime;
}

std::vector<GossipSend>
VersionPusher::OnAdvanced(TimePoint aNow,
                          const ConfigHolder& aHolder,
                          const Membership& aMembership,
                          Version aBefore)
{
  m_version = aHolder.GetVersion();
  m_before = aBefore;
  m_deliveries.clear();
  std::erase_if(m_unanswered, [aNow](const auto& aEach) {
    return aNow - aEach.second.m_first >= kForgetUnanswered;
  });
  if (m_settings.m_fanout == 0) {
    return {};
  }
  m_deliveries.push_back(ToSuccessor(aMembership));
  m_deliveries.push_back(ToRandomMembers(aMembership));
  if (aMembership.IsDomainRelay()) {
    // Each domain reads the store itself, unless its readers have failed.
    for (Delivery& each : ToOtherDomains(aMembership)) {
      m_deliveries.push_back(std::move(each));
    }
  }
  return OnTick(aNow, aHolder, aMembership);
}

std::vector<GossipSend>
VersionPusher::OnTick(TimePoint aNow,
                      const ConfigHolder& aHolder,
                      const Membership& aMembership)
{
  std::vector<GossipSend> sends;
  for (Delivery& each : m_deliveries) {
    RepeatUnconfirmed(aNow, aHolder, aMembership, each, sends);
    StartRoundIfDue(aNow, aHolder, aMembership, each, sends);
  }
  return sends;
}

void
VersionPusher::Confirm(const std::string& aSlot)
{
  for (Delivery& delivery : m_deliveries) {
    for (std::size_t i = 0; i < delivery.m_tried; ++i) {
      Target& target = delivery.m_targets[i];
      if (!target.m_isConfirmed && target.m_slot == aSlot) {
        target.m_isConfirmed = true;
        ++delivery.m_confirmed;
      }
    }
  }
}

std::vector<GossipSend>
VersionPusher::OnMessage(const ConfigHolder& aHolder,
                         const Membership& aMembership,
                         const GossipMessage& aMessage)
{
  std::vector<GossipSend> sends;
  const MemberPeer sender = aMembership.PeerOf(aMessage.m_sender);
  m_unanswered.erase(aMessage.m_sender.m_slot);
  if (aMessage.m_requestsHead) {
    GossipMessage answer = MakePushMessage(aMembership);
    answer.m_reportsHead = true;
    sends.push_back({ sender, std::move(answer) });
  }
  const Version theirs = aMessage.m_head.m_version;
  if (theirs >= m_version || aMessage.m_reportsHead) {
    Confirm(aMessage.m_sender.m_slot);
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
