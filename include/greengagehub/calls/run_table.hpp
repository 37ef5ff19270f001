#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/calls/running_age.hpp"
#include "greengagehub/calls/work_order.hpp"

#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace greengagehub {

struct RunTableSettings
{
  std::uint32_t m_slots{ 20 };
  std::uint32_t m_queue{ 40 };
  /// A cold worker's slots open evenly over this time.
  std::chrono::milliseconds m_warmUp{ 0 };
  /// How long the end of an attempt is remembered, so that its late or
  /// repeated messages find it.
  std::chrono::milliseconds m_remember{ std::chrono::seconds{ 30 } };
  /// Ended attempts remembered at most.
  std::size_t m_maxRemembered{ 50'000 };
  /// Taken off a queued call's deadline, so that "not run" arrives in time.
  std::chrono::milliseconds m_margin{ 5 };
  DecisionSettings m_decisions{};
};

/// \brief What becomes of an attempt that arrives.
struct Admission
{
  enum class Kind : std::uint8_t
  {
    Start,
    Queued,
    Refused,
    /// Seen before: nothing is to be done.
    Repeated,
  };
  Kind m_kind{ Kind::Refused };
  RefusalReason m_reason{ RefusalReason::None };
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// \brief What a cancellation met.
enum class CancelResult : std::uint8_t
{
  /// Never started, and never will now.
  NotStarted,
  Running,
  Finished,
  /// So long ago that nothing is remembered: it may have run.
  Forgotten,
};

/// \brief An attempt that will never run and must be told so.
struct RefusedRun
{
  CallKey m_key;
  RefusalReason m_reason{ RefusalReason::None };
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// \brief What a step of the run table asks for.
struct RunActions
{
  std::vector<CallKey> m_start;
  std::vector<RefusedRun> m_refused;
};

/// \brief Every attempt at one worker: queued, running, done, or cancelled
/// before it arrived. Its word alone decides what "not run" is said about.
///
/// An attempt leaves Queued once, to Running or to Refused, and only Running
/// touches the worker. "Not run" is told only of attempts that are Refused or
/// were marked before they came, and neither can become Running any more.
class RunTable
{
public:
  explicit RunTable(RunTableSettings aSettings);
  ~RunTable();
  RunTable(const RunTable&) = delete;
  RunTable& operator=(const RunTable&) = delete;

  [[nodiscard]] std::uint32_t Running() const noexcept { return m_running; }
  [[nodiscard]] std::uint32_t Queued() const noexcept { return m_queued; }
  [[nodiscard]] std::uint32_t Load() const noexcept
  {
    return m_running + m_queued;
  }
  /// \returns How many ended attempts are remembered.
  [[nodiscard]] std::size_t Remembered() const noexcept
  {
    return m_ended.size();
  }
  [[nodiscard]] bool IsLeaving() const noexcept { return m_leaving; }
  /// \returns Expected wait of a call that came now.
  [[nodiscard]] std::chrono::milliseconds ExpectedWait(TimePoint aNow) const;

  /// \brief An attempt arrived. One that goes before others may push the last
  /// of them out of a full queue; that one is in `aOut`.
  [[nodiscard]] Admission Admit(TimePoint aNow,
                                CallKey aKey,
                                std::uint64_t aEpoch,
                                const WorkDemand& aDemand,
                                RunActions& aOut);
  /// \returns When OnTick has something to do next, if ever.
  [[nodiscard]] std::optional<TimePoint> NextExpiry() const;
  /// \brief Cancels an attempt that has not started, whether or not it has
  /// arrived yet.
  [[nodiscard]] CancelResult Cancel(TimePoint aNow, CallKey aKey);
  /// \brief The worker is done with it, whatever came of it.
  [[nodiscard]] RunActions Finish(TimePoint aNow, CallKey aKey);
  /// \brief A caller opened a newer connection: what is queued from older
  /// ones never starts.
  void CloseEpochs(TimePoint aNow,
                   std::uint64_t aProcess,
                   std::uint64_t aBelowEpoch);
  [[nodiscard]] RunActions OnTick(TimePoint aNow);
  /// \brief Refuses what is queued and all that comes.
  [[nodiscard]] RunActions StartLeaving(TimePoint aNow);
  /// \brief Takes calls again, for another worker at the same place.
  void Reopen() noexcept { m_leaving = false; }
  /// \brief Another process answers from now on: how long the former one took
  /// says nothing of it. What waits here was not handed out and stays; what
  /// runs is the former one's until it ends.
  void OnWorkerRestarted();
  /// \returns Moving mean of the time that the worker takes for such calls.
  [[nodiscard]] Duration ServiceTime(TimePoint aNow, CallKind aKind) const;
  /// \returns What such a call would wait if it came now.
  [[nodiscard]] Duration WaitOf(TimePoint aNow,
                                std::uint32_t aPriority,
                                CallKind aKind) const;
  [[nodiscard]] std::uint32_t Slots() const noexcept
  {
    return m_settings.m_slots;
  }
  void SetLimits(std::uint32_t aSlots, std::uint32_t aQueue) noexcept;

private:
  enum class State : std::uint8_t
  {
    Queued,
    Running,
    Finished,
    /// Never ran and never will.
    Refused,
  };
  struct Run : boost::intrusive::list_base_hook<>
  {
    CallKey m_key;
    std::uint64_t m_epoch{ 0 };
    CallClass m_class{ CallClass::Critical };
    std::uint32_t m_priority{ 0 };
    CallKind m_kind{};
    State m_state{ State::Queued };
    TimePoint m_target;
    TimePoint m_deadline;
    /// While queued: when waiting on stops making sense.
    TimePoint m_expires;
    TimePoint m_since;
    /// While running: which start of the worker it was handed to.
    std::uint32_t m_workerStarts{ 0 };
    /// While running: how long it should take, if that is known.
    std::optional<Duration> m_expected{};
  };
  struct KeyHash
  {
    std::size_t operator()(const CallKey& aKey) const noexcept
    {
      return aKey.m_process * 0x9E3779B97F4A7C15U ^ aKey.m_call;
    }
  };
  using RunList = boost::intrusive::list<Run>;

