#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/calls/send_limiter.hpp"
#include "greengagehub/calls/slowness_detector.hpp"
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
  /// Time over which the usable slots grow evenly from one to all.
  std::chrono::milliseconds m_warmUp{ 0 };
  /// Time that ended attempts are kept, to detect duplicate messages.
  std::chrono::milliseconds m_retention{ std::chrono::seconds{ 30 } };
  std::size_t m_maxRetained{ 50'000 };
  /// Time before a queued call's deadline that is reserved for its refusal.
  std::chrono::milliseconds m_margin{ 5 };
  /// Whether workspaces share the slots by weight.
  bool m_sharesFairly{ true };
  DecisionSettings m_decisions{};
};

struct Admission
{
  enum class Kind : std::uint8_t
  {
    Start,
    Queued,
    Refused,
    /// The attempt is already known; no action is needed.
    Duplicate,
  };
  Kind m_kind{ Kind::Refused };
  RefusalReason m_reason{ RefusalReason::None };
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// \brief State in which a cancellation found its attempt.
enum class CancelResult : std::uint8_t
{
  /// Not started, and it will not be.
  NotStarted,
  Running,
  Finished,
  /// No longer recorded; it may have been executed.
  Evicted,
};

/// \brief A queued attempt that was refused; its caller is to be informed.
struct RefusedRun
{
  CallKey m_key;
  RefusalReason m_reason{ RefusalReason::None };
  std::chrono::milliseconds m_retryAfter{ 0 };
};

/// \brief Actions that the caller of a run table method has to carry out.
struct RunActions
{
  std::vector<CallKey> m_start;
  std::vector<RefusedRun> m_refused;
};

/// \brief State of every attempt at one worker: queued, running, finished, or
/// cancelled before its request arrived.
///
/// A start is sent to the worker, so starts are what a SendLimiter bounds.
/// While it does, queued attempts are ordered by value, not by value for each
/// second of a slot, and refusals name the limit as their reason.
///
/// An attempt leaves Queued once, to Running or to Refused, and only a running
/// attempt is sent to the worker. "Not run" is reported only for attempts that
/// are Refused, which can no longer become Running.
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
  [[nodiscard]] std::size_t RetainedCount() const noexcept
  {
    return m_ended.size();
  }
  [[nodiscard]] bool IsDraining() const noexcept { return m_draining; }
  /// \returns Expected queueing delay of a call of the lowest rank.
  [[nodiscard]] std::chrono::milliseconds ExpectedWait(TimePoint aNow) const;

