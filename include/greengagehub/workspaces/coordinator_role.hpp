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
/// The daemon that last wrote kCoordinatorKey is the coordinator. Every
/// kConfirmInterval it checks that the key is unchanged. Each successful check
/// renews its lease: it grants tokens for kLeaseDuration after the check was
/// sent. A successor overwrites the key, so that the predecessor's checks fail,
/// and waits for kLeaseDuration before it grants tokens.
///
/// All times are read from one clock that also advances while the process is
/// suspended. Clocks of different daemons are never compared.
class CoordinatorRole
{
public:
  /// \param aStarted when this process started.
  CoordinatorRole(std::string aSlot,
                  std::uint64_t aProcess,
                  TimePoint aStarted,
                  std::uint64_t aSeed);

  /// Store operation to perform next.
  enum class Step : std::uint8_t
  {
    None,
    /// Read kCoordinatorKey.
    Read,
    /// Write KeyValue() to the key if it is still at revision
    /// ExpectedRevision().
    Claim,
    /// Check that the key is at revision ExpectedRevision().
    Confirm,
    /// Write an empty value if the key is at revision ExpectedRevision(), so
    /// that a successor need not wait.
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
  /// \brief A store call failed or timed out.
  void OnFailed(TimePoint aNow);
  /// \brief Stops leading after kMaxFailures consecutive failed confirmations,
  /// for example because the store rejects this daemon.
  /// \returns Whether this daemon stood down; its ended term is
  /// ExpectedRevision().
  [[nodiscard]] bool StandDownIfFailing(TimePoint aNow);
  /// \brief Records that the coordinator of a term has stopped granting tokens.
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

  /// \returns Whether this daemon may grant tokens now.
  [[nodiscard]] bool IsLeading(TimePoint aNow) const noexcept;
  /// \returns Whether this daemon has claimed the key and waits for its
  /// predecessor's lease to expire.
  [[nodiscard]] bool IsAwaitingPredecessor(TimePoint aNow) const noexcept
  {
    return m_holdsKey && aNow < m_predecessorLeaseEnd;
  }
  /// \returns Whether this daemon holds the key, as far as it knows.
  [[nodiscard]] bool HoldsKey() const noexcept { return m_holdsKey; }
  /// \returns The last known revision of the key.
  [[nodiscard]] Revision ExpectedRevision() const noexcept
  {
    return m_revision;
  }
  /// \returns What this process writes to the key: its slot and process id.
  [[nodiscard]] std::string KeyValue() const;
  /// \returns true once for each time that this daemon starts to lead.
  [[nodiscard]] bool TakeStarted(TimePoint aNow) noexcept;

  static constexpr std::chrono::milliseconds kConfirmInterval{ 400 };
  static constexpr std::chrono::milliseconds kLeaseDuration{ 1000 };
  /// Time for a coordinator that was found in the key to send a first report,
  /// before the key is overwritten.
  static constexpr std::chrono::milliseconds kAnnounceGrace{ 600 };
  /// Maximum delay after a failed store call.
  static constexpr std::chrono::milliseconds kRetryDelay{ 300 };
  /// Consecutive failed confirmations after which this daemon stands down.
  static constexpr std::uint32_t kMaxFailures = 2;
  /// Maximum delay before a daemon that stood down, lost the key or failed to
  /// claim it tries again.
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
  /// The key has been read and may be overwritten.
  bool m_canClaim{ false };
  bool m_holdsKey{ false };
  bool m_isCallPending{ false };
  bool m_hasResigned{ false };
  bool m_hasReportedStart{ false };
  /// This daemon grants no tokens earlier: its predecessor may still do so.
  TimePoint m_predecessorLeaseEnd{};
  /// When the last successful claim or confirmation was sent.
  TimePoint m_leaseStart{};
  TimePoint m_nextStepAt{};
  /// Content of the key that a claim replaces.
  std::string m_predecessorValue{};
};

}
