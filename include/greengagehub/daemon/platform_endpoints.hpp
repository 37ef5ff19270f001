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
  struct Parts
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const Log& m_log;
    Metrics& m_metrics;
    std::function<bool()> m_isReady;
    /// Number of slots that other workers of the service report, if any is
    /// known.
    std::function<std::optional<std::uint32_t>()> m_typicalSlots;
    /// The state of the local worker has changed.
    std::function<void(const WorkerPresence&)> m_onWorker;
  };

  explicit PlatformEndpoints(Parts aParts);

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
  /// \brief The local worker answered a probe with this id.
  void OnProbed(std::string aId);

private:
  void OnReadiness(const HttpRequest& aRequest, HttpResponder aResponder);
  void OnHeartbeat(const HttpRequest& aRequest, HttpResponder aResponder);
  /// \brief Counts a rejected report and logs the reason.
  void RejectReport(std::string_view aEvent, std::string_view aDetail);
  void PublishChange(WorkerPresence::Change aChange);
  [[nodiscard]] WorkerPresence::Change ApplyReport(const WorkerReport& aReport);

  Parts m_parts;
  WorkerPresence m_worker;
  LogRateLimiter m_rejectionLogBudget;
  HttpServer m_readiness;
  HttpServer m_heartbeats;
};

}
