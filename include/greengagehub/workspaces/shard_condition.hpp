#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/store_message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief What the key of shard 0 states: into how many shards the tokens are
/// divided, and who coordinates shard 0.
///
/// With one shard the text is the holder alone, as daemons that know one
/// coordinator write it. With several, it begins with another word than a slot,
/// so that such a daemon never takes it for a value of its own slot, whose end
/// it would not wait for.
struct ShardStatement
{
  std::uint32_t m_shards{ 1 };
  /// Identifies an unbroken sequence of holders that stated m_shards.
  std::string m_since{};
  /// Slot and process; empty: released.
  std::string m_holder{};

  [[nodiscard]] bool operator==(const ShardStatement&) const = default;
};

[[nodiscard]] std::string
Format(const ShardStatement& aStatement);
[[nodiscard]] ShardStatement
ParseShardStatement(std::string_view aValue);

/// \brief The condition under which shards above 0 grant tokens: the key of
/// shard 0 states the same number of shards, and has done so for a lease.
///
/// A holder that stated another number, such as a daemon that knows one
/// coordinator, may grant its part until its lease has ended. A holder that
/// follows one with the same number continues its sequence, which shows that
/// there was no other in between.
class ShardCondition
{
public:
  explicit ShardCondition(std::uint32_t aShards) noexcept
    : m_shards(aShards)
  {
  }

  /// \brief Records the key of shard 0 as read, or as it was in a failed check.
  void OnRead(TimePoint aNow, const StoreReply& aReply);
  void OnStoreRestored() noexcept { m_revision.reset(); }

  /// \returns Whether the key was last seen to state the number of shards.
  [[nodiscard]] bool IsStated() const noexcept
  {
    return m_revision.has_value();
  }
  [[nodiscard]] bool IsMet(TimePoint aNow) const noexcept;
  /// \returns A number for each sequence of holders that was seen.
  [[nodiscard]] std::uint64_t Sequence() const noexcept { return m_sequence; }
  /// \returns Revision to be confirmed; 0 if not IsStated().
  [[nodiscard]] Revision ExpectedRevision() const noexcept
  {
    return m_revision.value_or(0);
  }

private:
  std::uint32_t m_shards;
  std::optional<Revision> m_revision;
  std::string m_since;
  std::uint64_t m_sequence{ 0 };
  TimePoint m_seenAt{};
};

}
