#pragma once

#include "greengagehub/calls/placing.hpp"
#include "greengagehub/calls/retry_budget.hpp"
#include "greengagehub/quarantine/quarantine.hpp"

#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

namespace greengagehub {

/// \brief What a caller asked for, as far as decisions need it.
struct CallPlan
{
  std::string m_service;
  CallClass m_class{ CallClass::Critical };
  bool m_idempotent{ false };
  TimePoint m_deadline;
  CallKind m_kind{};
  /// When an answer stops being as good as an immediate one.
  TimePoint m_target{ TimePoint::max() };
  std::uint32_t m_triesLeft{ 2 };
  /// Price of a crossing between failure domains, as a share of its worth.
  double m_crossing{ 0.0 };
  /// Rank of its route, 0 first.
  std::uint32_t m_priority{ 0 };
  /// Likelihood that it is made for a run that was itself a repeat.
  double m_inherited{ 0.0 };
  Fingerprint m_content{};
};

/// \brief Send attempt `m_attempt` of call `m_call` to a worker's daemon.
struct SendAttempt
{
  std::uint64_t m_call{ 0 };
  std::uint64_t m_attempt{ 0 };
  std::string m_slot;
  std::chrono::microseconds m_timeLeft{ 0 };
  std::chrono::microseconds m_targetLeft{ 0 };
  std::uint32_t m_triesLeft{ 0 };
  /// An earlier attempt has reached a worker.
  bool m_isRepeat{ false };
  /// Whether another worker is to be asked rather than to wait there.
  bool m_refuseIfBusy{ false };
};

/// \brief Ask a worker's daemon to cancel an attempt unless it started.
struct SendCancel
{
  std::uint64_t m_attempt{ 0 };
  std::string m_slot;
  /// Nobody waits for the answer any more.
  bool m_abandon{ false };
};

/// \brief What a worker's daemon said of an attempt in doubt.
enum class AttemptState : std::uint8_t
{
  /// Never started and never will.
  NotStarted,
  /// Started; its answer will come.
  Started,
  /// Started and ended; its answer is lost.
  Lost,
};

/// \brief The final answer to the caller.
struct FinishCall
{
  std::uint64_t m_call{ 0 };
  CallAnswer m_answer;
};

using DispatchAction = std::variant<SendAttempt, SendCancel, FinishCall>;
using DispatchActions = std::vector<DispatchAction>;

/// \brief The caller's side of calls: choice of worker, retries, what may be
/// said when something is lost.
///
/// A worker nearby is asked to refuse rather than to let a call wait, and after
/// two of those it goes to the one that told the shortest wait. Answers the
/// load pattern of many callers and few calls from each: what one knows of a
/// worker is mostly older than its queue, so that all take the same one for the
/// best.
///
/// Where a version is on trial, the call draws once whether it goes there. One
/// that did not stays with the version in service for all its tries, and one
/// that did and failed there goes back to it.
///
/// A call whose content is held is not sent, nor sent again; one under which a
/// worker has ended is sent on once, as long as that is the only end counted
/// against its content.
///
/// A call has one attempt at a time. Another attempt of a call that is not
/// idempotent is made only after the worker's daemon said that the one before
/// did not start. The caller is told "not run" on the same condition.
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

