#pragma once

#include "greengagehub/core/version.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace greengagehub {

/// \brief Decides when a daemon that has started may take calls.
///
/// A restarted daemon remembers nothing. It must not open below what its slot
/// ran before, so it first hears from a few peers; each tells the version it
/// runs and the highest that this slot was ever seen to run. One peer is not
/// enough: it may itself have been paused or cut off. The store's word counts
/// only where there is no peer: it may have been restored from a backup.
///
/// What is left: if every peer that answers is behind, nobody who is heard
/// knows better, and the daemon opens too low.
class ReadyGate
{
public:
  /// Peers to hear from when the store does not answer.
  static constexpr std::size_t kPeers = 3;

  /// \brief Whose word is enough.
  enum class Trust : std::uint8_t
  {
    /// Peers; the store only where there is no peer.
    PeersFirst,
    /// The store, which never goes back; peers while it does not answer.
    StoreFirst,
  };

  explicit ReadyGate(Trust aTrust = Trust::PeersFirst) noexcept
    : m_trust(aTrust)
  {
  }

  /// \brief A peer was heard.
  /// \param aFloor highest version that this slot was seen to run.
  void HeardPeer(const std::string& aSlot, Version aHead, Version aFloor)
  {
    m_needed = std::max({ m_needed, aHead, aFloor });
    if (m_peers.size() < kPeers) {
      m_peers.insert(aSlot);
    }
  }
  /// \brief A version was heard of that this daemon must not open below.
  void Raise(Version aNeeded) { m_needed = std::max(m_needed, aNeeded); }
  /// \brief The store's log was read.
  void HeardStore(Version aHead)
  {
    m_storeHeard = true;
    m_needed = std::max(m_needed, aHead);
  }
  /// \brief A peer's whole member table was taken in.
  void Joined() noexcept { m_joined = true; }

  /// \param aPresent other daemons believed to run.
  /// \returns Whether it may open; once open it stays so, as versions in force
  /// only grow.
  [[nodiscard]] bool IsOpen(Version aInForce, std::size_t aPresent)
  {
    const bool byPeers =
      aPresent > 0 && m_joined && m_peers.size() >= std::min(kPeers, aPresent);
    const bool byStore =
      m_storeHeard && (aPresent == 0 || m_trust == Trust::StoreFirst);
    const bool heard = byPeers || byStore;
    m_open = m_open || (heard && aInForce > Version{} && aInForce >= m_needed);
    return m_open;
  }

private:
  Trust m_trust;
  std::set<std::string> m_peers;
  Version m_needed;
  bool m_storeHeard{ false };
  bool m_joined{ false };
  bool m_open{ false };
};

}
