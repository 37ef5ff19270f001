#pragma once

#include "greengagehub/calls/fair_shares.hpp"
#include "greengagehub/calls/placement.hpp"
#include "greengagehub/calls/retry_budget.hpp"
#include "greengagehub/quarantine/quarantine.hpp"

#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace greengagehub {

/// \brief The properties of a call that its dispatch depends on.
struct CallPlan
{
  std::string m_service;
  CallClass m_class{ CallClass::Critical };
  bool m_idempotent{ false };
  TimePoint m_deadline;
  CallKind m_kind{};
  /// Latency target; an answer before it is worth no more than one at it.
  TimePoint m_target{ TimePoint::max() };
  /// Retries that the call and the calls made for it may still use.
  std::uint32_t m_retriesLeft{ 2 };
  /// Cost of crossing between failure domains, as a share of the call's value.
  double m_crossingCost{ 0.0 };
  /// Rank of the call's route, 0 highest.
  std::uint32_t m_priority{ 0 };
  /// Probability that the call is made by a retried run.
  double m_retriedRunProbability{ 0.0 };
  Fingerprint m_fingerprint{};
  CallShare m_share{};
  /// Time that the answer of a worker elsewhere takes into this instance; zero
  /// if it is small.
  Duration m_remoteTransfer{ 0 };
};

/// \brief Send attempt `m_attempt` of call `m_call` to a worker's daemon.
struct SendAttempt
{
  std::uint64_t m_call{ 0 };
  std::uint64_t m_attempt{ 0 };
  std::string m_slot;
  std::chrono::microseconds m_timeLeft{ 0 };
  std::chrono::microseconds m_targetLeft{ 0 };
  std::uint32_t m_retriesLeft{ 0 };
  /// Whether an earlier attempt reached a worker.
  bool m_isRetry{ false };
  bool m_refuseIfBusy{ false };
  /// The worker's limit, if known.
  WorkerStatement m_knownStatement{};
};

/// \brief Ask a worker's daemon to cancel an attempt that hasn't started.
struct SendCancel
{
  std::uint64_t m_attempt{ 0 };
  std::string m_slot;
  /// The answer is no longer needed.
  bool m_abandon{ false };
  /// The deadline of the call.
  TimePoint m_until{};
};

/// \brief State of an attempt, as reported by the worker's daemon.
enum class AttemptState : std::uint8_t
{
  /// Did not start and never will.
  NotStarted,
  /// Started; the answer will follow.
  Started,
  /// Ended, but the answer is lost.
  Lost,
};

/// \brief Deliver the final answer to the caller.
struct FinishCall
{
  std::uint64_t m_call{ 0 };
  CallAnswer m_answer;
};

using DispatchAction = std::variant<SendAttempt, SendCancel, FinishCall>;
using DispatchActions = std::vector<DispatchAction>;

/// \brief The caller's side of calls: selects workers, retries attempts, and
/// determines the outcome when a connection is lost.
///
/// A call has one attempt at a time. It is reported as "not run", or retried
/// although it isn't idempotent, only if the worker's daemon confirmed that the
/// previous attempt did not start.
///
/// Busy workers in the own failure domain are asked to refuse a call instead of
/// queueing it, as load reports are often older than the queue they describe.
/// After `m_maxBusyReplies` such refusals the call may wait at any worker.
///
/// A worker that refused a call because of its own limit gets no other until
/// there is room again. A call for which all workers are at their limits is
/// refused at once.
///
/// A call that a worker's daemon refused for its network link is sent to
/// another worker only if that one is known to have room.
///
/// During a roll-out, a call is assigned at random to the canary or to the
/// version in service. An attempt that failed at the canary is retried at the
/// version in service, never the other way round.
///
/// A call with a quarantined fingerprint isn't sent. A call during which a
/// worker crashed is retried only if no other crash counts against its
/// fingerprint.
template<RoutingPolicy Policy>
class BasicDispatcher
{
public:
  explicit BasicDispatcher(std::uint64_t aSeed);

  [[nodiscard]] WorkerTable& Workers() noexcept { return m_workers; }
  [[nodiscard]] const WorkerTable& Workers() const noexcept
  {
    return m_workers;
  }
  [[nodiscard]] std::size_t InFlight() const noexcept { return m_calls.size(); }

  [[nodiscard]] bool AreRetriesUsedUp(TimePoint aNow,
                                      const std::string& aOwnService) const
  {
    return m_budget.IsOtherServiceExhausted(aNow, aOwnService);
  }

  [[nodiscard]] Policy& Routing() noexcept { return m_policy; }

  void SetRetryLimits(RetryLimits aLimits) noexcept
  {
    m_budget.SetLimits(aLimits);
  }

  /// \param aQuarantine outlives the dispatcher.
  void SetQuarantine(const Quarantine& aQuarantine) noexcept
  {
    m_quarantine = &aQuarantine;
  }

  /// \param aRollouts outlives the dispatcher.
  void SetRollouts(const RolloutTable& aRollouts) noexcept
  {
    m_rollouts = &aRollouts;
  }

  void SetDecisions(const DecisionSettings& aDecisions) noexcept
  {
    m_decisions = aDecisions;
    m_workers.SetDecisions(aDecisions);
    if constexpr (requires { m_policy.m_decisions; }) {
      m_policy.m_decisions = aDecisions;
    }
  }

