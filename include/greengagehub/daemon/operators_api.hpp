#pragma once

#include "greengagehub/daemon/call_gateway.hpp"
#include "greengagehub/daemon/control_plane.hpp"
#include "greengagehub/http/http_server.hpp"

#include <functional>

namespace greengagehub {

/// \brief The operators' HTTP API: patches, decisions, versions, status,
/// health and metrics, as JSON.
///
/// | request                 | answer                             |
/// |-------------------------|------------------------------------|
/// | POST /v1/patches        | the decision: 200, or 409 rejected |
/// | GET /v1/patches/ID      | the recorded decision, 404 if none |
/// | GET /v1/version         | version here, and lowest in fleet  |
/// | GET /v1/config          | the configuration in force here    |
/// | GET /v1/changes?after=N | patches accepted after N, if kept  |
/// | GET /v1/status          | members, calls, store              |
/// | GET /v1/quarantine      | quarantined requests and crashes   |
/// | POST /v1/quarantine/lift?content=HEX | lifts a quarantine    |
/// | GET /v1/rollouts        | roll-outs and their evidence       |
/// | POST /v1/rollouts/start?service=S&target=V&duration_ms=N | starts one |
/// | POST /v1/rollouts/stop?service=S | rolls one back            |
/// | POST /v1/drain          | starts to drain                    |
/// | GET /healthz, /readyz   | alive; ready for calls             |
/// | GET /metrics            | Prometheus text                    |
class OperatorsApi
{
public:
  struct Dependencies
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    ControlPlane& m_control;
    CallGateway& m_calls;
    Metrics& m_metrics;
    const TrafficMeter& m_traffic;
    std::function<void()> m_startDrain;
  };

  explicit OperatorsApi(Dependencies aDependencies);

  [[nodiscard]] std::uint16_t Port() const noexcept { return m_http.Port(); }
  [[nodiscard]] Outcome<std::uint16_t> Open() { return m_http.Open(); }
  /// \brief Accepts no further requests and answers those that have arrived.
  void Finish() { m_http.Finish(); }
  /// \returns Connections that are not answered completely, after Finish().
  [[nodiscard]] std::size_t Unanswered() const noexcept
  {
    return m_http.Busy();
  }
  [[nodiscard]] bool HasOpenConnections() const noexcept
  {
    return m_http.Connections() > 0;
  }

private:
  void OnHttp(const HttpRequest& aRequest, HttpResponder aResponder);
  void OnGet(const HttpRequest& aRequest, HttpResponder aResponder);
  void OnPost(const HttpRequest& aRequest, HttpResponder aResponder);
  void Submit(const HttpRequest& aRequest, HttpResponder aResponder);
  void FindDecision(std::string aId, HttpResponder aResponder);
  [[nodiscard]] bool IsAuthorised(const HttpRequest& aRequest) const;
  [[nodiscard]] HttpResponse VersionStatus(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Changes(const HttpRequest& aRequest) const;
  [[nodiscard]] HttpResponse Status() const;
  /// \returns What the own backend server and those called have stated.
  [[nodiscard]] HttpResponse Limits() const;
  /// \returns Use of the own backend server by workspace.
  [[nodiscard]] HttpResponse Shares() const;
  /// \returns The longest mean time of attempts outside a worker's daemon, of
  /// those measured in the last 3 s; 0 without any.
  [[nodiscard]] std::chrono::duration<double> LongestTransit(
    TimePoint aNow) const;
  void SetLinkGauges() const;
  void SetConnectionGauges() const;
  [[nodiscard]] HttpResponse Quotas() const;
  void SetQuotaMetrics(Metrics& aMetrics) const;
  [[nodiscard]] HttpResponse QuarantinedRequests() const;
  [[nodiscard]] HttpResponse LiftQuarantine(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Rollouts() const;
  [[nodiscard]] HttpResponse StartRollout(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse StopRollout(const HttpRequest& aRequest);
  void SetVersionMetrics();
  [[nodiscard]] HttpResponse MetricsText();

  Dependencies m_deps;
  HttpServer m_http;
};

}
