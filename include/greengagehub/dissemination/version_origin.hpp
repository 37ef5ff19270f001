#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief How a configuration version reached a daemon.
enum class VersionChannel : std::uint8_t
{
  /// Read of the store key that holds the newest configuration.
  StoreRead,
  /// Read of the compressed copy.
  StoreCopy,
  /// Returned by a conditional request whose condition did not hold.
  StoreCheck,
  StoreWatch,
  /// Entries in a datagram that a peer sent.
  Push,
  /// Entries in a peer's answer to a probe.
  Repair,
  PulledEntries,
  PulledSnapshot,
  /// Decided by this daemon.
  Decision,
};
inline constexpr std::size_t kVersionChannels = 9;

[[nodiscard]] std::string_view
NameOf(VersionChannel aChannel) noexcept;

struct VersionOrigin
{
  VersionChannel m_channel{ VersionChannel::StoreRead };
  /// Slot or address of the peer; empty if it came from the store.
  std::string m_peer{};
};

/// \brief Counts of one daemon since its start.
struct VersionCounts
{
  /// Advances of the version in force, by VersionChannel.
  std::array<std::uint64_t, kVersionChannels> m_applied{};
  /// Entries received whose base was not in force here.
  std::uint64_t m_gaps{ 0 };
  /// Entries received that did not lead to the content that they state.
  std::uint64_t m_unusable{ 0 };
  /// Times that the active version had another content than the store's
  /// document, which replaced it.
  std::uint64_t m_replaced{ 0 };
  std::uint64_t m_pulls{ 0 };
  std::uint64_t m_failedPulls{ 0 };
  /// Pulls of peers that were answered with the whole configuration.
  std::uint64_t m_snapshotsSent{ 0 };
};

}
