#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief An operator's order to move a service's calls to another version.
struct RolloutOrder
{
  std::string m_service{};
  /// Version to move to.
  std::string m_target{};
  /// Time allowed until completion or rollback.
  std::chrono::milliseconds m_duration{ 0 };
};

/// \brief State of a roll-out. A later state in this list overrides an earlier
/// one; a state that the store has accepted never changes.
enum class RolloutState : std::uint8_t
{
  /// The canary receives a share of the calls.
  Running,
  /// All calls go to the new version; the store has not accepted the completion
  /// yet.
  Completing,
  RolledBack,
  Completed,
};

/// \returns "running", "completing", "rolled_back" or "completed".
[[nodiscard]] std::string_view
NameOf(RolloutState aState) noexcept;

[[nodiscard]] constexpr bool
IsFinal(RolloutState aState) noexcept
{
  return aState >= RolloutState::RolledBack;
}

enum class RollbackCause : std::uint8_t
{
  None,
  /// More failed runs than in the version in service.
  Failures,
  /// More lost or incomplete answers.
  LostAnswers,
  /// More slow runs.
  Slowness,
  /// No conclusive verdict before the deadline.
  TooFewRuns,
  /// No daemon knows the progress of the roll-out.
  StateLost,
  Operator,
  /// Superseded by another order.
  Replaced,
};

/// \returns The name used in records and logs, such as "too-few-runs".
[[nodiscard]] std::string_view
NameOf(RollbackCause aCause) noexcept;

/// \brief Permit to send calls to the canary; expires unless renewed.
struct CanaryPermit
{
  /// Canary share of the service's calls, in thousandths.
  std::uint32_t m_permille{ 0 };
  /// Number of new workers in use, the same ones on all daemons; 0 for all.
  std::uint32_t m_workers{ 0 };
  /// Index of the first worker in use, in an order that all daemons share;
  /// wraps around.
  std::uint32_t m_first{ 0 };
  /// Remaining time.
  Duration m_remainingTime{};
};

struct VerdictEvidence
{
  std::uint32_t m_runs{ 0 };
  std::uint32_t m_badRuns{ 0 };
  /// Bad runs expected at the rates of the version in service.
  std::uint32_t m_expected{ 0 };
};

/// \brief A roll-out as exchanged between daemons. Times are sent as ages,
/// because clocks of different machines are never compared.
struct RolloutRecord
{
  RolloutOrder m_order{};
  /// Number of the order within the service; the higher one takes precedence.
  std::uint64_t m_generation{ 0 };
  /// Version in service at the time of the order; empty if unknown.
  std::string m_base{};
  RolloutState m_state{ RolloutState::Running };
  /// Whether the store has accepted the final state.
  bool m_isWritten{ false };
  /// Whether the roll-out is known only from the store; such a record is not
  /// sent to other daemons.
  bool m_isFromStore{ false };
  RollbackCause m_cause{ RollbackCause::None };
  VerdictEvidence m_evidence{};
  /// Incremented with each permit that the leader grants.
  std::uint64_t m_step{ 0 };
  CanaryPermit m_permit{};
  /// Time since the order was first seen.
  Duration m_age{};
};

}
