#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/membership/gossip_message.hpp"

#include <optional>
#include <vector>

namespace greengagehub {

struct DisseminationSettings
{
  /// Number of peers to which each daemon pushes a new version.
  std::uint32_t m_fanout{ 4 };
  /// Larger entries are transferred by pull only.
  std::size_t m_maxDatagramBytes{ 1200 };
  /// Delay before a pull, jittered; a push usually arrives first.
  std::chrono::milliseconds m_pullDelay{ 150 };
  /// Additional delay before a pull from another failure domain; a peer of the
  /// own domain may get the version first.
  std::chrono::milliseconds m_otherDomainDelay{ 0 };
  /// A pull that has no answer after this time is repeated from another peer;
  /// a snapshot on a slow link takes about as long.
  std::chrono::milliseconds m_hedgeDelay{ 400 };
  /// After this time without an answer, a pull counts as failed.
  std::chrono::milliseconds m_pullTimeout{ 3000 };
};

/// \returns The entries after `aAfter` that fit into a push, oldest first; none
/// if the first of them is not recent.
[[nodiscard]] std::vector<VersionEntry>
EntriesToPush(const ConfigHolder& aHolder,
              Version aAfter,
              std::size_t aMaxDatagramBytes);

/// \brief Distributes configuration versions between daemons: pushes new ones,
/// compares digests with each probe and pulls missing ones. Does no I/O.
class Disseminator
{
public:
  Disseminator(DisseminationSettings aSettings, std::uint64_t aSeed);

  [[nodiscard]] const DisseminationSettings& Settings() const noexcept
  {
    return m_settings;
  }
  /// \brief Highest version reported by any peer.
  [[nodiscard]] Version HighestKnownVersion() const noexcept
  {
    return m_highestKnownVersion;
  }

  /// \returns When a version above `aInForce` was first reported; nothing if
  /// none was.
  [[nodiscard]] std::optional<TimePoint> ReportedAt(Version aInForce) const;

  /// \returns Entries to add to a probe sent to a peer with an older version.
  [[nodiscard]] std::vector<VersionEntry> EntriesToRepair(
    const ConfigHolder& aHolder,
    Version aTheirs) const;
  /// \brief Schedules a pull if a peer has a higher version.
  void OnDigest(TimePoint aNow,
                const ConfigHolder& aHolder,
                const VersionDigest& aHead,
                const MemberPeer& aPeer);
  /// \returns The peer to pull from now, if a pull is due.
  [[nodiscard]] std::optional<MemberPeer> NextPull(TimePoint aNow,
                                                   const ConfigHolder& aHolder);
  /// To be called after success and failure.
  void OnPullEnded(const MemberPeer& aPeer) noexcept;

private:
  struct Source
  {
    MemberPeer m_peer;
    Version m_version{};
    TimePoint m_askedAt{};
  };
  struct PendingPull
  {
    MemberPeer m_peer;
    TimePoint m_startedAt;
  };

  void AddSource(const MemberPeer& aPeer, Version aVersion);
  [[nodiscard]] bool IsPending(const MemberPeer& aPeer) const;
  /// \returns The source to ask next, if any: preferably of the own domain,
  /// and among these the one with the highest version.
  [[nodiscard]] Source* NextSource(TimePoint aNow);

  DisseminationSettings m_settings;
  Random m_random;
  Version m_highestKnownVersion;
  /// When a version above the one in force was first reported.
  TimePoint m_behindSince{};
  /// Peers that have reported a version above the one in force.
  std::vector<Source> m_sources;
  std::vector<PendingPull> m_pendingPulls;
  std::optional<TimePoint> m_pullAt;
};

}
