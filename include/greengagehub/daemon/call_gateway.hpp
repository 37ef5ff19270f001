#pragma once

#include "greengagehub/calls/call_age_estimator.hpp"
#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/link_booking.hpp"
#include "greengagehub/calls/route_table.hpp"
#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/version_times.hpp"
#include "greengagehub/daemon/abandoned_stage.hpp"
#include "greengagehub/daemon/connection_log.hpp"
#include "greengagehub/daemon/descriptor_budget.hpp"
#include "greengagehub/daemon/quarantine_service.hpp"
#include "greengagehub/daemon/request_log.hpp"
#include "greengagehub/daemon/resume_filter.hpp"
#include "greengagehub/daemon/rollout_service.hpp"
#include "greengagehub/daemon/run_service.hpp"
#include "greengagehub/daemon/start_buffer.hpp"
#include "greengagehub/daemon/token_queue.hpp"
#include "greengagehub/daemon/workspace_service.hpp"
#include "greengagehub/http/http_server.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/transport/link_pool.hpp"
#include "greengagehub/transport/link_server.hpp"

#include <asio/steady_timer.hpp>
#include <map>
#include <set>
#include <unordered_map>

namespace greengagehub {

/// \brief Connects the dispatcher to sockets: accepts requests of callers over
/// HTTP and sends attempts over links to other daemons, or directly to the
/// local worker.
class CallGateway
{
public:
  /// References must outlive the gateway.
  struct Dependencies
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const CallDialect& m_dialect;
    const ConfigHolder& m_holder;
    Metrics& m_metrics;
    RequestLog& m_requestLog;
    ConnectionLog& m_connectionLog;
    TrafficMeter& m_traffic;
    QuarantineService& m_quarantine;
    RolloutService& m_rollouts;
    WorkspaceService& m_workspaces;
    std::uint64_t m_process;
    std::function<void(Span)> m_trace;
    std::function<bool()> m_isReady;
    std::function<Version()> m_highestKnownVersion;
    /// A call shows that a newer version is in force at another daemon.
    std::function<void(const std::string& aSlot, Version)> m_onNewerVersion;
    /// See RunService::Dependencies.
    std::function<void(bool aIsLeaving)> m_onWorkerLeaving;
    std::function<void()> m_onWorkerReplaced;
    /// Read on the first call to a service.
    std::function<const MemberTable&()> m_members;
  };

  CallGateway(Dependencies aDependencies, std::uint64_t aSeed);

  [[nodiscard]] std::uint16_t LinkPort() const { return m_server.Port(); }
  [[nodiscard]] std::uint16_t CallsPort() const noexcept
  {
    return m_http.Port();
  }
  [[nodiscard]] std::size_t InFlight() const noexcept
  {
    return m_dispatcher.InFlight();
  }
  [[nodiscard]] const RunTable& Runs() const noexcept
  {
    return m_runService.Runs();
  }
  /// \returns Results of the local worker's runs since ResetCounts().
  [[nodiscard]] WorkerCounts Counts() const { return m_runService.Counts(); }
  void ResetCounts() { m_runService.ResetCounts(); }
  [[nodiscard]] const RunService& GetRunService() const noexcept
  {
    return m_runService;
  }
  [[nodiscard]] const Dispatcher& GetDispatcher() const noexcept
  {
    return m_dispatcher;
  }
  [[nodiscard]] std::size_t Links() const noexcept { return m_pool.Size(); }
  /// \returns Connections that callers may have open now.
  [[nodiscard]] std::size_t MaxCallerConnections() const noexcept
  {
    return m_descriptors.MaxCallers(m_pool.Size() + m_server.Connections());
  }
  [[nodiscard]] const HttpServer& Callers() const noexcept { return m_http; }
  [[nodiscard]] const LinkServer& LinksIn() const noexcept { return m_server; }
  [[nodiscard]] const LinkPacer& Pacer() const noexcept { return m_pacer; }
  /// \returns What holds the bodies of all requests and answers.
  [[nodiscard]] const ByteBudget& Bodies() const noexcept { return *m_bodies; }
  /// \returns Bookings of answers that leave this instance.
  [[nodiscard]] const LinkBooking& LinkOut() const noexcept
  {
    return m_linkOut;
  }
  /// \returns Bookings of answers from other instances.
  [[nodiscard]] const LinkBooking& LinkIn() const noexcept { return m_linkIn; }

