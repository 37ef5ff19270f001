#pragma once

#include "greengagehub/calls/call_age.hpp"
#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/route_table.hpp"
#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/daemon/quarantine_keeper.hpp"
#include "greengagehub/daemon/request_log.hpp"
#include "greengagehub/daemon/resume_filter.hpp"
#include "greengagehub/daemon/rollout_keeper.hpp"
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

/// \brief The caller's side of calls, wired to sockets: takes requests over
/// HTTP, has the dispatcher decide, and carries attempts over links, or
/// straight to the own worker.
class CallGateway
{
public:
  struct Parts
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const CallDialect& m_dialect;
    const ConfigHolder& m_holder;
    Metrics& m_metrics;
    RequestLog& m_requests;
    TrafficMeter& m_traffic;
    QuarantineKeeper& m_quarantine;
    RolloutKeeper& m_rollouts;
    WorkspaceService& m_workspaces;
    std::uint64_t m_process;
    std::function<void(Span)> m_trace;
    std::function<bool()> m_isReady;
    /// Everyone known, for filling in a service on its first call.
    std::function<const MemberTable&()> m_members;
  };

  CallGateway(Parts aParts, std::uint64_t aSeed);

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
    return m_service.Runs();
  }
  /// \brief What the own worker did, for who judges its version.
  [[nodiscard]] WorkerCounts Counts() const { return m_service.Counts(); }
  void CountAnew() { m_service.CountAnew(); }
  [[nodiscard]] const Dispatcher& GetDispatcher() const noexcept
  {
    return m_dispatcher;
  }
  [[nodiscard]] std::size_t Links() const noexcept { return m_pool.Size(); }

  [[nodiscard]] Outcome<std::uint16_t> Open();
  void OnMember(const MemberEvent& aEvent);
  /// \brief The own worker came, changed or leaves.
  void OnWorker(const WorkerPresence& aPresence);
  /// \brief Asks the own worker for its id, where the configuration says how.
  void ProbeWorker(std::function<void(std::string)> aDone);
  void OnVersion();
  /// \brief The process was paused: what is unread on its connections is as
  /// old as the pause, and must not be taken for fresh.
  void OnProcessResumed();
  void OnTick(TimePoint aNow);
  void StartLeaving();
  /// \brief Takes no more requests from callers.
  void FinishCallers();
  /// \returns Whether answers wait for their time on this machine's link.
  [[nodiscard]] bool HasUnsentAnswers() const { return m_server.HasUnsent(); }
  /// \returns Callers whose request is not yet answered whole.
  [[nodiscard]] std::size_t WaitingCallers() const noexcept
  {
    return m_http.Busy();
  }

private:
  /// A call whose caller waits.
  struct Waiting
  {
    HttpResponder m_responder;
    CallRequest m_request{};
    std::uint64_t m_connection{ 0 };
    TimePoint m_since{};
    std::chrono::sys_time<std::chrono::nanoseconds> m_start{};
    std::optional<TraceContext> m_parent{};
    TraceContext m_span{};
    /// The version it started with, held until it ends.
    ActiveConfigPtr m_config{};
    /// Key of its route's figures.
    std::string m_route{};
    std::string m_id{};
    std::string m_workspace{};
    /// Where it was sent last, and how often.
    std::string m_slot{};
    std::uint32_t m_sends{ 0 };
  };
  /// What calls of a route have shown.
  struct RouteFigures
  {
    CallAge m_age;
    /// Digest of the route's key.
    std::uint64_t m_route{ 0 };
    /// Moving mean of the answers' bodies.
    double m_answerBytes{ 1024.0 };
  };

  /// \brief A caller's request was read.
  void Take(HttpRequest aRequest, HttpResponder aResponder);
  /// \brief Lets go of what was held after this process stood still.
  void ReleaseFiltered();
  void ReleaseFilteredAt(TimePoint aWhen);
  /// \param aCame when it was read; later than that, it was held.
  void Serve(TimePoint aCame, HttpRequest aRequest, HttpResponder aResponder);
  /// \brief Answers without a call having been made.
  void Refuse(const HttpRequest& aRequest,
              HttpResponder& aResponder,
              RefusalReason aReason,
              std::chrono::milliseconds aRetryAfter = StartBuffer::kHoldTime,
              const WorkspaceRow* aWorkspace = nullptr);
  /// \brief Checks key and quota, and begins the call, holds or refuses it.
  /// \param aIsNew false for a request that has waited for a token.
  void Admit(const Route& aRoute,
             const std::string& aService,
             TimePoint aCame,
             HttpRequest aRequest,
             HttpResponder aResponder,
             bool aIsNew);
  /// \returns Whether the request's target time has passed, as far as its
  /// deadline shows.
  [[nodiscard]] bool IsLate(const Route& aRoute,
                            TimePoint aCame,
                            const HttpRequest& aRequest);
  /// \brief Tries those again that wait for a token.
  void RetryAdmissions();
  /// \brief Serves what came before the daemon was ready, or refuses it.
  void ReleaseHeld(TimePoint aNow);
  void Begin(const Route& aRoute,
             const std::string& aService,
             TimePoint aCame,
             const WorkspaceRow* aWorkspace,
             HttpRequest aRequest,
             HttpResponder aDone);
  [[nodiscard]] std::string ServiceOf(const Route& aRoute);
  [[nodiscard]] RouteFigures& FiguresOf(const std::string& aKey);
  void Carry(const DispatchActions& aActions);
  void Carry(const SendAttempt& aAttempt);
  void Carry(const SendCancel& aCancel);
  void Carry(const FinishCall& aFinish);
  void OnServerFrame(LinkConnection& aConnection, LinkFrame aFrame);
  void OnPoolFrame(LinkFrame aFrame);
  void Deliver(CallKey aKey, CallAnswer aAnswer);
  void OnHungUp(std::uint64_t aConnection);
  void WantService(const std::string& aService);
  void PutWorker(const MemberRecord& aRecord);
  /// \returns Up to twice the span: those refused together must not come back
  /// together.
  [[nodiscard]] std::chrono::milliseconds Spread(
    std::chrono::milliseconds aRetryAfter);
  void TraceEnd(const Waiting& aCall, const CallAnswer& aAnswer);
  void Arm();
  [[nodiscard]] RetryLimits RetryLimitsNow() const;
  [[nodiscard]] LinkPool::Handlers PoolHandlers();
  [[nodiscard]] LinkServer::Handlers ServerHandlers();

  Parts m_parts;
  Random m_random;
  Dispatcher m_dispatcher;
  LinkPacer m_pacer;
  RunService m_service;
  LinkServer m_server;
  LinkPool m_pool;
  HttpServer m_http;
  RouteTable m_routes;
  /// Services that were called through this daemon. Only their workers are
  /// kept for routing: rows for all 38,000 would take 24 MB of the 64.
  std::set<std::string, std::less<>> m_services;
  std::map<std::string, MemberAddress, std::less<>> m_addresses;
  std::map<std::uint64_t, Waiting> m_waiting;
  /// Calls by the caller's connection, to notice that it hung up.
  std::map<std::uint64_t, std::uint64_t> m_byConnection;
  std::unordered_map<std::string, RouteFigures> m_figures;
  std::uint64_t m_lastCall{ 0 };
  asio::steady_timer m_timer;
  std::optional<TimePoint> m_armed;
  bool m_leaving{ false };
  StartBuffer m_starting;
  TokenQueue m_awaitingTokens;
  ResumeFilter m_resumeFilter;
  asio::steady_timer m_filterTimer;
};

}
