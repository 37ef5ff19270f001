#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"
#include "greengagehub/workspaces/shard_condition.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagehub {

/// Store key whose value names the coordinator of quota shard 0.
inline constexpr std::string_view kCoordinatorKey = "workspaces/coordinator";

/// \returns Store key whose value names the coordinator of a shard.
[[nodiscard]] std::string
CoordinatorKey(std::uint32_t aShard);

/// \brief Elects the daemon that grants the tokens of a quota shard: at most
/// one at a time.
///
/// The daemon that last wrote the shard's key is its coordinator. A check that
/// the key is unchanged renews its lease, counted from the sending of the
/// check. A successor overwrites the key, which fails the predecessor's checks,
/// and waits for kLeaseDuration before it grants tokens.
///
/// The key of shard 0 also states the number of shards (ShardStatement). The
/// other shards lead only while ShardCondition is met as well, and their checks
/// cover both keys.
///
/// The clock must advance during suspension. Clocks of different daemons are
/// never compared.
class CoordinatorRole
{
public:
  CoordinatorRole(std::string aSlot,
                  std::uint64_t aProcess,
                  std::uint64_t aSeed,
                  QuotaShard aShard = {});

  /// Store operation to perform next.
  enum class Step : std::uint8_t
  {
    None,
    Read,
    /// Write KeyValue() if the key is at revision ExpectedRevision().
    Claim,
    /// Check that the key is at revision ExpectedRevision().
    Confirm,
    /// Write ReleaseValue() if the key is at revision ExpectedRevision(); a
    /// successor then need not wait.
    Release,
  };

  /// \param aIsCandidate this daemon may become the coordinator.
  /// \param aIsSilent no coordinator has answered recently.
  [[nodiscard]] Step OnTick(TimePoint aNow, bool aIsCandidate, bool aIsSilent);
  /// \brief Lets another shard's check confirm this role as well.
  /// \returns Whether it does; OnConfirmed() or OnStoreCallFailed() follows.
  [[nodiscard]] bool JoinConfirm(TimePoint aNow);
  void OnRead(TimePoint aNow, const StoreReply& aReply);
  void OnClaimed(TimePoint aNow, TimePoint aSent, const StoreReply& aReply);
  /// \param aIsOurs whether the key was at revision ExpectedRevision().
  void OnConfirmed(TimePoint aNow, TimePoint aSent, bool aIsOurs);
  /// \brief Records the term of a coordinator that sent a report. A term is the
  /// revision of the key that the coordinator wrote.
  void OnTermReported(Revision aTerm) noexcept
  {
    m_newestTerm = std::max(m_newestTerm, aTerm);
  }
  void OnStoreCallFailed(TimePoint aNow);
  /// \brief Stops leading after kMaxFailures failed confirmations in a row.
  /// \returns Whether this daemon stopped; the ended term is
  /// ExpectedRevision().
  [[nodiscard]] bool StandDownIfFailing(TimePoint aNow);
  /// \brief The coordinator of a term has stopped granting tokens.
  void OnTermEnded(Revision aTerm) noexcept
  {
    m_endedTerm = std::max(m_endedTerm, aTerm);
  }
  /// \brief The store was restored from an older copy; acknowledged writes may
  /// be lost and revisions may repeat.
  void OnStoreRestored(TimePoint aNow);
  /// \brief Stops granting tokens permanently.
  /// \returns Step::Release if the key is to be released.
  [[nodiscard]] Step Resign() noexcept;
  /// \brief Stops granting tokens, and claims nothing for kAbstainTime.
  /// \returns Step::Release if the key is to be released.
  [[nodiscard]] Step Abstain(TimePoint aNow) noexcept;
  /// \brief The check was answered, but proved nothing about this role.
  void OnUndecided(TimePoint aNow) noexcept;

  [[nodiscard]] bool IsLeading(TimePoint aNow) const noexcept;
  /// \returns Whether the predecessor's lease delays this coordinator.
  [[nodiscard]] bool IsAwaitingPredecessor(TimePoint aNow) const noexcept
  {
    return m_holdsKey && aNow < m_predecessorLeaseEnd;
  }
  /// \returns Whether the last claim or confirmation succeeded.
  [[nodiscard]] bool HoldsKey() const noexcept { return m_holdsKey; }
  [[nodiscard]] Revision ExpectedRevision() const noexcept
  {
    return m_revision;
  }
  /// \returns The slot and the process id, for shard 0 with the statement of
  /// the number of shards.
  [[nodiscard]] std::string KeyValue() const;
  /// \returns An empty value, for shard 0 with the statement.
  [[nodiscard]] std::string ReleaseValue() const;
  [[nodiscard]] QuotaShard Shard() const noexcept { return m_shard; }
  /// \returns true once for each time that this daemon starts to lead.
  [[nodiscard]] bool TakeStarted(TimePoint aNow) noexcept;

  static constexpr std::chrono::milliseconds kConfirmInterval{ 400 };
  static constexpr std::chrono::milliseconds kLeaseDuration{ 1000 };
  /// Time for a coordinator found in the key to send a first report.
  static constexpr std::chrono::milliseconds kAnnounceGrace{ 600 };
  /// Maximum delay after a failed store call.
  static constexpr std::chrono::milliseconds kRetryDelay{ 300 };
  static constexpr std::uint32_t kMaxFailures = 2;
  /// Maximum delay before the next claim after losing or failing one.
  static constexpr std::chrono::milliseconds kReclaimDelay{ 3000 };
  static constexpr std::chrono::milliseconds kAbstainTime{ 10'000 };

private:
  void LoseKey(TimePoint aNow);
  [[nodiscard]] std::string Holder() const;
  /// \returns Whether a process in this slot wrote the predecessor's value.
  [[nodiscard]] bool IsFromOwnSlot() const;
  /// \returns Until when tokens of the predecessor, or of shards that its
  /// statement allowed, may be granted.
  [[nodiscard]] TimePoint PredecessorLeaseEnd(TimePoint aNow) const;

  std::string m_slot;
  std::uint64_t m_process;
  Random m_random;
  QuotaShard m_shard;
  Revision m_revision{ 0 };
  /// Revision of the key that the last claim replaced.
  Revision m_predecessorRevision{ 0 };
  /// Highest term that was reported or read from the key.
  Revision m_newestTerm{ 0 };
  /// Highest term whose coordinator has reported that it stopped.
  Revision m_endedTerm{ 0 };
  std::uint32_t m_consecutiveFailures{ 0 };
  bool m_canClaim{ false };
  bool m_holdsKey{ false };
  bool m_isCallPending{ false };
  bool m_hasResigned{ false };
  bool m_hasReportedStart{ false };
  /// Time until which the predecessor may grant tokens.
  TimePoint m_predecessorLeaseEnd{};
  /// When the last successful claim or confirmation was sent.
  TimePoint m_leaseStart{};
  TimePoint m_nextStepAt{};
  ShardStatement m_predecessor{};
  /// ShardStatement::m_since of this daemon's claim.
  std::string m_since{};
};

}
