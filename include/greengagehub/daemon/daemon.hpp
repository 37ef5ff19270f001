#pragma once

#include "greengagehub/daemon/call_gateway.hpp"
#include "greengagehub/daemon/control_plane.hpp"
#include "greengagehub/daemon/drain_sequence.hpp"
#include "greengagehub/daemon/operators_api.hpp"
#include "greengagehub/daemon/platform_endpoints.hpp"
#include "greengagehub/daemon/request_log.hpp"
#include "greengagehub/daemon/spin_budget.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace greengagehub {

/// \brief The daemon process: all services on one event loop.
class Daemon
{
public:
  /// \param aFile path of the settings; read again on SIGHUP.
  Daemon(Settings aSettings, std::string aFile);

  /// \returns The exit code of the process: 0 after a clean drain.
  [[nodiscard]] int Run();

private:
  void Tick();
  [[nodiscard]] DescriptorFailures Failures() const;
  void LogTrafficWhenDue(TimePoint aNow);
  void RunLoop();
  void Spin();
  void AwaitReload();
  /// \brief Applies the settings that may change at run time.
  void Reload();
  void StartDrain();
  /// \brief Advances the drain, and again after a short time.
  void ContinueDrain();
  void BeginDrainStage(DrainStage aStage);
  [[nodiscard]] DrainObservation ObserveDrain() const;
  void EndDrain(bool aClean);
  void DrainWorker();
  void ProbeWorkerWhenDue(TimePoint aNow);
  void LogListening();
  [[nodiscard]] Outcome<std::uint16_t> Open();
  void OnWorker(const WorkerPresence& aPresence);
  void OnPreviousWorker(const WorkerDescription& aWorker);
  /// \param aIsLeaving false: another worker without heartbeats has taken its
  /// place.
  void OnWorkerLeaving(bool aIsLeaving);
  [[nodiscard]] const CallDialect& Dialect() const noexcept;

  std::string m_settingsPath;
  Settings m_settings;
  Log m_log;
  RequestLog m_requestLog;
  Metrics m_metrics;
  ConnectionLog m_connectionLog;
  asio::io_context m_loop{ 1 };
  std::uint64_t m_process;
  Random m_random;
  TrafficMeter m_traffic;
  ControlPlane m_control;
  CallGateway m_calls;
  OperatorsApi m_operators;
  std::optional<PlatformEndpoints> m_platform;
  asio::signal_set m_drainSignals;
  asio::signal_set m_reloadSignals;
  asio::steady_timer m_tickTimer;
  SpinBudget m_spin;
  TimePoint m_nextTrafficLog{};
  TimePoint m_lastTick{};
  std::chrono::nanoseconds m_lastBootTime{};
  bool m_isDraining{ false };
  bool m_wasReady{ false };
  bool m_isWorkerDraining{ false };
  TimePoint m_nextProbe{};
  std::optional<DrainSequence> m_drain;
  asio::steady_timer m_drainTimer;
  int m_exitCode{ 0 };
};

}
