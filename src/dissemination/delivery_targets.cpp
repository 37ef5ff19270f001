#include "greengagehub/dissemination/delivery_targets.hpp"

namespace greengagehub {

Delivery
DeliverToAnyOf(const Membership& aMembership,
               std::vector<const MemberRow*> aRows,
               Random& aRandom)
{
  std::shuffle(aRows.begin(), aRows.end(), aRandom);
  aRows.resize(std::min(aRows.size(), Delivery::kMaxTargets));
  Delivery delivery;
  for (const MemberRow* each : aRows) {
    delivery.m_targets.push_back(
      { each->m_record.m_slot, aMembership.PeerOf(each->m_record) });
  }
  return delivery;
}

std::vector<const MemberRow*>
SuccessorsInDomain(const Membership& aMembership)
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
      const MemberRecord& record = aRow.m_record;
      if (record.m_domain == self.m_domain && IsPresent(record.m_state)) {
        successors.push_back({ aRow.m_rankKey - ownKey, &aRow });
      }
    });
  const std::size_t count = std::min(successors.size(), Delivery::kMaxTargets);
  std::partial_sort(successors.begin(),
                    successors.begin() + static_cast<std::ptrdiff_t>(count),
                    successors.end(),
                    [](const Successor& aLeft, const Successor& aRight) {
                      return aLeft.m_distance < aRight.m_distance;
                    });
  std::vector<const MemberRow*> rows;
  for (std::size_t i = 0; i < count; ++i) {
    rows.push_back(successors[i].m_row);
  }
  return rows;
}

}
