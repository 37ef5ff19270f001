#include "greengagehub/membership/membership.hpp"

#include <algorithm>
#include <map>

// Queries of Membership: samples, ranks, digests, records.

namespace greengagehub {

namespace {

/// Orders by link rate, so that relays have the fastest links, then by hash.
bool
RanksBefore(const MemberRow& aRow,
            const MemberRecord& aSelf,
            std::uint64_t aSelfKey)
{
  const std::uint32_t theirs = aRow.m_record.m_linkMbps;
  return theirs != aSelf.m_linkMbps ? theirs > aSelf.m_linkMbps
                                    : aRow.m_rankKey < aSelfKey;
}

}

std::vector<MemberPeer>
Membership::SampleOwnDomain(std::size_t aCount)
{
  std::vector<MemberPeer> peers;
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    const MemberRecord& record = aRow.m_record;
    if (IsPresent(record.m_state) && record.m_domain == m_self.m_domain) {
      peers.push_back(PeerOf(record));
    }
  });
  std::shuffle(peers.begin(), peers.end(), m_random);
  peers.resize(std::min(peers.size(), aCount));
  return peers;
}

std::vector<MemberPeer>
Membership::Sample(std::size_t aCount)
{
  std::vector<MemberPeer> sampled;
  const auto capacity = m_members.Capacity();
  const std::size_t wanted = std::min(aCount, m_members.Present());
  std::vector<MemberTable::Index> drawnIndices;
  // Most rows are present members, so few draws fail.
  std::size_t draws = 16 * (wanted + 1);
  while (drawnIndices.size() < wanted && draws-- > 0) {
    const auto index =
      static_cast<MemberTable::Index>(Below(m_random, capacity));
    const bool usable =
      m_members.Contains(index) &&
      IsPresent(m_members.At(index).m_record.m_state) &&
      std::find(drawnIndices.begin(), drawnIndices.end(), index) ==
        drawnIndices.end();
    if (usable) {
      drawnIndices.push_back(index);
      sampled.push_back(PeerOf(m_members.At(index).m_record));
    }
  }
  return sampled;
}

std::vector<MemberPeer>
Membership::SampleOwnDomainFirst(std::size_t aCount)
{
  std::vector<MemberPeer> sampled = SampleOwnDomain(aCount);
  if (sampled.size() < aCount) {
    const auto more = Sample(aCount - sampled.size());
    sampled.insert(sampled.end(), more.begin(), more.end());
  }
  return sampled;
}

std::vector<MemberPeer>
Membership::SampleOtherDomains()
{
  struct Drawn
  {
    const MemberRecord* m_record{ nullptr };
    std::size_t m_seen{ 0 };
  };
  std::map<std::string_view, Drawn> drawn;
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    const MemberRecord& record = aRow.m_record;
    if (!IsPresent(record.m_state) ||
        ScopeOf(record) == DomainScope::OwnDomain) {
      return;
    }
    Drawn& domain = drawn[record.m_domain];
    if (Below(m_random, ++domain.m_seen) == 0) {
      domain.m_record = &record;
    }
  });
  std::vector<MemberPeer> sampled;
  sampled.reserve(drawn.size());
  for (const auto& [domain, each] : drawn) {
    sampled.push_back(PeerOf(*each.m_record));
  }
  return sampled;
}

std::set<std::string, std::less<>>
Membership::DomainsPresent() const
{
  std::set<std::string, std::less<>> domains{ m_self.m_domain };
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    if (IsPresent(aRow.m_record.m_state)) {
      domains.insert(aRow.m_record.m_domain);
    }
  });
  return domains;
}

std::size_t
Membership::RankInDomain() const
{
  const std::uint64_t own = RankKey(m_self.m_slot);
  std::size_t rank = 0;
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    const MemberRecord& record = aRow.m_record;
    const bool isCandidate = record.m_state == MemberState::Alive &&
                             record.m_domain == m_self.m_domain;
    if (isCandidate && RanksBefore(aRow, m_self, own)) {
      ++rank;
    }
  });
  return rank;
}

ReaderPosition
Membership::PositionAmongReaders() const
{
  std::map<std::string_view, std::size_t> liveMembers{ { m_self.m_domain, 1 } };
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    if (aRow.m_record.m_state == MemberState::Alive) {
      ++liveMembers[aRow.m_record.m_domain];
    }
  });
  const std::size_t rank = std::min(RankInDomain(), kRelaysPerDomain - 1);
  // By rank, then by domain, so that neighbors are in different domains.
  ReaderPosition position{ .m_index = 0, .m_count = 0 };
  for (const auto& [domain, live] : liveMembers) {
    position.m_count += std::min(live, kRelaysPerDomain);
    position.m_index += std::min(live, rank);
    position.m_index += domain < m_self.m_domain && live > rank ? 1 : 0;
  }
  return position;
}