  /// \param aCall id that the caller assigns, unique among calls in flight.
  [[nodiscard]] DispatchActions Begin(TimePoint aNow,
                                      std::uint64_t aCall,
                                      CallPlan aPlan);
  /// \brief Ignores an answer to an earlier attempt.
  [[nodiscard]] DispatchActions OnAnswer(TimePoint aNow, CallAnswer aAnswer);
  [[nodiscard]] DispatchActions OnCancelResult(TimePoint aNow,
                                               std::uint64_t aAttempt,
                                               AttemptState aState);
  [[nodiscard]] DispatchActions OnLinkLost(TimePoint aNow,
                                           const std::string& aSlot);
  /// \brief Queries the state of attempts in doubt, unless the daemon has
  /// restarted and lost it.
  [[nodiscard]] DispatchActions OnLinkUp(TimePoint aNow,
                                         const std::string& aSlot,
                                         std::uint64_t aProcess);
  /// \brief Handles a request that no connection could accept.
  [[nodiscard]] DispatchActions OnSendFailed(TimePoint aNow,
                                             std::uint64_t aAttempt);
  [[nodiscard]] DispatchActions OnCallerDisconnected(TimePoint aNow,
                                                     std::uint64_t aCall);
  /// \returns When OnTick() is due; nothing if no call is in flight.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const
  {
    return m_deadlines.empty() ? std::nullopt
                               : std::optional{ m_deadlines.begin()->m_at };
  }
  /// \brief Finishes calls whose deadline has passed.
  [[nodiscard]] DispatchActions OnTick(TimePoint aNow)
  {
    return Expire(aNow, aNow);
  }
  /// \brief Ends all calls as if their deadlines had passed.
  [[nodiscard]] DispatchActions EndAll(TimePoint aNow)
  {
    return Expire(aNow, TimePoint::max());
  }
  /// \brief Records the daemon process that an attempt was sent to.
  void RecordProcess(std::uint64_t aAttempt, std::uint64_t aProcess);

private:
  struct Call
  {
    std::uint64_t m_id{ 0 };
    CallPlan m_plan;
    std::uint64_t m_attempt{ 0 };
    std::string m_slot;
    std::uint64_t m_process{ 0 };
    TimePoint m_sentAt{};
    std::vector<std::string> m_tried;
    std::vector<std::string> m_busySlots{};
    /// The connection was lost and the state of the attempt is unknown.
    bool m_inDoubt{ false };
    bool m_mayHaveRun{ false };
    /// An attempt was written to a connection to a worker.
    bool m_hasReachedWorker{ false };
    /// Refusals by daemons before the call reached a worker.
    std::uint32_t m_redirects{ 0 };
    bool m_isAssignedToCanary{ false };
    std::uint32_t m_unavailableAttempts{ 0 };
    /// A server error, returned to the caller if no retry succeeds.
    std::optional<CallAnswer> m_fallback{};
  };

  /// \brief Sends an attempt, or finishes the call with `aPrevious` if no
  /// worker is left.
  void StartAttempt(TimePoint aNow,
                    DispatchActions& aOut,
                    Call& aCall,
                    CallAnswer aPrevious);
  void Finish(DispatchActions& aOut, Call& aCall, CallAnswer aAnswer);
  /// \brief Finishes the calls with a deadline up to a time.
  [[nodiscard]] DispatchActions Expire(TimePoint aNow, TimePoint aUntil);
  void OnWorkerAnswer(TimePoint aNow,
                      DispatchActions& aOut,
                      Call& aCall,
                      CallAnswer aAnswer);
  /// \returns Nothing if the call isn't quarantined.
  [[nodiscard]] std::optional<std::chrono::milliseconds> QuarantineTimeLeft(
    TimePoint aNow,
    const Call& aCall) const;
  /// \returns Whether no other crash counts against the call's fingerprint.
  [[nodiscard]] bool IsFirstCrash(const Call& aCall,
                                  const CallAnswer& aAnswer) const;
  /// \brief Records a granted retry in the call and the budget.
  [[nodiscard]] bool MayRetry(TimePoint aNow,
                              Call& aCall,
                              const CallAnswer& aAnswer);
  /// \brief Cancels the current attempt, whose answer is no longer needed.
  void Abandon(DispatchActions& aOut, const Call& aCall) const;
  void EndAttempt(TimePoint aNow,
                  Call& aCall,
                  WorkerTable::Verdict aVerdict,
                  const std::optional<LoadReport>& aReport);
  void RetryOrFinish(TimePoint aNow,
                     DispatchActions& aOut,
                     Call& aCall,
                     CallAnswer aAnswer);
  [[nodiscard]] std::optional<WorkerTable::Index> SelectWorker(TimePoint aNow,
                                                               Call& aCall);
  [[nodiscard]] std::optional<WorkerTable::Index> SelectWorkerByRule(
    TimePoint aNow,
    const Call& aCall,
    const VersionRule* aRule);
  /// \returns Whether a busy reply takes little of the call's time, judging by
  /// recent ones.
  [[nodiscard]] bool IsBusyReplyFast(TimePoint aNow, const Call& aCall) const;
  [[nodiscard]] Call* FindByAttempt(std::uint64_t aAttempt);

  struct Deadline
  {
    TimePoint m_at;
    std::uint64_t m_call{ 0 };
    [[nodiscard]] auto operator<=>(const Deadline&) const noexcept = default;
  };

  DecisionSettings m_decisions{};
  const Quarantine* m_quarantine{ nullptr };
  const RolloutTable* m_rollouts{ nullptr };
  Random m_random;
  Policy m_policy;
  WorkerTable m_workers;
  RetryBudget m_budget;
  std::unordered_map<std::uint64_t, Call> m_calls;
  std::unordered_map<std::uint64_t, std::uint64_t> m_attempts;
  std::set<Deadline> m_deadlines;
  std::uint64_t m_lastAttempt{ 0 };
  /// Moving average.
  Duration m_busyReplyTime{ 0 };
};

/// See docs/design/overload.md for a comparison of the policies.
using Dispatcher = BasicDispatcher<LowestExpectedLoss>;

}