  [[nodiscard]] Outcome<std::uint16_t> Open();
  void OnMember(const MemberEvent& aEvent);
  /// \brief Handles a start, a change or the drain of the local worker.
  void OnWorker(const WorkerPresence& aPresence);
  /// \brief Requests the local worker's instance id through its health check,
  /// if the configuration names one.
  void ProbeWorker(RunService::ProbeHandler aDone);
  void OnVersion();
  /// \brief Drops all links, whose unread data is as old as the pause.
  void OnProcessResumed();
  void OnTick(TimePoint aNow);
  void StartDraining();
  /// \brief Stops or resumes the local worker, which has stated that it is
  /// leaving or has been replaced; for workers without heartbeats.
  void SetWorkerLeaving(bool aIsLeaving);
  /// \brief Closes each caller's connection after its next answer; others are
  /// still accepted.
  void CloseAfterAnswers();
  void StopAcceptingRequests();
  /// \brief Answers the calls in flight without a result.
  void EndCalls();
  /// \brief Ends the output of all links; the other daemons close them.
  void FinishLinks();
  /// \brief Logs the connections that are open at the exit of the process.
  void LogOpenConnections() const;
  /// \returns Whether answers have not left for other daemons, or have not been
  /// received by callers.
  [[nodiscard]] bool HasUnsentAnswers() const;
  /// \returns Whether a caller or another daemon is connected.
  [[nodiscard]] bool HasOpenConnections() const;
  /// \returns Connections whose current request is not answered completely.
  [[nodiscard]] std::size_t UnansweredRequests() const noexcept
  {
    return m_http.Busy();
  }

private:
  struct PendingCall
  {
    HttpResponder m_responder;
    CallRequest m_request{};
    std::uint64_t m_connection{ 0 };
    TimePoint m_receivedAt{};
    std::chrono::sys_time<std::chrono::nanoseconds> m_spanStart{};
    std::optional<TraceContext> m_parent{};
    TraceContext m_span{};
    /// The configuration that was active when the call started.
    ActiveConfigPtr m_config{};
    /// Key into m_routeStatistics.
    std::string m_routeKey{};
    std::string m_id{};
    std::string m_workspace{};
    WorkspaceId m_workspaceId{ 0 };
    QuotaReceipt m_receipt{};
    /// Slot of the latest attempt; empty: none.
    std::string m_slot{};
    std::uint32_t m_attempts{ 0 };
    /// Of the answer to the client.
    LinkReservation m_linkOut{};
    /// Of the answer of a worker elsewhere.
    LinkReservation m_linkIn{};
  };
  struct RouteStatistics
  {
    CallAgeEstimator m_age;
    std::uint64_t m_routeHash{ 0 };
    double m_meanAnswerBytes{ 1024.0 };
    /// Moving average of the time until an answer, without refusals.
    Duration m_meanAnswerTime{ 0 };
  };

