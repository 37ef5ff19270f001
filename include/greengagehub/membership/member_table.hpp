#pragma once

#include "greengagehub/core/table.hpp"
#include "greengagehub/membership/member.hpp"

#include <array>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagehub {

/// \brief Local view of one member.
struct MemberRow
{
  MemberRecord m_record;
  /// RankKey() of the slot.
  std::uint64_t m_rankKey{ 0 };
  /// Highest version observed at its slot, across restarts.
  Version m_minimumVersion{};
  /// Highest version observed at its current process.
  Version m_version{};
  /// Worker of the latest process before the current one that knew its worker;
  /// without an ID tag: none.
  WorkerDescription m_previousWorker{};
  /// A suspect is declared dead at this time.
  TimePoint m_suspectUntil{};
  TimePoint m_lostSince{};
  /// Times that the record was sent since its last change: within the own
  /// failure domain, and to other domains.
  std::array<std::uint16_t, 2> m_transmits{};
  /// Whether the record is queued, in the same order.
  std::array<bool, 2> m_pending{};
  /// Whether the daemon watches the store.
  bool m_watching{ false };
};

struct MemberEvent
{
  enum class Kind : std::uint8_t
  {
    Joined,
    Changed,
    Gone,
  };
  Kind m_kind{ Kind::Changed };
  MemberRecord m_record;
};

/// \brief Digests of the present members, in buckets by hash of the slot.
/// Daemons exchange only buckets that differ.
struct MemberDigests
{
  static constexpr std::size_t kBuckets = 256;

  std::array<std::uint64_t, kBuckets> m_sums{};

  [[nodiscard]] bool operator==(const MemberDigests&) const noexcept = default;

  /// The result doesn't depend on the order of calls.
  void Add(const MemberRecord& aRecord);
  void Remove(const MemberRecord& aRecord);
  /// \returns A digest over all buckets.
  [[nodiscard]] std::uint64_t Summary() const noexcept;
  /// \param aRankKey RankKey() of the member's slot.
  [[nodiscard]] static std::size_t BucketOf(std::uint64_t aRankKey) noexcept;
};

/// \brief All known members except this one, by slot.
class MemberTable
{
public:
  using Index = Table<MemberRow>::Index;

  [[nodiscard]] std::size_t Size() const noexcept { return m_rows.Size(); }
  [[nodiscard]] std::size_t Present() const noexcept { return m_present; }
  [[nodiscard]] const MemberDigests& Digests() const noexcept
  {
    return m_digests;
  }
  [[nodiscard]] std::optional<Index> Find(std::string_view aSlot) const;
  [[nodiscard]] MemberRow& At(Index aIndex) { return m_rows.At(aIndex); }
  [[nodiscard]] const MemberRow& At(Index aIndex) const
  {
    return m_rows.At(aIndex);
  }
  [[nodiscard]] bool Contains(Index aIndex) const
  {
    return m_rows.Contains(aIndex);
  }
  [[nodiscard]] Index Capacity() const { return m_rows.Capacity(); }
  [[nodiscard]] const Table<MemberRow>& Rows() const { return m_rows; }

  Index Insert(MemberRecord aRecord);
  void SetState(Index aIndex, MemberState aState);
  void Replace(Index aIndex, MemberRecord aRecord);
  void Erase(Index aIndex);

private:
  struct Hash
  {
    using is_transparent = void; // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view aText) const noexcept
    {
      return std::hash<std::string_view>{}(aText);
    }
  };

  void AddToTotals(const MemberRecord& aRecord);
  void RemoveFromTotals(const MemberRecord& aRecord);

  Table<MemberRow> m_rows;
  std::unordered_map<std::string, Index, Hash, std::equal_to<>> m_bySlot;
  MemberDigests m_digests;
  std::size_t m_present{ 0 };
};

/// \returns The hash of a slot that members are ranked by.
[[nodiscard]] std::uint64_t
RankKey(std::string_view aSlot);

[[nodiscard]] bool
Overrides(const MemberRecord& aOffered, const MemberRecord& aKnown) noexcept;

}
