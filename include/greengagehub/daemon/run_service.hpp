#pragma once

#include "greengagehub/calls/link_booking.hpp"
#include "greengagehub/calls/retry_budget.hpp"
#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/calls/worker_presence.hpp"
#include "greengagehub/calls/worker_signals.hpp"
#include "greengagehub/core/link_pacer.hpp"
#include "greengagehub/daemon/request_log.hpp"
#include "greengagehub/http/backend_client.hpp"
#include "greengagehub/observe/metrics.hpp"
#include "greengagehub/observe/span.hpp"
#include "greengagehub/quarantine/crash_detector.hpp"
#include "greengagehub/quarantine/quarantine.hpp"
#include "greengagehub/rollout/rollout.hpp"
#include "greengagehub/settings/settings.hpp"

#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>

namespace greengagehub {

/// \brief Runs attempts at the local worker in the order of the run table and
/// answers them.
class RunService
{
public:
  using AnswerHandler = std::function<void(CallKey, CallAnswer)>;
  using SpanHandler = std::function<void(Span)>;
  /// \returns Whether the id is that of the worker that runs are sent to.
  using ProbeHandler = std::function<bool(const std::string& aId)>;

  /// References must outlive the service.
  struct Dependencies
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const CallDialect& m_dialect;
    Metrics& m_metrics;
    RequestLog& m_requestLog;
    const Quarantine& m_quarantine;
    const RolloutTable& m_rollouts;
    std::uint64_t m_seed;
    /// Sends an answer to the caller's daemon.
    AnswerHandler m_deliver;
    SpanHandler m_trace;
    /// Called after a crash of the worker with the runs that it interrupted.
    std::function<void(CrashReport)> m_onCrash;
    /// Called when a run was answered without a server error.
    std::function<void(Fingerprint)> m_onSuccess;
    /// Whether the retry budget allows another retried run, with the calls that
    /// it makes.
    std::function<bool(TimePoint)> m_mayRunRetry;
    /// Version of the configuration in force.
    std::function<Version()> m_version;
    /// Whether the caller's daemon has selected the service by a version that
    /// should not be in force anywhere, and the newer one selects another.
    std::function<bool(const CallRequest&)> m_isMisrouted{};
    /// Called when the worker states that it is leaving, before the response is
    /// delivered, and where no heartbeats are sent, when another one has taken
    /// its place.
    std::function<void(bool aIsLeaving)> m_onLeaving{};
    /// Called when another process answers at the worker's address.
    std::function<void()> m_onReplaced{};
    /// nullptr: the network link of this instance is not paced or booked.
    const LinkPacer* m_pacer{ nullptr };
    /// Bookings of the link out.
    LinkBooking* m_linkOut{ nullptr };
    /// Holds the bodies of answers.
    ByteBudget::Pointer m_bodies{};
    /// Process number of this daemon, whose own calls' answers leave by its
    /// HTTP server.
    std::uint64_t m_process{ 0 };
  };

  explicit RunService(Dependencies aDependencies);

  [[nodiscard]] const RunTable& Runs() const noexcept { return m_runs; }

