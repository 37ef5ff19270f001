#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/membership/gossip_message.hpp"

#include <optional>
#include <vector>

namespace greengagehub {

struct DisseminationSettings
{
  /// Peers a new version is pushed to, once, by each daemon that gets it.
  std::uint32_t m_fanout{ 4 };
  /// Entries larger than this travel by pull only.
  std::size_t m_maxDatagramBytes{ 1200 };
  /// Wait before a pull, jittered: a push is usually under way already.
  std::chrono::milliseconds m_pullDelay{ 150 };
  /// Longer wait before a pull from another failure domain, for one of the own
  /// that has it: where bytes between domains are dear, a whole configuration
  /// for each daemon is most of what a start sends across.
  std::chrono::milliseconds m_farDelay{ 0 };
  /// Between two pulls when the first brought nothing.
  std::chrono::milliseconds m_pullTimeout{ 1000 };
};

/// \brief Versions between daemons: push on arrival, digest on each probe,
/// pull of what is missing.
///
/// Pure logic over what this daemon holds; entries themselves are checked and
/// applied by ConfigHolder.
class Disseminator
{
public:
  Disseminator(DisseminationSettings aSettings, std::uint64_t aSeed);

  [[nodiscard]] const DisseminationSettings& Settings() const noexcept
  {
    return m_settings;
  }
  /// \brief Highest version heard of.
  [[nodiscard]] Version Heard() const noexcept { return m_heard; }

  /// \returns Entries to push after the holder moved on from `aBefore`.
  [[nodiscard]] std::vector<VersionEntry> ToPush(const ConfigHolder& aHolder,
                                                 Version aBefore) const;
  /// \returns Entries that fit beside a probe to a peer that lags.
  [[nodiscard]] std::vector<VersionEntry> ToRepair(const ConfigHolder& aHolder,
                                                   Version aTheirs) const;
  /// \brief Notes that a peer runs more than this daemon does.
  void OnDigest(TimePoint aNow,
                const ConfigHolder& aHolder,
                const VersionDigest& aHead,
                const MemberPeer& aPeer);
  /// \returns Whom to pull from now, if anyone.
  [[nodiscard]] std::optional<MemberPeer> DuePull(TimePoint aNow,
                                                  const ConfigHolder& aHolder);
  /// \brief The pull under way has ended, with or without fruit.
  void PullEnded() noexcept;

private:
  [[nodiscard]] std::vector<VersionEntry> Fitting(const ConfigHolder& aHolder,
                                                  Version aAfter,
                                                  std::size_t aBytes) const;

  DisseminationSettings m_settings;
  Random m_random;
  Version m_heard;
  std::vector<MemberPeer> m_sources;
  /// The last one heard of in the own failure domain, asked before others.
  std::optional<MemberPeer> m_nearSource;
  std::optional<TimePoint> m_pullAt;
  std::optional<TimePoint> m_pullUntil;
};

}
