#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store_message.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagehub {

/// Store key whose value names the quota coordinator.
inline constexpr std::string_view kCoordinatorKey = "workspaces/coordinator";

/// \brief Elects the daemon that grants quota tokens: at most one at a time.
///
/// The daemon that last wrote kCoordinatorKey is the coordinator. A check that
/// the key is unchanged renews its lease, counted from the sending of the
/// check. A successor overwrites the key, which fails the predecessor's checks,
/// and waits for kLeaseDuration before it grants tokens.
///
/// The clock must advance during suspension. Clocks of different daemons are
/// never compared.
class CoordinatorRole
{
public:
  CoordinatorRole(std::string aSlot,
                  std::uint64_t aProcess,
                  TimePoint aStarted,
                  std::uint64_t aSeed);

  /// Store operation to perform next.
  enum class Step : std::uint8_t
  {
    None,
    Read,
    /// Write KeyValue() if the key is at revision ExpectedRevision().
    Claim,
    /// Check that the key is at revision ExpectedRevision().
    Confirm,
    /// Write an empty value if the key is at revision ExpectedRevision(); a
    /// successor then need not wait.
    Release,
  };

  /// \param aIsCandidate this daemon may become the coordinator.
  /// \param aIsSilent no coordinator has answered recently.
  [[nodiscard]] Step OnTick(TimePoint aNow, bool aIsCandidate, bool aIsSilent);
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
  /// \returns The slot and the process id.
  [[nodiscard]] std::string KeyValue() const;
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

private:
  void LoseKey(TimePoint aNow);
  /// \returns Whether a process in this slot wrote the value.
  [[nodiscard]] bool IsFromOwnSlot(std::string_view aValue) const;
  /// \returns Until when the writer of the replaced value may grant tokens.
  [[nodiscard]] TimePoint PredecessorLeaseEnd(TimePoint aNow) const;

  std::string m_slot;
  std::uint64_t m_process;
  TimePoint m_started;
  Random m_random;
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
  std::string m_predecessorValue{};
};

}
