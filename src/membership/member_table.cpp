#include "greengagehub/membership/member_table.hpp"

#include "greengagehub/core/digest.hpp"

namespace greengagehub {

std::optional<MemberTable::Index>
MemberTable::Find(std::string_view aSlot) const
{
  const auto found = m_bySlot.find(aSlot);
  if (found == m_bySlot.end()) {
    return std::nullopt;
  }
  return found->second;
}

MemberTable::Index
MemberTable::Insert(MemberRecord aRecord)
{
  const std::string slot = aRecord.m_slot;
  m_present += IsPresent(aRecord.m_state) ? 1 : 0;
  MemberRow row;
  row.m_rankKey = RankKey(slot);
  row.m_record = std::move(aRecord);
  const Index index = m_rows.Insert(std::move(row));
  m_bySlot.emplace(slot, index);
  return index;
}

void
MemberTable::Count(MemberState aBefore, MemberState aAfter)
{
  m_present += IsPresent(aAfter) ? 1 : 0;
  m_present -= IsPresent(aBefore) ? 1 : 0;
}

void
MemberTable::SetState(Index aIndex, MemberState aState)
{
  MemberRecord& record = m_rows.At(aIndex).m_record;
  Count(record.m_state, aState);
  record.m_state = aState;
}

void
MemberTable::Replace(Index aIndex, MemberRecord aRecord)
{
  MemberRow& row = m_rows.At(aIndex);
  Count(row.m_record.m_state, aRecord.m_state);
  if (ProcessOf(row.m_record.m_incarnation) !=
      ProcessOf(aRecord.m_incarnation)) {
    row.m_version = Version{};
  }
  row.m_record = std::move(aRecord);
}

void
MemberTable::Erase(Index aIndex)
{
  const MemberRecord& record = m_rows.At(aIndex).m_record;
  m_present -= IsPresent(record.m_state) ? 1 : 0;
  m_bySlot.erase(record.m_slot);
  m_rows.Erase(aIndex);
}

std::uint64_t
RankKey(std::string_view aSlot)
{
  const Digest digest = HashOf(aSlot);
  std::uint64_t key = 0;
  for (std::size_t i = 0; i < sizeof(key); ++i) {
    key = (key << 8U) | digest.m_bytes[i];
  }
  return key;
}

bool
Overrides(const MemberRecord& aOffered, const MemberRecord& aKnown) noexcept
{
  if (aOffered.m_incarnation != aKnown.m_incarnation) {
    return aOffered.m_incarnation > aKnown.m_incarnation;
  }
  return aOffered.m_state > aKnown.m_state;
}

}
