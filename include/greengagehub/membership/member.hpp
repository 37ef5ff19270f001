#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/version.hpp"

#include <cstdint>
#include <string>

namespace greengagehub {

/// \brief What is believed of a member. At the same incarnation a later state
/// in this list overrides an earlier one.
enum class MemberState : std::uint8_t
{
  Alive,
  /// Announced by itself: finishes its calls, takes no new ones.
  Leaving,
  Suspect,
  Dead,
  /// Said goodbye.
  Left,
};

/// \brief Where a daemon is reached; IP numbers and ports.
struct MemberAddress
{
  std::string m_host;
  std::uint16_t m_gossipPort{ 0 };
  std::uint16_t m_bulkPort{ 0 };
  std::uint16_t m_linkPort{ 0 };

  [[nodiscard]] bool operator==(const MemberAddress&) const = default;
};

/// \brief Where to send something, and whether that crosses to another failure
/// domain, which is dear.
struct MemberPeer
{
  MemberAddress m_address;
  bool m_isFar{ false };

  [[nodiscard]] bool operator==(const MemberPeer&) const = default;
};

/// \brief What a daemon says of the backend server beside it.
struct WorkerFigures
{
  /// Calls that it runs at once.
  std::uint32_t m_slots{ 0 };
  /// As MemberRecord::m_workerStart.
  std::uint32_t m_start{ 0 };
  /// Of its software; empty: not told.
  std::string m_version{};
};

/// \brief What one daemon says of itself and others pass on.
struct MemberRecord
{
  /// Name of the slot beside the backend server; stays over restarts.
  std::string m_slot;
  /// Wall milliseconds at start times 65,536, plus one for each refutation:
  /// a restart beats everything said about the process before.
  std::uint64_t m_incarnation{ 0 };
  MemberState m_state{ MemberState::Alive };
  std::string m_service;
  std::string m_domain;
  std::string m_region;
  MemberAddress m_address;
  /// Calls the worker runs at once, as its settings say.
  std::uint32_t m_slots{ 0 };
  /// A short name of the backend server's present start; 0: not told, as by an
  /// older release. What was seen of another start says nothing of this one.
  std::uint32_t m_workerStart{ 0 };
  /// Version of the backend server's software; empty: not told.
  std::string m_workerVersion{};
  /// Rate of its own link; the fastest of a domain read the store.
  std::uint32_t m_linkMbps{ 0 };
};

/// \returns Whether calls may be sent there: known and neither leaving nor
/// gone. A suspect still takes calls; what they meet says more than a probe.
[[nodiscard]] constexpr bool
TakesCalls(MemberState aState) noexcept
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

/// \returns Whether a member is believed to run.
[[nodiscard]] constexpr bool
IsPresent(MemberState aState) noexcept
{
  return aState < MemberState::Dead;
}

/// \returns The process part of an incarnation, the same over refutations.
[[nodiscard]] constexpr std::uint64_t
ProcessOf(std::uint64_t aIncarnation) noexcept
{
  return aIncarnation >> 16U;
}

}
