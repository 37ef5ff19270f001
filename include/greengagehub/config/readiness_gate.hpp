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
/// restart. Several peers report their version and the highest version seen
/// of the slot, as a single peer may be out of date. With PeersFirst, the store
/// counts only without peers, as it may have been restored from a backup.
/// Limitation: if all reporting peers are behind, the gate opens too early.
class ReadinessGate
{
public:
  /// Peers that must report, or all of them if there are fewer.
  static constexpr std::size_t kRequiredPeers = 3;

  /// \brief Source that decides the required version.
  enum class Authority : std::uint8_t
  {
    /// Peers; the store only when there are none.
    PeersFirst,
    /// The store, whose versions never decrease, or peers.
    StoreFirst,
  };

  explicit ReadinessGate(Authority aAuthority = Authority::PeersFirst) noexcept
    : m_authority(aAuthority)
  {
  }

  /// \brief Records a peer's report.
  /// \param aMinimum highest version that the peer saw this slot run.
  void RecordPeer(const std::string& aSlot, Version aHead, Version aMinimum)
  {
    m_required = std::max({ m_required, aHead, aMinimum });
    if (m_peers.size() < kRequiredPeers) {
      m_peers.insert(aSlot);
    }
  }
  /// \brief Raises the required version.
  void RequireVersion(Version aRequired)
  {
    m_required = std::max(m_required, aRequired);
  }
  /// \brief Records the head version read from the store.
  void RecordStoreHead(Version aHead)
  {
    m_storeRead = true;
    m_required = std::max(m_required, aHead);
  }
  /// \brief Records that a peer's full member table was received.
  void Joined() noexcept { m_joined = true; }

  /// \param aInForce active version of this daemon.
  /// \param aPresent number of other daemons considered alive.
  /// \returns Whether the gate is open; once open, it stays open.
  [[nodiscard]] bool IsOpen(Version aInForce, std::size_t aPresent)
  {
    const bool byPeers = aPresent > 0 && m_joined &&
                         m_peers.size() >= std::min(kRequiredPeers, aPresent);
    const bool byStore =
      m_storeRead && (aPresent == 0 || m_authority == Authority::StoreFirst);
    const bool isConfirmed = byPeers || byStore;
    m_open =
      m_open || (isConfirmed && aInForce > Version{} && aInForce >= m_required);
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
