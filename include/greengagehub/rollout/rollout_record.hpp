#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief An operator wants a service's calls to move to another version of its
/// software, whose workers run beside those of the version in service.
struct RolloutOrder
{
  std::string m_service{};
  /// The version to be tried.
  std::string m_target{};
  /// Within which it is to be completed or rolled back.
  std::chrono::milliseconds m_duration{ 0 };
};

/// \brief How far a roll-out has come. A later state in this list overrides an
/// earlier one; what the store has accepted is never changed.
enum class RolloutState : std::uint8_t
{
  /// Tried on a share of the calls.
  Running,
  /// Judged good: calls go to the new version only, and the store is to say so.
  Completing,
  RolledBack,
  Completed,
};

/// \returns "running", "completing", "rolled_back" or "completed".
[[nodiscard]] std::string_view
NameOf(RolloutState aState) noexcept;

/// \returns Whether nothing comes after it.
[[nodiscard]] constexpr bool
IsFinal(RolloutState aState) noexcept
{
  return aState >= RolloutState::RolledBack;
}

/// \brief Why a version was rolled back.
enum class RollbackCause : std::uint8_t
{
  None,
  /// More of its runs failed than of the version in service.
  Failures,
  /// More of its runs were lost or spoilt.
  LostAnswers,
  /// More of its runs were slow.
  Slowness,
  /// Too few runs to judge it by, before time was up.
  TooFewRuns,
  /// Nobody remembers how far it had come.
  Forgotten,
  Operator,
  /// Another order took its place.
  Replaced,
};

/// \returns "failures", "too-few-runs" and the like.
[[nodiscard]] std::string_view
NameOf(RollbackCause aCause) noexcept;

/// \brief Leave to send calls to the version that is tried. It is lent: a
/// daemon that hears nothing of it any more stops by itself.
struct TrialLeave
{
  /// Share of the service's calls, in thousandths.
  std::uint32_t m_permille{ 0 };
  /// How many of the new workers are used, the same ones by all daemons; 0:
  /// all. A small share on few workers puts them under the load of the others.
  std::uint32_t m_workers{ 0 };
  /// In an order that all daemons share, the first one used; beyond the last
  /// one it goes on with the first.
  std::uint32_t m_first{ 0 };
  /// For how long from now on.
  Duration m_left{};
};

/// \brief What a verdict on a version rests on.
struct RolloutGrounds
{
  /// Runs of the version that counted, how many came to harm, and how many of
  /// as many would have in the version in service.
  std::uint32_t m_runs{ 0 };
  std::uint32_t m_harmed{ 0 };
  std::uint32_t m_expected{ 0 };
};

/// \brief One roll-out as daemons tell each other of it. Times travel as ages:
/// clocks of two machines are never compared.
struct RolloutRecord
{
  RolloutOrder m_order{};
  /// Counts a service's orders; of two the higher one holds.
  std::uint64_t m_generation{ 0 };
  /// Version in service when it was ordered; empty: not known.
  std::string m_base{};
  RolloutState m_state{ RolloutState::Running };
  /// The store has accepted the state, which is a final one.
  bool m_isWritten{ false };
  /// Known only from the store, as being under way; not told to others.
  bool m_isResumed{ false };
  RollbackCause m_cause{ RollbackCause::None };
  RolloutGrounds m_grounds{};
  /// Grows with each leave that its holder lends.
  std::uint64_t m_step{ 0 };
  TrialLeave m_leave{};
  /// Since the order was first seen.
  Duration m_age{};
};

}
