#include "greengagehub/daemon/drain_sequence.hpp"

namespace greengagehub {

namespace {

/// No run starts later; started runs have until kAcceptTime to finish.
constexpr auto kRunStartTime = std::chrono::milliseconds{ 1500 };
/// The platform probes readiness once a second and redirects callers after two
/// failed probes, and another request may be in transit by then. Requests
/// accepted after 3 s may not finish in the grace time: waits of 1.7 s at a
/// worker were seen.
constexpr auto kAcceptTime = std::chrono::milliseconds{ 2900 };
/// Part of the grace time that remains when an unfinished drain is aborted.
constexpr auto kKillMargin = std::chrono::milliseconds{ 400 };
/// Part of the limit in which the daemon's own answers reach callers.
constexpr auto kLastAnswersTime = std::chrono::milliseconds{ 200 };
/// Many round trips; peers that do not close by then are not waited for.
constexpr auto kFlushTime = std::chrono::milliseconds{ 500 };

}

std::string_view
NameOf(DrainStage aStage) noexcept
{
  switch (aStage) {
    case DrainStage::Serving:
      return "serving";
    case DrainStage::Leaving:
      return "leaving";
    case DrainStage::Closing:
      return "closing";
    case DrainStage::Flushing:
      return "flushing";
    case DrainStage::Ended:
      return "ended";
  }
  return "ended";
}

DrainTimes
PlatformDrainTimes(Duration aGrace) noexcept
{
  return { .m_startsRuns = kRunStartTime,
           .m_accepts = kAcceptTime,
           .m_quiet = Duration::zero(),
           .m_endsCalls = aGrace - kKillMargin - kLastAnswersTime,
           .m_flush = kFlushTime,
           .m_limit = aGrace - kKillMargin };
}

DrainTimes
OwnDrainTimes(Duration aLinger, Duration aLimit) noexcept
{
  return { .m_startsRuns = Duration::zero(),
           .m_accepts = Duration::zero(),
           .m_quiet = aLinger,
           .m_endsCalls = aLimit - kLastAnswersTime,
           .m_flush = kFlushTime,
           .m_limit = aLimit };
}

std::optional<DrainStage>
DrainSequence::Advance(TimePoint aNow,
                       const DrainObservation& aObservation) noexcept
{
  if (m_stage == DrainStage::Ended) {
    return std::nullopt;
  }
  if (aNow - m_startedAt >= m_times.m_limit) {
    m_stage = DrainStage::Ended;
    m_isClean =
      m_isClean && !aObservation.m_hasWork && !aObservation.m_hasUnsentAnswers;
    return m_stage;
  }
  if (!IsOver(aNow, aObservation)) {
    return std::nullopt;
  }
  m_stage = static_cast<DrainStage>(static_cast<std::uint8_t>(m_stage) + 1);
  m_stageSince = aNow;
  if (m_stage == DrainStage::Flushing) {
    m_isClean = !aObservation.m_hasWork;
  }
  return m_stage;
}

bool
DrainSequence::IsOver(TimePoint aNow,
                      const DrainObservation& aObservation) noexcept
{
  const Duration elapsed = aNow - m_startedAt;
  const bool isQuiet = IsQuiet(aNow, aObservation.m_hasWork);
  switch (m_stage) {
    case DrainStage::Serving:
      return elapsed >= m_times.m_startsRuns;
    case DrainStage::Leaving:
      return elapsed >= m_times.m_endsCalls ||
             (elapsed >= m_times.m_accepts &&
              (isQuiet || m_times.m_quiet == Duration::zero()));
    case DrainStage::Closing:
      return elapsed >= m_times.m_endsCalls || !aObservation.m_hasWork;
    case DrainStage::Flushing:
      return !aObservation.m_hasOpenConnections ||
             (aNow - m_stageSince >= m_times.m_flush &&
              !aObservation.m_hasUnsentAnswers);
    case DrainStage::Ended:
      break;
  }
  return false;
}

bool
DrainSequence::IsQuiet(TimePoint aNow, bool aHasWork) noexcept
{
  if (aHasWork) {
    m_quietSince.reset();
    return false;
  }
  if (!m_quietSince) {
    m_quietSince = aNow;
  }
  return aNow - *m_quietSince >= m_times.m_quiet;
}

}
