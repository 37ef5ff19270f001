#pragma once

#include "greengagehub/calls/worker_presence.hpp"
#include "greengagehub/http/http_server.hpp"
#include "greengagehub/observe/line_budget.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/observe/metrics.hpp"
#include "greengagehub/settings/settings.hpp"

#include <functional>

namespace greengagehub {

/// \brief Where the platform asks whether this daemon is ready, and where the
/// backend server beside it sends its heartbeats.
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
    /// What other workers of the service run at once, where any is known.
    std::function<std::optional<std::uint32_t>()> m_typicalSlots;
    /// What is believed of the worker changed.
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
  /// \brief The worker was asked and gave this id.
  void OnProbed(std::string aId);

private:
  void OnReadiness(const HttpRequest& aRequest, HttpResponder aResponder);
  void OnHeartbeat(const HttpRequest& aRequest, HttpResponder aResponder);
  /// \brief Counts a report that names no worker, and logs why.
  void Refuse(std::string_view aEvent, std::string_view aDetail);
  void Tell(WorkerPresence::Change aChange);
  [[nodiscard]] WorkerPresence::Change Take(const WorkerReport& aReport);

  Parts m_parts;
  WorkerPresence m_worker;
  LineBudget m_refusalLines;
  HttpServer m_readiness;
  HttpServer m_heartbeats;
};

}