  [[nodiscard]] std::uint32_t OpenSlots(TimePoint aNow) const;
  [[nodiscard]] std::uint32_t QueueLimit(CallClass aClass) const noexcept;
  [[nodiscard]] std::uint32_t QueuedOf(CallClass aClass) const noexcept;
  [[nodiscard]] WorkRank Rank(TimePoint aNow, const Run& aRun) const;
  /// \returns Work that waits and goes before a call of this rank.
  [[nodiscard]] Duration WorkBefore(TimePoint aNow,
                                    const WorkRank& aRank) const;
  [[nodiscard]] Duration WaitFor(TimePoint aNow, const WorkRank& aRank) const;
  /// \returns As WaitFor, with what will come before it while it waits;
  /// nothing when that leaves nothing.
  [[nodiscard]] std::optional<Duration> ForeseenWait(
    TimePoint aNow,
    const WorkRank& aRank) const;
  [[nodiscard]] Admission Refused(TimePoint aNow,
                                  CallKey aKey,
                                  RefusalReason aReason);
  /// \returns Whether its wait is worth asking another worker instead.
  [[nodiscard]] bool IsBusyFor(TimePoint aNow, const Run& aRun) const;
  [[nodiscard]] std::optional<RefusalReason> ReasonToRefuse(
    TimePoint aNow,
    const Run& aRun) const;
  /// \returns By how many times the worker is slower than its runs that ended
  /// tell.
  [[nodiscard]] double SlownessAt(TimePoint aNow) const;
  /// \brief Refuses what waits in vain, now that the worker has become slow;
  /// another one may still be in time.
  void RefuseInVain(TimePoint aNow, RunActions& aOut);
  [[nodiscard]] bool MakeRoom(TimePoint aNow,
                              const Run& aFor,
                              RunActions& aOut);
  [[nodiscard]] Run* NextInTurn(TimePoint aNow);
  [[nodiscard]] bool IsForgotten(CallKey aKey) const;
  void Forget(TimePoint aNow);
  Run& Remember(TimePoint aNow, CallKey aKey, State aState);
  void StartRun(TimePoint aNow, Run& aRun);
  void EndQueued(TimePoint aNow, Run& aRun);
  void StartWaiting(TimePoint aNow, RunActions& aOut);
  void ExpireWaiting(TimePoint aNow, RunActions& aOut);
  static void CopyDemand(const Run& aFrom, Run& aTo);
  [[nodiscard]] TimePoint ExpiryOf(TimePoint aNow, const Run& aRun) const;

  RunTableSettings m_settings;
  std::unordered_map<CallKey, std::unique_ptr<Run>, KeyHash> m_runs;
  /// In order of arrival.
  RunList m_waiting;
  /// Finished and refused ones, oldest first.
  RunList m_ended;
  /// For each caller process, the highest number that was forgotten. Numbers
  /// of a process only grow, and reach a worker in order on each connection,
  /// so that whatever is unknown at or below it is old, and may have run.
  struct Horizon
  {
    std::uint64_t m_call{ 0 };
    TimePoint m_since;
  };
  std::unordered_map<std::uint64_t, Horizon> m_horizons;
  std::uint32_t m_running{ 0 };
  std::uint32_t m_queued{ 0 };
  bool m_leaving{ false };
  TimePoint m_firstCall{};
  ServiceTimes m_services;
  /// Starts of the worker that were followed by another.
  std::uint32_t m_workerStarts{ 0 };
  RunningAge m_runningAge;
  OnTimeLoad m_onTime;
};

}
