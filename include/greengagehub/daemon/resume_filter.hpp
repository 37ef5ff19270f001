#pragma once

#include "greengagehub/daemon/run_service.hpp"

#include <chrono>
#include <utility>
#include <vector>

namespace greengagehub {

/// \brief Delays attempts of other daemons that are read just after a pause of
/// the process.
///
/// While a process is paused, its links collect attempts together with the
/// cancellations that follow them. A short delay lets the latter be read first,
/// so that attempts for disconnected callers are dropped rather than run.
class ResumeFilter
{
public:
  struct LinkRequest
  {
    TimePoint m_receivedAt;
    CallKey m_key;
    std::uint64_t m_epoch{ 0 };
    CallRequest m_request;
  };
  /// A gap between ticks above this is treated as a pause of the process. It
  /// exceeds the delays caused by CPU throttling, up to a tenth of a second.
  static constexpr std::chrono::milliseconds kPauseThreshold{ 300 };
  /// Enough for several passes over all sockets.
  static constexpr std::chrono::milliseconds kDelay{ 20 };

  /// \param aBootTime time since the machine started, including suspensions.
  void OnTick(TimePoint aNow, std::chrono::nanoseconds aBootTime) noexcept
  {
    DetectPause(aNow, aBootTime);
    m_lastTick = aBootTime;
  }
  [[nodiscard]] bool IsDelaying(TimePoint aNow,
                                std::chrono::nanoseconds aBootTime) noexcept
  {
    DetectPause(aNow, aBootTime);
    return aNow < m_until;
  }
  [[nodiscard]] TimePoint ReleaseTime() const noexcept { return m_until; }

  /// \returns Whether no other request is delayed.
  bool Add(LinkRequest aRequest);
  void Cancel(CallKey aKey);
  /// \brief Drops requests from connections of a process that are older than
  /// `aBelowEpoch`.
  void CloseEpochs(std::uint64_t aProcess, std::uint64_t aBelowEpoch);
  /// \brief Drops all requests from other daemons.
  void DropAll() { m_delayed.clear(); }
  [[nodiscard]] std::vector<LinkRequest> TakeAll()
  {
    return std::exchange(m_delayed, {});
  }

private:
  void DetectPause(TimePoint aNow, std::chrono::nanoseconds aBootTime) noexcept
  {
    if (m_lastTick != std::chrono::nanoseconds{} &&
        aBootTime - m_lastTick > kPauseThreshold) {
      m_until = aNow + kDelay;
      // Reports each pause only once.
      m_lastTick = aBootTime;
    }
  }

  std::chrono::nanoseconds m_lastTick{};
  TimePoint m_until{};
  std::vector<LinkRequest> m_delayed;
};

}
