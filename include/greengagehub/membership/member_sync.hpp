#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"

#include <algorithm>
#include <chrono>

namespace greengagehub {

/// \brief When this daemon compares its members with a peer's: news that was
/// lost on the way (a full packet, the limit on passing on) leaves views that
/// differ for good.
///
/// Answers the load pattern of all starting together, when each knows nobody:
/// often while comparing brings much, then ever more seldom, since a plain
/// day's news travels on the probes. Beyond the failure domain only who speaks
/// for it compares, or who knows nobody yet.
class MemberSync
{
public:
  MemberSync(TimePoint aStart, std::uint64_t aSeed)
    : m_random(aSeed)
    , m_nextFar(aStart + Jittered(m_random, kFirstFar))
  {
  }

  /// \brief What a peer's message showed.
  struct Peer
  {
    /// Its view is another one.
    bool m_differs{ false };
    bool m_isFar{ false };
  };

  [[nodiscard]] bool HasJoined() const noexcept { return m_joined; }
  /// \brief This daemon's view is as good as a peer's.
  void Joined() noexcept { m_joined = true; }

  /// \returns Whether to compare with this peer now; then it is under way.
  [[nodiscard]] bool Begins(TimePoint aNow, Peer aPeer, bool aSpeaks)
  {
    const bool mayCross = !m_joined || aSpeaks;
    if (!aPeer.m_differs || aNow < m_next ||
        (aPeer.m_isFar && (!mayCross || aNow < m_nextFar))) {
      return false;
    }
    if (aPeer.m_isFar) {
      m_nextFar = aNow + Jittered(m_random, kFar);
    }
    m_next = aNow + Jittered(m_random, m_every);
    m_every = std::min(2 * m_every, kLast);
    return true;
  }

  /// \brief Nothing came back: another peer may be asked at once.
  void Failed() noexcept { m_next = TimePoint{}; }
  /// \param aNews members whose record was new or changed.
  void Ended(std::size_t aNews) noexcept
  {
    if (aNews >= kMuchNews) {
      m_every = kFirst;
    }
  }

private:
  /// Between two comparisons: at first and after much news, and at last.
  static constexpr std::chrono::milliseconds kFirst{ 200 };
  static constexpr std::chrono::milliseconds kLast{ 30'000 };
  /// Between two comparisons with peers of other domains, from some 0.75 s
  /// after the start on: each brings all that is new there across, and one
  /// daemon of a domain that has it is enough for the others.
  static constexpr std::chrono::milliseconds kFar{ 3000 };
  static constexpr std::chrono::milliseconds kFirstFar{ 750 };
  /// News in one comparison after which the next one comes soon.
  static constexpr std::size_t kMuchNews = 8;

  Random m_random;
  TimePoint m_next{};
  TimePoint m_nextFar;
  std::chrono::milliseconds m_every{ kFirst };
  bool m_joined{ false };
};

}
