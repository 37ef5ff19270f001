#pragma once

#include "greengagehub/dissemination/confirmed_deliveries.hpp"
#include "greengagehub/membership/membership.hpp"

#include <algorithm>
#include <concepts>
#include <map>
#include <string_view>

namespace greengagehub {

/// \brief Tells whether a member is known to have the message already.
template<class T>
concept MessagePredicate = std::predicate<const T&, const MemberRow&>;

/// \returns A delivery to one of the members, tried in random order.
[[nodiscard]] Delivery
DeliverToAnyOf(const Membership& aMembership,
               std::vector<const MemberRow*> aRows,
               Random& aRandom);

/// \returns Members of the own domain in its order by hash, from this daemon's
/// successor on.
[[nodiscard]] std::vector<const MemberRow*>
SuccessorsInDomain(const Membership& aMembership);

/// \returns A delivery to the first successor that answers, and to all members
/// before it: each member that answers has a predecessor that looks for it.
template<MessagePredicate HasMessage>
[[nodiscard]] Delivery
DeliverToSuccessor(const Membership& aMembership, const HasMessage& aHasMessage)
{
  Delivery delivery;
  delivery.m_coversSkipped = true;
  for (const MemberRow* each : SuccessorsInDomain(aMembership)) {
    const MemberRecord& record = each->m_record;
    delivery.m_targets.push_back({ record.m_slot, aMembership.PeerOf(record) });
    if (aHasMessage(*each)) {
      delivery.m_targets.back().m_isConfirmed = true;
      break;
    }
  }
  return delivery;
}

/// \returns A delivery to `aCount` members of the own domain.
template<MessagePredicate HasMessage>
[[nodiscard]] Delivery
DeliverToRandomMembers(const Membership& aMembership,
                       std::size_t aCount,
                       const HasMessage& aHasMessage,
                       Random& aRandom)
{
  const MemberRecord& self = aMembership.Self();
  std::vector<const MemberRow*> rows;
  aMembership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) {
      const MemberRecord& record = aRow.m_record;
      if (record.m_domain == self.m_domain && IsPresent(record.m_state) &&
          !aHasMessage(aRow)) {
        rows.push_back(&aRow);
      }
    });
  Delivery delivery = DeliverToAnyOf(aMembership, std::move(rows), aRandom);
  delivery.m_wanted = aCount;
  delivery.m_width = aCount;
  return delivery;
}

/// \returns A delivery to one member of each other domain of which no member is
/// known to have the message.
template<MessagePredicate HasMessage>
[[nodiscard]] std::vector<Delivery>
DeliverToOtherDomains(const Membership& aMembership,
                      const HasMessage& aHasMessage,
                      Random& aRandom)
{
  struct Domain
  {
    std::vector<const MemberRow*> m_rows{};
    bool m_hasMessage{ false };
  };
  const MemberRecord& self = aMembership.Self();
  std::map<std::string_view, Domain> domains;
  aMembership.Members().Rows().Each(
    [&](MemberTable::Index, const MemberRow& aRow) {
      const std::string_view name = aRow.m_record.m_domain;
      if (name != self.m_domain && IsPresent(aRow.m_record.m_state)) {
        Domain& domain = domains[name];
        domain.m_rows.push_back(&aRow);
        domain.m_hasMessage |= aHasMessage(aRow);
      }
    });
  std::vector<Delivery> deliveries;
  for (auto& [name, domain] : domains) {
    if (!domain.m_hasMessage) {
      deliveries.push_back(
        DeliverToAnyOf(aMembership, std::move(domain.m_rows), aRandom));
    }
  }
  return deliveries;
}

}