  void OnRequest(CallKey aKey, std::uint64_t aEpoch, CallRequest aRequest);
  /// \param aAbandon the answer is not needed, even if the run has started.
  /// \returns The state of the attempt: Running also if its kept answer was
  /// sent again, Finished if its answer is lost.
  [[nodiscard]] CancelResult OnCancel(CallKey aKey, bool aAbandon);
  /// \brief Drops the queued attempts from older connections of a process.
  void OnEpoch(std::uint64_t aProcess, std::uint64_t aEpoch);
  /// \brief Ends the idempotent runs for other daemons that are gone.
  void EndRunsOf(const std::function<bool(std::uint64_t aProcess)>& aIsGone);
  /// \brief Sets the limit of answers whose length is announced.
  void SetMaxAnnouncedBytes(std::size_t aBytes) noexcept
  {
    m_client.SetMaxAnnouncedBytes(aBytes);
  }
  void StartDraining();
  /// \brief Accepts runs again after StartDraining().
  void StopDraining() { m_runs.Reopen(); }
  /// \brief Refuses queued runs whose wait has become too long.
  void OnTick(TimePoint aNow);
  /// Runs start only after the first heartbeat and until the worker drains.
  void OnWorker(const WorkerPresence& aPresence);
  /// \returns What the run with this span is charged to; nothing if no such
  /// run is in progress.
  [[nodiscard]] CallShare ShareOfRun(const TraceContext& aSpan) const;
  [[nodiscard]] double RetriedRunShareAt(TimePoint aNow) const
  {
    return m_retriedRuns.At(aNow);
  }
  /// \returns Results of runs since ResetCounts(); the version is empty while
  /// it is unknown.
  [[nodiscard]] WorkerCounts Counts() const;
  /// \returns ID of the worker; empty where it is not known.
  [[nodiscard]] const std::string& WorkerId() const noexcept
  {
    return m_incarnation.m_id;
  }
  /// \returns What the current incarnation stated in its latest response.
  [[nodiscard]] const WorkerSignals& Signals() const noexcept
  {
    return m_signals;
  }
  void ResetCounts() { m_runCounter.Clear(); }
  /// \brief Requests the worker's instance id through its health check.
  /// \param aDone called with the id if the check succeeds and returns one.
  void Probe(const std::string& aPath, ProbeHandler aDone);

private:
  /// A queued or running attempt.
  struct ActiveRun
  {
    CallRequest m_request;
    Fingerprint m_fingerprint;
    TimePoint m_deadline;
    /// 0 while the attempt is queued.
    BackendClient::Ticket m_ticket{ 0 };
    TimePoint m_startedAt;
    std::chrono::sys_time<std::chrono::nanoseconds> m_spanStart;
    std::optional<TraceContext> m_parent;
    TraceContext m_span;
    /// Value of m_workerStarts when the request was sent.
    std::uint32_t m_workerStart{ 0 };
    /// Of the connection that the request came by.
    std::uint64_t m_epoch{ 0 };
    LinkReservation m_linkOut{};
  };
  /// An answer that can be delivered again after a lost connection.
  struct KeptAnswer
  {
    CallKey m_key;
    CallAnswer m_answer;
    TimePoint m_finishedAt;
  };

  /// \returns Whether the answer leaves by a link to another daemon whose
  /// bookings are kept.
  [[nodiscard]] bool UsesLink(CallKey aKey) const noexcept
  {
    return m_deps.m_linkOut != nullptr && aKey.m_process != m_deps.m_process;
  }
  [[nodiscard]] LinkDemand LinkDemandOf(TimePoint aNow,
                                        const CallRequest& aRequest) const;
  [[nodiscard]] Duration LinkBacklog(TimePoint aNow) const noexcept;
  /// \returns Time from the end of a run until another such answer would have
  /// left the link.
  [[nodiscard]] Duration LinkWaitOf(TimePoint aNow,
                                    const CallRequest& aRequest) const;
  /// \brief Refuses a run whose answer the link has no room for in time.
  /// \returns Whether it was refused.
  [[nodiscard]] bool RefuseForBusyLink(TimePoint aNow,
                                       CallKey aKey,
                                       const CallRequest& aRequest);
  struct Refusal
  {
    RefusalReason m_reason{ RefusalReason::None };
    std::chrono::milliseconds m_retryAfter{ 0 };
  };