  void OnCallerRequest(HttpRequest aRequest, HttpResponder aResponder);
  void ReleaseFiltered();
  void ScheduleFilterRelease(TimePoint aWhen);
  /// \brief Routes a request, or buffers it while the daemon starts.
  void RouteRequest(TimePoint aReceivedAt,
                    HttpRequest aRequest,
                    HttpResponder aResponder);
  /// \brief Answers a request for which no call is started.
  void Refuse(
    const HttpRequest& aRequest,
    HttpResponder& aResponder,
    RefusalReason aReason,
    std::chrono::milliseconds aRetryAfter = StartBuffer::kMaxBufferTime,
    const WorkspaceRow* aWorkspace = nullptr);
  void RefuseWithoutRoute(const HttpRequest& aRequest,
                          HttpResponder& aResponder);
  /// \brief Checks key and quota, then starts, queues or refuses the call.
  /// \param aIsNew false for a request from the token queue.
  void Admit(const Route& aRoute,
             const std::string& aService,
             TimePoint aReceivedAt,
             HttpRequest aRequest,
             HttpResponder aResponder,
             bool aIsNew);
  /// \returns Whether the route's target latency has passed, including the time
  /// before arrival, which is estimated from the request's deadline.
  [[nodiscard]] bool IsLate(const Route& aRoute,
                            TimePoint aReceivedAt,
                            const HttpRequest& aRequest);
  void RetryAdmissions();
  /// \brief Serves the buffered requests if the daemon is ready; otherwise
  /// refuses those that have expired.
  void ReleaseStartBuffer(TimePoint aNow);
  void StartCall(const Route& aRoute,
                 const std::string& aService,
                 TimePoint aReceivedAt,
                 const WorkspaceAdmission& aAdmission,
                 HttpRequest aRequest,
                 HttpResponder aResponder);
  /// \returns What the answer to a call asks of this instance's link.
  [[nodiscard]] LinkDemand LinkDemandOf(
    TimePoint aNow,
    const CallPlan& aPlan,
    const RouteStatistics& aStatistics) const;
  /// \brief Refuses a call at once whose answer cannot pass this instance's
  /// link in time, and books the link otherwise.
  /// \returns Until there is room; nothing if the call is accepted.
  [[nodiscard]] std::optional<std::chrono::milliseconds> BookLink(
    TimePoint aNow,
    bool aIsFromThisInstance,
    const LinkDemand& aDemand,
    CallPlan& aPlan,
    PendingCall& aCall);
  void RefuseForLink(PendingCall& aCall, std::chrono::milliseconds aRetryAfter);
  /// \brief Books the link in for the answer to an attempt at another instance.
  void BookLinkIn(PendingCall& aCall, const std::string& aSlot);
  [[nodiscard]] std::string SelectService(const Route& aRoute);
  [[nodiscard]] RouteStatistics& StatisticsOf(const std::string& aKey);
  /// \returns What a call is charged to: its workspace, else that of the local
  /// run that makes it.
  [[nodiscard]] CallShare ShareOf(
    const WorkspaceRow* aWorkspace,
    const std::optional<TraceContext>& aParent) const;
  void Execute(DispatchActions aActions);
  void Execute(const SendAttempt& aAttempt);
  void Execute(const SendCancel& aCancel);
  void Execute(FinishCall& aFinish);
  void OnServerFrame(LinkConnection& aConnection, LinkFrame aFrame);
  /// \brief Drops the queued attempts of a closed link. The next link of the
  /// same process would do so too; there may be none.
  void DropQueuedOf(const LinkConnection& aClosed);
  /// \brief Ends the runs for daemons that can no longer cancel them.
  void EndRunsOfSilentCallers(TimePoint aNow);
  void OnPoolFrame(const std::string& aSlot, LinkFrame aFrame);
  /// \returns Whether a call of another daemon is routed by a version that
  /// should not be in force any more, to a service that the newer version does
  /// not select.
  [[nodiscard]] bool IsMisrouted(const CallRequest& aRequest) const;
  void Deliver(CallKey aKey, CallAnswer aAnswer);
  void OnCallerConnectionClosed(std::uint64_t aConnection);
  /// \returns Whether the client of a request that has waited is gone; the
  /// close of its connection may still be unread.
  [[nodiscard]] bool DiscardIfAbandoned(const HttpRequest& aRequest,
                                        AbandonedStage aStage);
  void CountAbandoned(AbandonedStage aStage);
  /// \brief On a service's first call, adds its workers to the routing table.
  void TrackService(const std::string& aService);
  /// \brief Adds the local worker as it is before its first heartbeat.
  void PutOwnWorker(bool aIsUnavailable);
  void AddOrUpdateWorker(const MemberRecord& aRecord);
  /// \returns A random time of one to two times the given one; keeps refused
  /// callers from retrying together.
  [[nodiscard]] std::chrono::milliseconds WithJitter(
    std::chrono::milliseconds aRetryAfter);
  void RecordSpan(const PendingCall& aCall, const CallAnswer& aAnswer);
  void ArmTimer();
  [[nodiscard]] RetryLimits RetryLimitsNow() const;
  [[nodiscard]] LinkPool::Handlers PoolHandlers();
  [[nodiscard]] LinkServer::Handlers ServerHandlers();

  Dependencies m_deps;
  Random m_random;
  Dispatcher m_dispatcher;
  LinkPacer m_pacer;
  ByteBudget::Pointer m_bodies;
  DescriptorBudget m_descriptors;
  LinkBooking m_linkOut;
  LinkBooking m_linkIn;
  AnswerSizes m_answerSizes;
  RunService m_runService;
  LinkServer m_server;
  LinkPool m_pool;
  HttpServer m_http;
  RouteTable m_routes;
  VersionTimes m_versionTimes;
  /// Services called through this daemon. The routing table holds only their
  /// workers: rows for 38,000 would take 24 MB.
  std::set<std::string, std::less<>> m_trackedServices;
  std::map<std::string, MemberAddress, std::less<>> m_addresses;
  std::map<std::uint64_t, PendingCall> m_pending;
  std::map<std::uint64_t, std::uint64_t> m_latestCallByConnection;
  std::unordered_map<std::string, RouteStatistics> m_routeStatistics;
  std::uint64_t m_lastCall{ 0 };
  asio::steady_timer m_timer;
  std::optional<TimePoint> m_timerExpiry;
  bool m_draining{ false };
  StartBuffer m_startBuffer;
  TokenQueue m_tokenQueue;
  ResumeFilter m_resumeFilter;
  /// End of the latest long pause of this process.
  TimePoint m_resumedAt{};
  asio::steady_timer m_filterTimer;
};

}