  /// \brief Handles an arriving attempt. With a full queue it may displace a
  /// queued attempt of lower rank, which is then refused in `aOut`.
  [[nodiscard]] Admission Admit(TimePoint aNow,
                                CallKey aKey,
                                std::uint64_t aEpoch,
                                const WorkDemand& aDemand,
                                RunActions& aOut);
  /// \returns Nothing if no attempt is queued.
  [[nodiscard]] std::optional<TimePoint> NextExpiry() const;
  /// \returns When OnTick() is due: the next expiry, or the time at which the
  /// worker's limit allows a queued attempt to start.
  [[nodiscard]] std::optional<TimePoint> NextWakeUp(TimePoint aNow) const;
  [[nodiscard]] SendLimiter& Limiter() noexcept { return m_limiter; }
  [[nodiscard]] const SendLimiter& Limiter() const noexcept
  {
    return m_limiter;
  }
  /// \brief Cancels an attempt that has not started, even if its request has
  /// not arrived yet.
  [[nodiscard]] CancelResult Cancel(TimePoint aNow, CallKey aKey);
  /// \brief Marks a running attempt as finished, with or without an answer.
  [[nodiscard]] RunActions Finish(TimePoint aNow, CallKey aKey);
  /// \brief Drops queued attempts from the caller's older connections.
  void CloseEpochs(TimePoint aNow,
                   std::uint64_t aProcess,
                   std::uint64_t aBelowEpoch);
  [[nodiscard]] RunActions OnTick(TimePoint aNow);
  /// \brief Refuses all queued and new attempts; running ones may finish.
  [[nodiscard]] RunActions StartDraining(TimePoint aNow);
  /// \brief Accepts attempts again, for a new incarnation of the worker.
  void Reopen() noexcept { m_draining = false; }
  /// \brief Discards the service times of the previous incarnation. Queued
  /// attempts stay; running ones remain assigned to the previous incarnation.
  void OnWorkerRestarted();
  [[nodiscard]] Duration ServiceTime(TimePoint aNow, CallKind aKind) const;
  /// \returns Expected queueing delay of such a call if it arrived now.
  [[nodiscard]] Duration ExpectedWaitOfKind(TimePoint aNow,
                                            std::uint32_t aPriority,
                                            CallKind aKind) const;
  /// \brief Use of the worker by workspace.
  [[nodiscard]] const FairShares& Shares() const noexcept { return m_shares; }
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
    /// Never executed.
    Refused,
  };
  struct Run : boost::intrusive::list_base_hook<>
  {
    CallKey m_key;
    /// Number of the caller's connection; a later one is higher.
    std::uint64_t m_epoch{ 0 };
    CallClass m_class{ CallClass::Critical };
    std::uint32_t m_priority{ 0 };
    CallKind m_kind{};
    State m_state{ State::Queued };
    TimePoint m_target;
    TimePoint m_deadline;
    /// When a queued attempt is refused.
    TimePoint m_expires;
    TimePoint m_stateSince;
    std::uint32_t m_workerIncarnation{ 0 };
    std::optional<Duration> m_expectedServiceTime{};
    ShareTicket m_share{};
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
  /// \returns Whether an arriving attempt can start before the queued ones.
  [[nodiscard]] bool StartsAtOnce(TimePoint aNow) const;
  /// \returns Settings of the queue order, by the scarce resource.
  [[nodiscard]] const DecisionSettings& OrderSettings(TimePoint aNow) const;
  [[nodiscard]] std::uint32_t QueueLimit(CallClass aClass) const noexcept;
  [[nodiscard]] std::uint32_t CountAgainstLimit(
    CallClass aClass) const noexcept;
  [[nodiscard]] WorkRank Rank(TimePoint aNow, const Run& aRun) const;
  /// \returns Service time of the queued calls served before this rank.
  [[nodiscard]] Duration WorkAhead(TimePoint aNow, const WorkRank& aRank) const;
  /// \returns Time until a slot is free for the rank.
  [[nodiscard]] Duration SlotWait(TimePoint aNow, const WorkRank& aRank) const;
  /// \returns Time until the worker's limit allows an attempt of the rank.
  [[nodiscard]] Duration LimitWait(TimePoint aNow, const WorkRank& aRank) const;
  [[nodiscard]] Duration EstimateWait(TimePoint aNow,
                                      const WorkRank& aRank) const;
  /// \returns RateLimited if the attempt waits for the worker's limit rather
  /// than for a slot, else `aReason`.
  [[nodiscard]] RefusalReason CauseOf(TimePoint aNow,
                                      const Run& aRun,
                                      RefusalReason aReason) const;
  /// \returns EstimateWait() including calls that arrive later and are served
  /// first; nothing if those use all slots.
  [[nodiscard]] std::optional<Duration> PredictedWait(
    TimePoint aNow,
    const WorkRank& aRank) const;
  /// \brief Charges an arriving attempt to its workspace, if any is in use.
  [[nodiscard]] ShareTicket QueueShare(TimePoint aNow,
                                       const WorkDemand& aDemand);
  [[nodiscard]] Admission RefuseArrival(TimePoint aNow,
                                        CallKey aKey,
                                        RefusalReason aReason);
  /// \returns Whether the wait is long enough to ask another worker.
  [[nodiscard]] bool IsBusyFor(TimePoint aNow, const Run& aRun) const;
  [[nodiscard]] std::optional<RefusalReason> ReasonToRefuse(
    TimePoint aNow,
    const Run& aRun) const;
  /// \returns Factor by which the worker is slower than its finished runs.
  [[nodiscard]] double SlownessAt(TimePoint aNow) const;
  /// \brief Refuses queued calls that a slow worker would answer too late.
  void RefuseQueuedIfSlow(TimePoint aNow, RunActions& aOut);
  [[nodiscard]] bool MakeRoom(TimePoint aNow,
                              const Run& aFor,
                              RunActions& aOut);
  /// \returns The queued attempt to be refused for an arriving one; nullptr if
  /// there is none. `aIsClassFull`: it has to be one of the class's limit.
  [[nodiscard]] Run* FindDisplaceable(TimePoint aNow,
                                      const Run& aFor,
                                      bool aIsClassFull);
  /// \returns The last queued attempt of other ranks, if `aFor` is before it.
  [[nodiscard]] Run* LastOfOtherRanks(TimePoint aNow, const Run& aFor);
  /// \returns The last attempt of the rank's workspace that is furthest ahead,
  /// if it is further ahead than `aFor`'s.
  [[nodiscard]] Run* LastOfFurthestAhead(TimePoint aNow,
                                         const Run& aFor,
                                         bool aIsClassFull);
  [[nodiscard]] Run* HighestRanked(TimePoint aNow);
  /// \returns The first call of the rank, by lead and then by value.
  [[nodiscard]] Run* FirstWithinShare(TimePoint aNow, Run& aBest);
  [[nodiscard]] bool IsEvicted(CallKey aKey) const;
  void EvictEnded(TimePoint aNow);
  Run& AddRun(TimePoint aNow, CallKey aKey, State aState);
  void StartRun(TimePoint aNow, Run& aRun);
  void RefuseQueued(TimePoint aNow, Run& aRun);
  /// \brief Refuses a queued attempt and informs its caller.
  void RefuseQueued(TimePoint aNow,
                    Run& aRun,
                    RefusalReason aReason,
                    RunActions& aOut);
  void StartQueued(TimePoint aNow, RunActions& aOut);
  void ExpireQueued(TimePoint aNow, RunActions& aOut);
  static void CopyDemand(const Run& aFrom, Run& aTo);
  [[nodiscard]] TimePoint ExpiryOf(TimePoint aNow, const Run& aRun) const;

  RunTableSettings m_settings;
  std::unordered_map<CallKey, std::unique_ptr<Run>, KeyHash> m_runs;
  /// Queued attempts in order of arrival.
  RunList m_queuedRuns;
  /// Finished and refused attempts, oldest first.
  RunList m_ended;
  /// Highest attempt number evicted for a caller process. Numbers of a process
  /// increase, so an unknown attempt up to this number may have been executed.
  struct EvictionMark
  {
    std::uint64_t m_call{ 0 };
    TimePoint m_updatedAt;
  };
  std::unordered_map<std::uint64_t, EvictionMark> m_evictionMarks;
  std::uint32_t m_running{ 0 };
  std::uint32_t m_queued{ 0 };
  bool m_draining{ false };
  TimePoint m_firstCall{};
  ServiceTimes m_serviceTimes;
  /// Number of worker restarts so far.
  std::uint32_t m_workerIncarnation{ 0 };
  SlownessDetector m_slowness;
  OnTimeLoad m_onTimeLoad;
  SendLimiter m_limiter;
  FairShares m_shares;
  /// OrderSettings() while the limit is the scarce resource.
  DecisionSettings m_limitedOrder;
};

}
