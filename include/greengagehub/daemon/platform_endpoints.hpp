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
    /// Fewest slots of any other known worker of the service; empty: none.
    std::function<std::optional<std::uint32_t>()> m_minPeerSlots;
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
  /// \brief Handles the instance id that a probe of the local worker returned.
  void OnProbed(std::string aId);
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
  HttpServer m_readiness;
  HttpServer m_heartbeats;
};

}
