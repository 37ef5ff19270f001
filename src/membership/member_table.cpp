#include "greengagehub/membership/member_table.hpp"

#include "greengagehub/core/digest.hpp"

#include <fmt/format.h>

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
  AddToTotals(aRecord);
  const std::string slot = aRecord.m_slot;
  MemberRow row;
  row.m_rankKey = RankKey(slot);
  row.m_record = std::move(aRecord);
  const Index index = m_rows.Insert(std::move(row));
  m_bySlot.emplace(slot, index);
  return index;
}

void
MemberTable::AddToTotals(const MemberRecord& aRecord)
{
  if (IsPresent(aRecord.m_state)) {
    ++m_present;
    m_digests.Add(aRecord);
  }
}

void
MemberTable::RemoveFromTotals(const MemberRecord& aRecord)
{
  if (IsPresent(aRecord.m_state)) {
    --m_present;
    m_digests.Remove(aRecord);
  }
}

void
MemberTable::SetState(Index aIndex, MemberState aState)
{
  MemberRecord& record = m_rows.At(aIndex).m_record;
  RemoveFromTotals(record);
  record.m_state = aState;
  AddToTotals(record);
}

void
MemberTable::Replace(Index aIndex, MemberRecord aRecord)
{
  MemberRow& row = m_rows.At(aIndex);
  RemoveFromTotals(row.m_record);
  AddToTotals(aRecord);
  if (ProcessOf(row.m_record.m_incarnation) !=
      ProcessOf(aRecord.m_incarnation)) {
    row.m_version = Version{};
    if (row.m_record.m_workerIdTag != 0) {
      row.m_previousWorker = WorkerOf(row.m_record);
    }
  }
  if (row.m_record.m_service != aRecord.m_service) {
    row.m_previousWorker = {};
  }
  row.m_record = std::move(aRecord);
}

void
MemberTable::Erase(Index aIndex)
{
  const MemberRecord& record = m_rows.At(aIndex).m_record;
  RemoveFromTotals(record);
  m_bySlot.erase(record.m_slot);
  m_rows.Erase(aIndex);
}

namespace {

/// Excludes the state, so that short suspicions don't trigger exchanges.
std::uint64_t
DigestElement(const MemberRecord& aRecord)
{
  return RankKey(fmt::format("{}/{}", aRecord.m_slot, aRecord.m_incarnation));
}

}

std::size_t
MemberDigests::BucketOf(std::uint64_t aRankKey) noexcept
{
  return aRankKey % kBuckets;
}

void
MemberDigests::Add(const MemberRecord& aRecord)
{
  m_sums[BucketOf(RankKey(aRecord.m_slot))] += DigestElement(aRecord);
}

void
MemberDigests::Remove(const MemberRecord& aRecord)
{
  m_sums[BucketOf(RankKey(aRecord.m_slot))] -= DigestElement(aRecord);
}

std::uint64_t
MemberDigests::Summary() const noexcept
{
  std::uint64_t summary = 0;
  for (const std::uint64_t each : m_sums) {
    summary += each;
  }
  return summary;
}

std::uint64_t
RankKey(std::string_view aSlot)
{
  const Digest digest = Sha256(aSlot);
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
