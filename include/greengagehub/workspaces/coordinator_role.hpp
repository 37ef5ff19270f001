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

/// The key whose value names the coordinator of quotas.
inline constexpr std::string_view kCoordinatorKey = "workspaces/coordinator";

/// \brief Which daemon deals out quotas: at most one at any moment.
///
/// Whoever writes kCoordinatorKey is the coordinator. It confirms that the key
/// is still its own every kConfirmEvery, and deals only for kConfirmedFor after
/// the sending of the last confirmation that succeeded. A successor writes the
/// key, after which its predecessor is confirmed no more, and waits for
/// kConfirmedFor. Times are of one clock that goes on while the process is
/// suspended; the clocks of two daemons are never compared.
class CoordinatorRole
{
public:
  /// \param aStarted when this process began.
  CoordinatorRole(std::string aSlot,
                  std::uint64_t aProcess,
                  TimePoint aStarted,
                  std::uint64_t aSeed);

  /// What a step asks the store.
  enum class Step : std::uint8_t
  {
    None,
    /// Read kCoordinatorKey.
    Read,
    /// Write it over Expected().
    Claim,
    /// Check that it is at Expected().
    Confirm,
    /// Write an empty value over Expected(), so that a successor need not wait.
    Release,
  };

  /// \param aIsCandidate this daemon is to lead where nobody does.
  /// \param aIsSilent no coordinator has answered lately.
  [[nodiscard]] Step OnTick(TimePoint aNow, bool aIsCandidate, bool aIsSilent);
  void OnRead(TimePoint aNow, const StoreReply& aReply);
  void OnClaimed(TimePoint aNow, TimePoint aSent, const StoreReply& aReply);
  /// \param aIsOurs whether the key was at Expected().
  void OnConfirmed(TimePoint aNow, TimePoint aSent, bool aIsOurs);
  /// \brief A coordinator was heard under this revision of the key.
  void OnTerm(Revision aTerm) noexcept { m_term = std::max(m_term, aTerm); }
  /// \brief A call got no answer, or none of use.
  void OnFailed(TimePoint aNow);
  /// \brief Gives the place up once confirmations have failed kMaxFailures
  /// times in a row, as when the store turns this daemon away. \returns Whether
  /// it did; its term is Expected().
  [[nodiscard]] bool StandDownIfFailing(TimePoint aNow);
  /// \brief The coordinator of a term deals no more.
  void OnStoodDown(Revision aTerm) noexcept
  {
    m_endedTerm = std::max(m_endedTerm, aTerm);
  }
  /// \brief The store came back from an older copy; a write that it had
  /// acknowledged may be gone.
  void OnStoreRestored(TimePoint aNow);
  /// \brief Deals no more, from now on and for good.
  /// \returns Step::Release if the key is to be released.
  [[nodiscard]] Step Resign() noexcept;

  /// \returns Whether tokens may be dealt out now.
  [[nodiscard]] bool IsLeading(TimePoint aNow) const noexcept;
  /// \returns Whether it has claimed the place just now and waits for its
  /// predecessor's last confirmation to lapse.
  [[nodiscard]] bool IsSettling(TimePoint aNow) const noexcept
  {
    return m_holdsKey && aNow < m_waitUntil;
  }
  /// \returns Whether the key is this daemon's, as far as known.
  [[nodiscard]] bool HoldsKey() const noexcept { return m_holdsKey; }
  [[nodiscard]] Revision Expected() const noexcept { return m_revision; }
  [[nodiscard]] std::string Value() const;
  /// \returns Whether leading has begun since the last call.
  [[nodiscard]] bool TakeStarted(TimePoint aNow) noexcept;

  static constexpr std::chrono::milliseconds kConfirmEvery{ 400 };
  static constexpr std::chrono::milliseconds kConfirmedFor{ 1000 };
  /// A coordinator of which nothing was known when the key was read has so long
  /// to make itself heard.
  static constexpr std::chrono::milliseconds kGrace{ 600 };
  /// Between two tries while the store is away.
  static constexpr std::chrono::milliseconds kRetry{ 300 };
  static constexpr std::uint32_t kMaxFailures = 2;
  /// A daemon that has lost the key to another one leaves it there so long.
  static constexpr std::chrono::milliseconds kYield{ 3000 };

private:
  void Lose(TimePoint aNow);
  /// \returns Whether a process of this slot wrote the value.
  [[nodiscard]] bool IsOwn(std::string_view aValue) const;
  /// \returns Until when whoever wrote the value may still deal.
  [[nodiscard]] TimePoint EndOfPredecessor(TimePoint aNow) const;

  std::string m_slot;
  std::uint64_t m_process;
  TimePoint m_started;
  Random m_random;
  Revision m_revision{ 0 };
  /// Revision of the key that was written over.
  Revision m_claimedOver{ 0 };
  /// Of the last coordinator that was heard, or found in the key.
  Revision m_term{ 0 };
  /// Of a coordinator that has said that it deals no more.
  Revision m_endedTerm{ 0 };
  std::uint32_t m_failures{ 0 };
  /// The key was read and may be claimed.
  bool m_hasRead{ false };
  bool m_holdsKey{ false };
  bool m_isBusy{ false };
  bool m_hasResigned{ false };
  bool m_hasStarted{ false };
  /// No dealing before this: a predecessor may still deal.
  TimePoint m_waitUntil{};
  TimePoint m_confirmedAt{};
  TimePoint m_next{};
  /// The value that is written over.
  std::string m_predecessor{};
};

}