  /// \returns Whether a service other than the own one has had as many repeats
  /// from here as it may get.
  [[nodiscard]] bool AreRepeatsUsedUp(TimePoint aNow,
                                      const std::string& aOwnService) const
  {
    return m_budget.IsUsedUpBeside(aNow, aOwnService);
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

  [[nodiscard]] DispatchActions Begin(TimePoint aNow,
                                      std::uint64_t aCall,
                                      CallPlan aPlan);
  /// \brief An answer came; one of a former attempt is ignored.
  [[nodiscard]] DispatchActions OnAnswer(TimePoint aNow, CallAnswer aAnswer);
  [[nodiscard]] DispatchActions OnCancelResult(TimePoint aNow,
                                               std::uint64_t aAttempt,
                                               AttemptState aState);
  /// \brief The connection to a daemon broke or went silent.
  [[nodiscard]] DispatchActions OnLinkLost(TimePoint aNow,
                                           const std::string& aSlot);
  /// \brief A new connection to the daemon is open. What is in doubt there is
  /// asked about, unless the process is another one, which cannot know.
  [[nodiscard]] DispatchActions OnLinkUp(TimePoint aNow,
                                         const std::string& aSlot,
                                         std::uint64_t aProcess);
  /// \brief The request could not be handed to any connection.
  [[nodiscard]] DispatchActions OnNotSent(TimePoint aNow,
                                          std::uint64_t aAttempt);
  /// \brief The caller hung up.
  [[nodiscard]] DispatchActions OnCallerGone(TimePoint aNow,
                                             std::uint64_t aCall);
  /// \returns When OnTick has something to do next, if ever.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;
  /// \brief Ends calls whose deadline has passed.
  [[nodiscard]] DispatchActions OnTick(TimePoint aNow);
  /// \brief Notes which process an attempt was sent to.
  void SentTo(std::uint64_t aAttempt, std::uint64_t aProcess);

private:
  struct Call
  {
    std::uint64_t m_id{ 0 };
    CallPlan m_plan;
    std::uint64_t m_attempt{ 0 };
    std::string m_slot;
    std::uint64_t m_process{ 0 };
    TimePoint m_sent{};
    std::vector<std::string> m_tried;
    /// Workers that were busy when they were asked.
    std::vector<std::string> m_busy{};
    /// The link was lost and nobody knows yet whether it started.
    bool m_inDoubt{ false };
    /// An attempt of it was sent whose fate nobody knows.
    bool m_mayHaveRun{ false };
    /// An attempt of it was put on a connection to a worker.
    bool m_hasArrived{ false };
    /// Refusals that did not reach a worker, after which it went elsewhere.
    std::uint32_t m_redirects{ 0 };
    /// It has drawn the version that is tried.
    bool m_drewTrial{ false };
    /// Workers that were gone.
    std::uint32_t m_absent{ 0 };
    /// A worker's failure, told if no other worker does better.
    std::optional<CallAnswer> m_fallback{};
  };

  void Try(TimePoint aNow,
           DispatchActions& aOut,
           Call& aCall,
           CallAnswer aElse);
  void Finish(DispatchActions& aOut, Call& aCall, CallAnswer aAnswer);
  void OnWorkersAnswer(TimePoint aNow,
                       DispatchActions& aOut,
                       Call& aCall,
                       CallAnswer aAnswer);
  /// \returns For how long the call's content is held; nothing if it is not.
  [[nodiscard]] std::optional<std::chrono::milliseconds> HeldFor(
    TimePoint aNow,
    const Call& aCall) const;
  /// \returns Whether a worker that ended under it is the first one.
  [[nodiscard]] bool IsFirstEnd(const Call& aCall,
                                const CallAnswer& aAnswer) const;
  [[nodiscard]] bool MayTryAgain(TimePoint aNow,
                                 Call& aCall,
                                 const CallAnswer& aAnswer);
  void EndAttempt(TimePoint aNow,
                  Call& aCall,
                  WorkerTable::Verdict aVerdict,
                  const std::optional<LoadReport>& aReport);
  void RetryOrFinish(TimePoint aNow,
                     DispatchActions& aOut,
                     Call& aCall,
                     CallAnswer aAnswer);
  /// \returns The worker to send it to, if any is left.
  [[nodiscard]] std::optional<WorkerTable::Index> ChooseFor(TimePoint aNow,
                                                            Call& aCall);
  /// \returns The same among those that the rule allows.
  [[nodiscard]] std::optional<WorkerTable::Index>
  ChooseAmong(TimePoint aNow, const Call& aCall, const VersionRule* aRule);
  /// \returns Whether asking a worker first costs little of the time that the
  /// call has, as asking went lately.
  [[nodiscard]] bool IsAskingCheap(TimePoint aNow, const Call& aCall) const;
  [[nodiscard]] Call* ByAttempt(std::uint64_t aAttempt);

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
  /// Moving mean of the time until a worker's daemon says that it is busy.
  Duration m_askTime{ 0 };
};

/// The policy that won on measurement, see docs/design/overload.md.
using Dispatcher = BasicDispatcher<NearestFit>;

}
