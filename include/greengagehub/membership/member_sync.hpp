#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"

#include <algorithm>
#include <chrono>

namespace greengagehub {

/// \brief Schedules anti-entropy exchanges of the member table with peers,
/// which repair differences left by lost updates.
///
/// The interval doubles with each exchange; an exchange with many changes
/// resets it. Only relays and daemons that haven't joined yet exchange with
/// another failure domain.
class MemberSync
{
public:
  MemberSync(TimePoint aStart, std::uint64_t aSeed)
    : m_random(aSeed)
    , m_nextCrossDomain(aStart + Jittered(m_random, kFirstCrossDomainDelay))
  {
  }

  struct Peer
  {
    /// The digest of its member table differs.
    bool m_differs{ false };
    bool m_crossesDomains{ false };
  };

  [[nodiscard]] bool HasJoined() const noexcept { return m_hasJoined; }
  /// To be called once the member table matches that of a peer.
  void Joined() noexcept { m_hasJoined = true; }

  /// \returns Whether to exchange now; if so, schedules the next exchange.
  [[nodiscard]] bool TryBegin(TimePoint aNow, Peer aPeer, bool aIsDomainRelay)
  {
    const bool mayCross = !m_hasJoined || aIsDomainRelay;
    if (!aPeer.m_differs || aNow < m_nextExchange ||
        (aPeer.m_crossesDomains && (!mayCross || aNow < m_nextCrossDomain))) {
      return false;
    }
    if (aPeer.m_crossesDomains) {
      m_nextCrossDomain = aNow + Jittered(m_random, kCrossDomainInterval);
    }
    m_nextExchange = aNow + Jittered(m_random, m_interval);
    m_interval = std::min(2 * m_interval, kMaxInterval);
    return true;
  }

  /// \brief The exchange failed; another peer may be tried at once.
  void OnExchangeFailed() noexcept { m_nextExchange = TimePoint{}; }
  /// \param aChanges number of records that were new or changed.
  void OnExchangeSucceeded(std::size_t aChanges) noexcept
  {
    if (aChanges >= kManyChanges) {
      m_interval = kMinInterval;
    }
  }

private:
  static constexpr std::chrono::milliseconds kMinInterval{ 200 };
  static constexpr std::chrono::milliseconds kMaxInterval{ 30'000 };
  /// Exchanges with other domains are rarer: changes also spread within a
  /// domain.
  static constexpr std::chrono::milliseconds kCrossDomainInterval{ 3000 };
  static constexpr std::chrono::milliseconds kFirstCrossDomainDelay{ 750 };
  /// Changes in one exchange that reset the interval.
  static constexpr std::size_t kManyChanges = 8;

  Random m_random;
  TimePoint m_nextExchange{};
  TimePoint m_nextCrossDomain;
  std::chrono::milliseconds m_interval{ kMinInterval };
  bool m_hasJoined{ false };
};

}
