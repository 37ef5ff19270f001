#pragma once

#include "greengagehub/core/version.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace greengagehub {

/// \brief Decides when a started daemon may accept calls.
///
/// A daemon must not serve an older version than its slot served before a
/// restart. Several peers are asked, as a single one may have been paused or
/// cut off, and be out of date. Limitation: if all reporting peers are behind,
/// the gate opens too early.
class ReadinessGate
{
public:
  /// Peers that must report, or all of them if there are fewer.
  static constexpr std::size_t kRequiredPeers = 3;

  /// Source that must report the required version before the gate opens.
  enum class Authority : std::uint8_t
  {
    /// Peers. The store is used only if there are none, as it may be an old
    /// backup.
    PeersFirst,
    /// Either the store, whose versions never decrease, or peers.
    StoreOrPeers,
  };

  explicit ReadinessGate(Authority aAuthority = Authority::PeersFirst) noexcept
    : m_authority(aAuthority)
  {
  }

  /// \param aHead the peer's own version.
  /// \param aHighestOfSlot highest version that the peer saw this slot run.
  void RecordPeer(const std::string& aSlot,
                  Version aHead,
                  Version aHighestOfSlot)
  {
    m_required = std::max({ m_required, aHead, aHighestOfSlot });
    if (m_peers.size() < kRequiredPeers) {
      m_peers.insert(aSlot);
    }
  }
  void RequireVersion(Version aRequired)
  {
    m_required = std::max(m_required, aRequired);
  }
  void RecordStoreHead(Version aHead)
  {
    m_storeRead = true;
    m_required = std::max(m_required, aHead);
  }
  /// \brief Records that a peer's full member table was received.
  void RecordJoined() noexcept { m_joined = true; }

  /// \param aActiveVersion version of this daemon.
  /// \param aAlivePeers number of other daemons considered alive.
  /// \returns Whether the gate is open; once open, it stays open.
  [[nodiscard]] bool IsOpen(Version aActiveVersion, std::size_t aAlivePeers)
  {
    const bool byPeers =
      aAlivePeers > 0 && m_joined &&
      m_peers.size() >= std::min(kRequiredPeers, aAlivePeers);
    const bool byStore =
      m_storeRead &&
      (aAlivePeers == 0 || m_authority == Authority::StoreOrPeers);
    const bool isConfirmed = byPeers || byStore;
    m_open = m_open || (isConfirmed && aActiveVersion > Version{} &&
                        aActiveVersion >= m_required);
    return m_open;
  }

private:
  Authority m_authority;
  std::set<std::string> m_peers;
  Version m_required;
  bool m_storeRead{ false };
  bool m_joined{ false };
  bool m_open{ false };
};

}
