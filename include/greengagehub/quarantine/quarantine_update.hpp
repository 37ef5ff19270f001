#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/quarantine/fingerprint.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

// Messages between daemons about requests that crash backend servers. Times are
// sent as ages, because clocks of different machines are never compared.

/// \brief A request that was running when a backend server crashed.
struct Witness
{
  Fingerprint m_fingerprint{};
  /// How long the request had been running.
  Duration m_ran{};
  /// Time from the last success of this request on the same backend server to
  /// the crash; unset if no success is known.
  std::optional<Duration> m_lastSuccess{};
};

/// \brief A crash of a backend server, as reported by its daemon.
struct CrashReport
{
  /// Unique across the fleet.
  std::uint64_t m_id{ 0 };
  std::string m_slot{};
  std::string m_service{};
  Duration m_age{};
  /// The interrupted runs.
  std::vector<Witness> m_ran{};
};

enum class VerdictCause : std::uint8_t
{
  Crashes,
  Succeeded,
  Operator,
  /// The quarantine time is over.
  Expired,
};

/// \returns "ends", "ran-well", "operator" or "time".
[[nodiscard]] std::string_view
NameOf(VerdictCause aCause) noexcept;

/// \brief Quarantines a request or lifts its quarantine.
///
/// The verdict with the higher generation takes precedence; within a
/// generation, the one that lifts. Generation 0 only reports a successful run
/// and changes no quarantine.
struct QuarantineVerdict
{
  Fingerprint m_fingerprint{};
  /// Service of the last backend server that crashed.
  std::string m_service{};
  std::uint32_t m_generation{ 0 };
  bool m_isQuarantined{ false };
  VerdictCause m_cause{ VerdictCause::Crashes };
  /// Crashes that count against the request.
  std::uint32_t m_crashCount{ 0 };
  Duration m_age{};
};

/// \brief Crash reports and verdicts exchanged between daemons.
struct QuarantineUpdate
{
  std::vector<CrashReport> m_crashes{};
  std::vector<QuarantineVerdict> m_verdicts{};

  [[nodiscard]] bool IsEmpty() const noexcept
  {
    return m_crashes.empty() && m_verdicts.empty();
  }
};

/// \returns Parts that each fit into a datagram together with the sender. A
/// crash with many runs is split.
[[nodiscard]] std::vector<QuarantineUpdate>
SplitIntoDatagrams(const QuarantineUpdate& aUpdate);

}
