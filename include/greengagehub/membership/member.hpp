#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/version.hpp"

#include <cstdint>
#include <string>

namespace greengagehub {

/// \brief State of a member. At the same incarnation a later enumerator
/// overrides an earlier one.
enum class MemberState : std::uint8_t
{
  Alive,
  /// Draining, as announced by the member: finishes its calls, accepts no new
  /// ones.
  Leaving,
  Suspect,
  Dead,
  /// Shut down after announcing it.
  Left,
};

/// \brief Numeric IP address and ports of a daemon.
struct MemberAddress
{
  std::string m_host;
  std::uint16_t m_gossipPort{ 0 };
  std::uint16_t m_bulkPort{ 0 };
  std::uint16_t m_linkPort{ 0 };

  [[nodiscard]] bool operator==(const MemberAddress&) const = default;
};

/// \brief Destination of a message. Traffic between failure domains is
/// expensive.
struct MemberPeer
{
  MemberAddress m_address;
  bool m_crossesDomains{ false };

  [[nodiscard]] bool operator==(const MemberPeer&) const = default;
};

/// \brief Properties of the backend server that a daemon announces.
struct WorkerDescription
{
  /// Maximum number of concurrent calls.
  std::uint32_t m_slots{ 0 };
  /// Same as MemberRecord::m_workerIncarnation.
  std::uint32_t m_incarnation{ 0 };
  /// Version of the backend server's software; empty if unknown.
  std::string m_version{};
  bool m_isLeaving{ false };
  /// Same as MemberRecord::m_workerIdTag.
  std::uint32_t m_idTag{ 0 };

  [[nodiscard]] bool operator==(const WorkerDescription&) const = default;
};

/// \brief What a daemon publishes about itself; peers forward it.
struct MemberRecord
{
  /// Stable across restarts.
  std::string m_slot;
  /// Start time in milliseconds since the epoch, shifted left by 16 bits, plus
  /// one for each refutation; a restart overrides all earlier records.
  std::uint64_t m_incarnation{ 0 };
  MemberState m_state{ MemberState::Alive };
  std::string m_service;
  std::string m_domain;
  std::string m_region;
  MemberAddress m_address;
  /// Maximum number of concurrent calls of the worker.
  std::uint32_t m_slots{ 0 };
  /// 0 if unknown. Statistics of one incarnation don't apply to another.
  std::uint32_t m_workerIncarnation{ 0 };
  /// Short hash of the worker's instance ID; 0 if unknown.
  std::uint32_t m_workerIdTag{ 0 };
  /// Version of the backend server's software, empty if unknown.
  std::string m_workerVersion{};
  /// Whether that incarnation of the backend server is leaving. It stays so
  /// when the daemon restarts and does not know it any more.
  bool m_isWorkerLeaving{ false };
  /// Rate of the daemon's network link in Mbit/s; members are ranked by it.
  std::uint32_t m_linkMbps{ 0 };
};

[[nodiscard]] inline WorkerDescription
WorkerOf(const MemberRecord& aRecord)
{
  return { aRecord.m_slots,
           aRecord.m_workerIncarnation,
           aRecord.m_workerVersion,
           aRecord.m_isWorkerLeaving,
           aRecord.m_workerIdTag };
}

/// A suspect still takes calls: their outcome is better evidence than a lost
/// probe.
[[nodiscard]] constexpr bool
TakesCalls(MemberState aState) noexcept
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

[[nodiscard]] constexpr bool
IsPresent(MemberState aState) noexcept
{
  return aState < MemberState::Dead;
}

/// \returns The part of an incarnation that identifies the process and doesn't
/// change with refutations.
[[nodiscard]] constexpr std::uint64_t
ProcessOf(std::uint64_t aIncarnation) noexcept
{
  return aIncarnation >> 16U;
}

}
