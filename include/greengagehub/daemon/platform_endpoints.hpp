#pragma once

#include "greengagehub/calls/worker_presence.hpp"
#include "greengagehub/http/http_server.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/observe/log_rate_limiter.hpp"
#include "greengagehub/observe/metrics.hpp"
#include "greengagehub/settings/settings.hpp"

#include <functional>

namespace greengagehub {

/// \brief HTTP endpoints for the platform's readiness checks and for heartbeats
/// of the local backend server.
class PlatformEndpoints
{
public:
  struct Dependencies
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const Log& m_log;
    Metrics& m_metrics;
    std::function<bool()> m_isReady;
    std::function<void(const WorkerPresence&)> m_onWorker;
  };

  explicit PlatformEndpoints(Dependencies aDependencies);

  [[nodiscard]] const WorkerPresence& Worker() const noexcept
  {
    return m_worker;
  }
  [[nodiscard]] std::uint16_t ReadinessPort() const noexcept
  {
    return m_readiness.Port();
  }
  [[nodiscard]] std::uint16_t HeartbeatsPort() const noexcept
  {
    return m_heartbeats.Port();
  }

  [[nodiscard]] Outcome<std::uint16_t> Open();
  /// \brief Accepts no further probes and reports, and answers those that have
  /// arrived.
  void Finish();
  [[nodiscard]] bool HasOpenConnections() const noexcept
  {
    return m_readiness.Connections() + m_heartbeats.Connections() > 0;
  }
  /// \returns Whether a health check of the local worker is to be sent now: it
  /// is not known yet, or a report contradicts what is known.
  [[nodiscard]] bool TakeHealthCheck(TimePoint aNow);
  /// \brief Handles the instance id that a health check returned.
  /// \returns Whether it is the id of the known worker.
  bool OnProbed(const std::string& aId);
  /// \brief Handles what a peer knows of the worker of an earlier process.
  void OnPreviousWorker(PreviousWorker aWorker);
  /// \brief Handles a response of another process at the worker's address.
  void OnWorkerReplaced();
  /// \brief Handles a response in which the local worker states that it is
  /// leaving.
  void OnWorkerLeaving();

private:
  void OnReadiness(const HttpRequest& aRequest, HttpResponder aResponder);
  void OnHeartbeat(const HttpRequest& aRequest, HttpResponder aResponder);
  void RejectReport(std::string_view aEvent, std::string_view aDetail);
  void PublishChange(WorkerPresence::Change aChange);
  [[nodiscard]] WorkerPresence::Change ApplyReport(const WorkerReport& aReport);

  Dependencies m_deps;
  WorkerPresence m_worker;
  LogRateLimiter m_rejectionLogBudget;
  /// Health checks sent before the worker was known.
  int m_firstChecks{ 0 };
  bool m_isContradicted{ false };
  TimePoint m_nextContradiction{};
  HttpServer m_readiness;
  HttpServer m_heartbeats;
};

}
