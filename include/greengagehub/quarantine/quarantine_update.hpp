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
  Fingerprint m_content{};
  /// How long the request had been running.
  Duration m_ran{};
  /// Expired from the last success of this request on the same backend server
  /// to the crash; unset if none is known.
  std::optional<Duration> m_lastSuccess{};
};

/// \brief A crash of one backend server, reported by its daemon.
struct EndReport
{
  /// Unique across the fleet.
  std::uint64_t m_id{ 0 };
  /// Slot of the reporting daemon.
  std::string m_slot{};
  std::string m_service{};
  Duration m_age{};
  std::vector<Witness> m_ran{};
};

/// \brief Why a verdict was given.
enum class VerdictCause : std::uint8_t
{
  /// Too many crashes.
  Crashes,
  /// A successful run.
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
  Fingerprint m_content{};
  /// Service of the last backend server that crashed.
  std::string m_service{};
  std::uint32_t m_generation{ 0 };
  bool m_isQuarantined{ false };
  VerdictCause m_cause{ VerdictCause::Crashes };
  /// Number of crashes that count against the request.
  std::uint32_t m_ends{ 0 };
  Duration m_age{};
};

struct QuarantineUpdate
{
  std::vector<EndReport> m_ends{};
  std::vector<QuarantineVerdict> m_verdicts{};

  [[nodiscard]] bool IsEmpty() const noexcept
  {
    return m_ends.empty() && m_verdicts.empty();
  }
};

/// \returns The update in parts that each fit into a datagram of 1,400 bytes
/// together with the sender. A crash with many runs is split over several
/// parts.
[[nodiscard]] std::vector<QuarantineUpdate>
SplitIntoDatagrams(const QuarantineUpdate& aNews);

}
