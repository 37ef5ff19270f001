#pragma once

#include "greengagehub/core/clock.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace greengagehub {

/// \brief Stages of a stop, in order; see docs/design/stops.md.
enum class DrainStage : std::uint8_t
{
  /// Not ready, but everything is served.
  Serving,
  /// The local worker gets no further runs.
  Leaving,
  /// No further connections; each open one ends after its answer.
  Closing,
  /// All is answered; peers receive the last bytes and close.
  Flushing,
  Ended,
};

/// \returns The name used in logs, such as "closing".
[[nodiscard]] std::string_view
NameOf(DrainStage aStage) noexcept;

/// \brief Bounds of the stages; times without another note count from the
/// start of the drain.
struct DrainTimes
{
  Duration m_startsRuns{ 0 };
  /// Requests are accepted for this time, and until there has been no work for
  /// m_quiet.
  Duration m_accepts{ 0 };
  Duration m_quiet{ 0 };
  /// Work that is left is answered by the daemon itself; the flush begins.
  Duration m_endsCalls{ 0 };
  /// Wait for peers to close, from the start of the flush.
  Duration m_flush{ 0 };
  /// Everything ends here.
  Duration m_limit{ 0 };
};

/// \returns Times on a platform that redirects callers after failed probes and
/// kills the process when the grace time is over.
[[nodiscard]] DrainTimes
PlatformDrainTimes(Duration aGrace) noexcept;

/// \returns Times without a platform: callers leave at their own pace.
/// \param aLinger time without work after which callers are taken to be gone.
[[nodiscard]] DrainTimes
OwnDrainTimes(Duration aLinger, Duration aLimit) noexcept;

/// \brief What the daemon holds at one moment.
struct DrainObservation
{
  /// Runs, calls or requests without an answer.
  bool m_hasWork{ false };
  /// Answers that have not left for other daemons or not reached callers.
  bool m_hasUnsentAnswers{ false };
  bool m_hasOpenConnections{ false };
};

/// \brief Decides when each stage of a stop begins.
///
/// One call begins one stage at most, so that a stage ends only on what was
/// observed after it began.
class DrainSequence
{
public:
  DrainSequence(TimePoint aStart, DrainTimes aTimes) noexcept
    : m_times(aTimes)
    , m_startedAt(aStart)
    , m_stageSince(aStart)
  {
  }

  /// \returns The stage that begins; nothing if the current one goes on.
  [[nodiscard]] std::optional<DrainStage> Advance(
    TimePoint aNow,
    const DrainObservation& aObservation) noexcept;

  [[nodiscard]] DrainStage Stage() const noexcept { return m_stage; }
  /// \returns Whether nothing was left undone when the drain ended.
  [[nodiscard]] bool IsClean() const noexcept { return m_isClean; }

private:
  [[nodiscard]] bool IsOver(TimePoint aNow,
                            const DrainObservation& aObservation) noexcept;
  [[nodiscard]] bool IsQuiet(TimePoint aNow, bool aHasWork) noexcept;

  DrainTimes m_times;
  TimePoint m_startedAt;
  TimePoint m_stageSince;
  std::optional<TimePoint> m_quietSince;
  DrainStage m_stage{ DrainStage::Serving };
  bool m_isClean{ true };
};

}
