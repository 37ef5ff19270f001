#pragma once

#include "greengagehub/core/table.hpp"
#include "greengagehub/membership/member.hpp"

#include <array>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace greengagehub {

/// \brief One member as this daemon knows it.
struct MemberRow
{
  MemberRecord m_record;
  /// Hash of the slot, by which members of a domain are ranked.
  std::uint64_t m_rankKey{ 0 };
  /// Highest version its slot was ever seen to run, over its restarts.
  Version m_floor{};
  /// Version that its present process was last seen to run.
  Version m_version{};
  /// When a suspicion becomes a death.
  TimePoint m_suspectUntil{};
  /// Since when it is dead or has left.
  TimePoint m_goneSince{};
  /// How often its record was passed on since it last changed, within the
  /// failure domain and beyond it, and whether it still is.
  std::array<std::uint16_t, 2> m_transmits{};
  std::array<bool, 2> m_pending{};
  bool m_watching{ false };
};

/// \brief Something that others act on: routing, dissemination, logs.
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

/// \brief Digests of the members present, in buckets by slot. Two daemons that
/// compare them need to exchange only the buckets that differ.
struct MemberDigests
{
  static constexpr std::size_t kBuckets = 256;

  std::array<std::uint64_t, kBuckets> m_sums{};

  [[nodiscard]] bool operator==(const MemberDigests&) const noexcept = default;

  /// \brief Adds a member; order does not matter.
  void Add(const MemberRecord& aRecord);
  void Remove(const MemberRecord& aRecord);
  /// \returns One value over all buckets, small enough for every probe.
  [[nodiscard]] std::uint64_t Summary() const noexcept;
  /// \param aRankKey RankKey() of the member's slot.
  [[nodiscard]] static std::size_t BucketOf(std::uint64_t aRankKey) noexcept;
};

/// \brief All known members but oneself, by slot.
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
  [[nodiscard]] bool Has(Index aIndex) const { return m_rows.Has(aIndex); }
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

  void CountIn(const MemberRecord& aRecord);
  void CountOut(const MemberRecord& aRecord);

  Table<MemberRow> m_rows;
  std::unordered_map<std::string, Index, Hash, std::equal_to<>> m_bySlot;
  MemberDigests m_digests;
  std::size_t m_present{ 0 };
};

/// \returns The hash of a slot that members are ranked by.
[[nodiscard]] std::uint64_t
RankKey(std::string_view aSlot);

/// \returns Whether what is offered overrides what is known.
[[nodiscard]] bool
Overrides(const MemberRecord& aOffered, const MemberRecord& aKnown) noexcept;

}
