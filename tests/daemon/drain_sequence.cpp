#include "greengagehub/daemon/drain_sequence.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr DrainObservation kBusy{ .m_hasWork = true,
                                  .m_hasOpenConnections = true };
constexpr DrainObservation kIdle{};
/// All is answered; connections are open.
constexpr DrainObservation kAnswered{ .m_hasOpenConnections = true };
constexpr DrainObservation kSlowCaller{ .m_hasUnsentAnswers = true,
                                        .m_hasOpenConnections = true };

/// A drain in virtual time.
class Drain
{
public:
  explicit Drain(DrainTimes aTimes)
    : m_sequence(m_start, aTimes)
  {
  }

  /// \returns The stage after an observation at this time.
  DrainStage At(Duration aTime, const DrainObservation& aObservation)
  {
    static_cast<void>(m_sequence.Advance(m_start + aTime, aObservation));
    return m_sequence.Stage();
  }
  [[nodiscard]] bool IsClean() const { return m_sequence.IsClean(); }

private:
  TimePoint m_start{ 1h };
  DrainSequence m_sequence;
};

}

TEST_CASE("a draining daemon stops accepting requests it could not finish")
{
  // Guards against calls that are abandoned when the grace time ends while a
  // worker still runs them.
  Drain drain{ PlatformDrainTimes(6s) };
  CHECK(drain.At(1500ms, kBusy) == DrainStage::Leaving);
  // The platform redirects callers after two failed probes, a second apart.
  CHECK(drain.At(2500ms, kIdle) == DrainStage::Leaving);
  CHECK(drain.At(3000ms, kBusy) == DrainStage::Closing);
}

TEST_CASE("a draining daemon stops starting runs early enough to finish them")
{
  Drain drain{ PlatformDrainTimes(6s) };
  CHECK(drain.At(1400ms, kBusy) == DrainStage::Serving);
  CHECK(drain.At(1500ms, kBusy) == DrainStage::Leaving);
}

TEST_CASE("no stage of a drain ends on what was observed before it began")
{
  // Guards against an exit over requests that were accepted in the same pass.
  Drain drain{ PlatformDrainTimes(6s) };
  // A late loop observes for the first time after all times have passed.
  CHECK(drain.At(3500ms, kIdle) == DrainStage::Leaving);
  CHECK(drain.At(3500ms, kIdle) == DrainStage::Closing);
  CHECK(drain.At(3500ms, kBusy) == DrainStage::Closing);
  CHECK(drain.At(3700ms, kAnswered) == DrainStage::Flushing);
  CHECK(drain.At(3720ms, kAnswered) == DrainStage::Flushing);
  CHECK(drain.At(3740ms, kIdle) == DrainStage::Ended);
  CHECK(drain.IsClean());
}

TEST_CASE("a drain does not wait for peers that do not close")
{
  Drain drain{ PlatformDrainTimes(6s) };
  CHECK(drain.At(1500ms, kIdle) == DrainStage::Leaving);
  CHECK(drain.At(2900ms, kIdle) == DrainStage::Closing);
  CHECK(drain.At(2920ms, kAnswered) == DrainStage::Flushing);
  CHECK(drain.At(3400ms, kAnswered) == DrainStage::Flushing);
  CHECK(drain.At(3420ms, kAnswered) == DrainStage::Ended);
  CHECK(drain.IsClean());
}

TEST_CASE("a drain waits for callers that have not received their answers")
{
  // Guards against answers cut by the exit, which the system may reset.
  Drain drain{ PlatformDrainTimes(6s) };
  CHECK(drain.At(1500ms, kIdle) == DrainStage::Leaving);
  CHECK(drain.At(2900ms, kIdle) == DrainStage::Closing);
  CHECK(drain.At(2920ms, kSlowCaller) == DrainStage::Flushing);
  CHECK(drain.At(5500ms, kSlowCaller) == DrainStage::Flushing);
  CHECK(drain.At(5600ms, kSlowCaller) == DrainStage::Ended);
  CHECK_FALSE(drain.IsClean());
}

TEST_CASE("a drain with work left answers it before the process is killed")
{
  Drain drain{ PlatformDrainTimes(6s) };
  CHECK(drain.At(1500ms, kBusy) == DrainStage::Leaving);
  CHECK(drain.At(2900ms, kBusy) == DrainStage::Closing);
  // Until five sixths of the grace time workers may still answer.
  CHECK(drain.At(5000ms, kBusy) == DrainStage::Closing);
  CHECK(drain.At(5500ms, kBusy) == DrainStage::Flushing);
  CHECK(drain.At(5520ms, kIdle) == DrainStage::Ended);
  CHECK_FALSE(drain.IsClean());
}

TEST_CASE("a drain ends before the process is killed whatever is open")
{
  Drain drain{ PlatformDrainTimes(6s) };
  CHECK(drain.At(1500ms, kBusy) == DrainStage::Leaving);
  CHECK(drain.At(2900ms, kBusy) == DrainStage::Closing);
  CHECK(drain.At(5500ms, kBusy) == DrainStage::Flushing);
  CHECK(drain.At(5590ms, kBusy) == DrainStage::Flushing);
  CHECK(drain.At(5600ms, kBusy) == DrainStage::Ended);
  CHECK_FALSE(drain.IsClean());
}

TEST_CASE("without a platform a drain accepts requests until callers are gone")
{
  Drain drain{ OwnDrainTimes(300ms, 30s) };
  CHECK(drain.At(0ms, kBusy) == DrainStage::Leaving);
  CHECK(drain.At(1000ms, kIdle) == DrainStage::Leaving);
  CHECK(drain.At(1200ms, kBusy) == DrainStage::Leaving);
  CHECK(drain.At(1400ms, kIdle) == DrainStage::Leaving);
  CHECK(drain.At(1700ms, kIdle) == DrainStage::Closing);
}