bool
Membership::IsHighestRanked() const
{
  const std::uint64_t own = RankKey(m_self.m_slot);
  bool isFirst = true;
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    const bool isCandidate = aRow.m_record.m_state == MemberState::Alive;
    isFirst = isFirst && !(isCandidate && RanksBefore(aRow, m_self, own));
  });
  return isFirst;
}

std::size_t
Membership::RankForShard(std::uint32_t aShard) const
{
  // An odd multiplier for each shard permutes the keys, so that none collide.
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15;
  const auto keyOf = [&](std::uint64_t aRankKey) {
    const std::uint64_t key = (aRankKey ^ (aShard * kMultiplier)) * kMultiplier;
    return (key ^ (key >> 32U)) * kMultiplier;
  };
  const std::uint64_t own = keyOf(RankKey(m_self.m_slot));
  std::size_t rank = 0;
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    const bool isCandidate = aRow.m_record.m_state == MemberState::Alive;
    rank += isCandidate && keyOf(aRow.m_rankKey) < own ? 1 : 0;
  });
  return rank;
}

std::optional<MemberPeer>
Membership::HighestRanked() const
{
  const MemberRow* first = nullptr;
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    const bool isCandidate = aRow.m_record.m_state == MemberState::Alive;
    const bool goesBefore =
      first == nullptr || RanksBefore(aRow, first->m_record, first->m_rankKey);
    if (isCandidate && goesBefore) {
      first = &aRow;
    }
  });
  const bool isSelf =
    first == nullptr || !RanksBefore(*first, m_self, RankKey(m_self.m_slot));
  return isSelf ? std::nullopt : std::optional{ PeerOf(first->m_record) };
}

MemberPeer
Membership::PeerOf(const MemberRecord& aRecord) const
{
  return { aRecord.m_address, aRecord.m_domain != m_self.m_domain };
}

Version
Membership::MinimumVersionOf(std::string_view aSlot) const
{
  const auto index = m_members.Find(aSlot);
  return index ? m_members.At(*index).m_minimumVersion : Version{};
}

WorkerDescription
Membership::PreviousWorkerOf(const MemberRecord& aRecord) const
{
  const auto index = m_members.Find(aRecord.m_slot);
  if (!index) {
    return {};
  }
  const MemberRow& row = m_members.At(*index);
  const bool isSameProcess =
    ProcessOf(row.m_record.m_incarnation) == ProcessOf(aRecord.m_incarnation);
  return isSameProcess ? row.m_previousWorker : WorkerOf(row.m_record);
}

MemberDigests
Membership::Digests() const
{
  MemberDigests digests = m_members.Digests();
  digests.Add(m_self);
  return digests;
}

std::vector<MemberRecord>
Membership::DifferingRecords(const MemberDigests& aTheirs)
{
  const MemberDigests own = Digests();
  std::array<std::vector<const MemberRecord*>, MemberDigests::kBuckets> buckets;
  std::size_t nonEmptyBuckets = 0;
  const auto collect = [&](const MemberRecord& aRecord,
                           std::uint64_t aRankKey) {
    const std::size_t bucket = MemberDigests::BucketOf(aRankKey);
    if (own.m_sums[bucket] != aTheirs.m_sums[bucket]) {
      buckets[bucket].push_back(&aRecord);
    }
  };
  collect(m_self, RankKey(m_self.m_slot));
  m_members.Rows().Each([&](MemberTable::Index, const MemberRow& aRow) {
    collect(aRow.m_record, aRow.m_rankKey);
  });
  for (const std::uint64_t each : aTheirs.m_sums) {
    nonEmptyBuckets += each != 0 ? 1 : 0;
  }
  // A joining daemon knows only itself and a few seeds.
  const bool isJoining = nonEmptyBuckets <= MemberDigests::kBuckets / 8;
  std::vector<MemberRecord> records;
  const std::size_t first = Below(m_random, buckets.size());
  for (std::size_t i = 0; i < buckets.size(); ++i) {
    if (!isJoining && records.size() >= kMaxSyncRecords) {
      break;
    }
    for (const MemberRecord* each : buckets[(first + i) % buckets.size()]) {
      records.push_back(*each);
    }
  }
  return records;
}

}