  void StartRun(CallKey aKey);
  /// \brief Ends a run without an answer if it may be repeated.
  void EndRepeatableRun(CallKey aKey);
  /// \returns Nothing if a request with the fingerprint may run.
  [[nodiscard]] std::optional<Refusal> CheckRefusal(
    TimePoint aNow,
    Fingerprint aFingerprint) const;
  void CountResult(const ActiveRun& aRun, const CallAnswer& aAnswer);
  void RefuseRun(TimePoint aNow,
                 CallKey aKey,
                 const CallRequest& aRequest,
                 Fingerprint aFingerprint,
                 const Refusal& aRefusal);
  void OnBackendResult(CallKey aKey, BackendResult aResult);
  /// \brief Reports bytes that are no response, if there are any.
  /// \param aId of the request; empty for a health check.
  void ReportFault(const BackendResult& aResult, std::string_view aId);
  /// \brief Applies what the backend server states about itself in the
  /// response to a run.
  void ApplySignals(const ActiveRun& aRun, const HttpResponse& aResponse);
  /// \brief Reports that another process rejected a request that was meant for
  /// the current incarnation.
  void CheckReplaced(const ActiveRun& aRun, const HttpResponse& aResponse);
  /// \param aSentAt when the request of the response was sent.
  void ApplySignals(TimePoint aSentAt, const WorkerSignals& aSignals);
  /// \brief Adopts the limit that the caller's daemon knows, if this one has
  /// started since.
  void ApplyKnownStatement(const WorkerStatement& aStatement);
  /// \returns What the worker has stated, for callers' daemons.
  [[nodiscard]] WorkerStatement Statement() const;
  /// \brief Without heartbeats: accepts runs again after a worker that was
  /// leaving has exited and its port is open again.
  void CheckWorkerReturn(TimePoint aNow);
  void OnWorkerReturned();
  /// \returns Whether it is a success without the signature header, which the
  /// backend server did not send.
  [[nodiscard]] bool IsUnsigned(const HttpResponse& aResponse) const;
  [[nodiscard]] CallAnswer AnswerFrom(CallKey aKey,
                                      BackendResult aResult,
                                      bool aIsIdempotent);
  [[nodiscard]] CallAnswer AnswerFrom(CallKey aKey, HttpResponse aResponse);
  void Execute(const RunActions& aActions);
  /// \brief Adds the state of the worker to an answer and sends it.
  void Deliver(CallKey aKey, const CallRequest& aRequest, CallAnswer aAnswer);
  /// \brief Discards the connections and run times of the previous incarnation
  /// if this is another one.
  void OnIncarnation(const WorkerIncarnation& aIncarnation,
                     TimePoint aPreviousLastReport);
  void OnNewIncarnation();
  /// \brief Checks whether the worker exited when it closed a connection.
  /// \param aConnectedAt when the lost connection was established.
  void CheckWorkerAfterLoss(CallKey aKey, TimePoint aConnectedAt);
  void OnListenCheck(bool aIsPortClosed);
  void FinishLostRun(CallKey aKey, bool aWorkerCrashed);
  /// \brief Removes a run, logs and counts its result, and delivers the answer.
  void FinishRun(CallKey aKey, CallAnswer aAnswer);
  /// \brief Keeps the answer of a call that must not run again.
  void KeepAnswer(CallKey aKey, const CallAnswer& aAnswer);
  /// \brief Drops kept answers that are too old or too many.
  void DropKeptAnswers(TimePoint aNow);
  [[nodiscard]] std::string_view RequestIdOf(const CallRequest& aRequest) const;
  /// \returns Nothing for a call without workspace.
  [[nodiscard]] std::optional<RequestLog::ShareUse> UseFor(
    const CallRequest& aRequest) const;
  [[nodiscard]] RequestLog::WorkerState WorkerStateFor(
    const CallRequest& aRequest) const;
  void RecordSpan(const ActiveRun& aRun, const CallAnswer& aAnswer);
  void ArmTimer();

  Dependencies m_deps;
  Random m_random;
  RunTable m_runs;
  RetriedRunShare m_retriedRuns;
  BackendClient m_client;
  CrashDetector m_crashDetector;
  RunCounter m_runCounter;
  /// Version of the worker's software; empty: unknown.
  std::string m_version;
  TimePoint m_warmUpEnd{};
  /// Runs that wait for the result of the listen check.
  std::vector<CallKey> m_lostRuns;
  /// Incarnation of the worker that requests are sent to; without id: any.
  WorkerIncarnation m_incarnation;
  /// 0: not known.
  IncarnationTag m_incarnationTag{ 0 };
  /// Number of incarnations seen.
  std::uint32_t m_workerStarts{ 0 };
  WorkerSignals m_signals;
  /// Set while a worker without heartbeats is leaving.
  struct Departure
  {
    TimePoint m_since;
    TimePoint m_nextCheck;
    bool m_hasExited{ false };
  };
  std::optional<Departure> m_departure;
  bool m_hasWorker;
  std::map<CallKey, ActiveRun> m_activeRuns;
  AnswerSizes m_answerSizes;
  std::deque<KeptAnswer> m_keptAnswers;
  std::size_t m_keptBytes{ 0 };
  asio::steady_timer m_timer;
  std::optional<TimePoint> m_timerExpiry;
};

}
