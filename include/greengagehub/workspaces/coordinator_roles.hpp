#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/workspaces/coordinator_role.hpp"
#include "greengagehub/workspaces/shard_condition.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief The roles of one daemon as coordinator of each quota shard.
///
/// One check of the store confirms all shards that the daemon holds.
class CoordinatorRoles
{
public:
  /// \param aShards number of shards, 1 to kMaxQuotaShards.
  CoordinatorRoles(const std::string& aSlot,
                   std::uint64_t aProcess,
                   std::uint64_t aSeed,
                   std::uint32_t aShards);

  /// A call to the store.
  struct Action
  {
    enum class Kind : std::uint8_t
    {
      /// Followed by OnRead().
      Read,
      /// Reads the key of shard 0; followed by OnConditionRead().
      ReadCondition,
      /// Followed by OnClaimed().
      Claim,
      /// The reply is not awaited.
      Release,
    };
    Kind m_kind{ Kind::Read };
    std::uint32_t m_shard{ 0 };
    StoreRequest m_request{};
  };
  /// \brief Keys to compare in one call without writes, followed by
  /// OnChecked().
  struct Check
  {
    TimePoint m_sentAt{};
    std::vector<ExpectedKey> m_keys{};
    std::vector<std::uint32_t> m_shards{};
    /// Whether the number of shards was compared as well.
    bool m_coversCondition{ false };
  };
  struct Candidacy
  {
    bool m_isCandidate{ false };
    /// The shard's coordinator does not answer.
    bool m_isSilent{ false };
  };

  /// \param aCandidacy by shard.
  [[nodiscard]] std::vector<Action> OnTick(
    TimePoint aNow,
    const std::vector<Candidacy>& aCandidacy);
  /// \returns The check that is due, if any; empty m_keys: none.
  [[nodiscard]] Check NextCheck(TimePoint aNow);
  void OnRead(TimePoint aNow, std::uint32_t aShard, const StoreReply& aReply);
  /// \returns Keys to release, if the number of shards is another one.
  [[nodiscard]] std::vector<Action> OnConditionRead(TimePoint aNow,
                                                    const StoreReply& aReply);
  void OnClaimed(TimePoint aNow,
                 TimePoint aSent,
                 std::uint32_t aShard,
                 const StoreReply& aReply);
  /// \param aReply of a check that failed: with the keys as they are now.
  /// \returns Shards whose key another daemon has taken.
  std::vector<std::uint32_t> OnChecked(TimePoint aNow,
                                       const Check& aCheck,
                                       const StoreReply& aReply);
  void OnStoreRestored(TimePoint aNow);
  /// \returns Keys to release.
  [[nodiscard]] std::vector<Action> Resign();
  /// \returns The key to release, if any.
  [[nodiscard]] std::vector<Action> Abstain(TimePoint aNow,
                                            std::uint32_t aShard);

  [[nodiscard]] bool IsLeading(TimePoint aNow, std::uint32_t aShard) const;
  /// \returns true once for each time that the shard's buckets are to start
  /// empty.
  [[nodiscard]] bool TakeStarted(TimePoint aNow, std::uint32_t aShard);
  [[nodiscard]] std::uint32_t Count() const noexcept
  {
    return static_cast<std::uint32_t>(m_roles.size());
  }
  [[nodiscard]] CoordinatorRole& Role(std::uint32_t aShard)
  {
    return m_roles.at(aShard);
  }
  [[nodiscard]] const CoordinatorRole& Role(std::uint32_t aShard) const
  {
    return m_roles.at(aShard);
  }

  /// Interval of reads of the number of shards.
  static constexpr std::chrono::milliseconds kConditionInterval{ 1000 };

private:
  [[nodiscard]] Action MakeAction(Action::Kind aKind,
                                  std::uint32_t aShard) const;
  /// \brief Reads the number of shards before a shard above 0 goes on.
  void RequireCondition(TimePoint aNow,
                        std::uint32_t aShard,
                        std::vector<Action>& aActions);
  void OnConflict(TimePoint aNow,
                  const Check& aCheck,
                  const StoreReply& aReply,
                  std::vector<std::uint32_t>& aDeposed);

  std::vector<CoordinatorRole> m_roles;
  ShardCondition m_condition;
  /// By shard: sequence of statements for which the shard has started.
  std::vector<std::uint64_t> m_startedSequences;
  TimePoint m_nextConditionRead{};
  bool m_isConditionPending{ false };
  bool m_isCheckDue{ false };
};

}
