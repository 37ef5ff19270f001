#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_client.hpp"
#include "greengagehub/http/http_server.hpp"
#include "platform/names.hpp"
#include "serve.hpp"
#include "worker_options.hpp"
#include "worker_signals.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <cstdio>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

/// \file
/// \brief Stand-in for a backend server on the platform, with heartbeats,
/// slots, a bounded queue, deadlines, drains, and faults that are set over
/// HTTP.
///
/// Control: PUT /control with any of {"heartbeats": "http://IP:PORT",
/// "service_ms": N, "draining": true, "restart": true, "restart_same_id": MS,
/// "report": {...}, "shed": true, "fail": true, "unsigned": true,
/// "foreign": N, "limit": "37.6", "leaving": true, "ends_on": "/TARGET",
/// "ends_after_ms": N, "back_after_ms": N}. "ends_on" is the target of requests
/// that crash the process: its connections close, and it listens again after
/// "back_after_ms", under another id. "restart_same_id" simulates a crash that
/// leaves connections open and a restart under the same id, with a start time
/// that differs by MS milliseconds. "report" sends one more report with the
/// given fields changed, such as a late or malformed one. "limit" and "leaving"
/// are stated in responses, see worker_signals.hpp. Counters: GET /counts.
/// Requests received: GET /history.

namespace {

using namespace greengagehub; // NOLINT: a stand-in, one file
using Json = nlohmann::json;

constexpr std::string_view kHealthPath = "/healthz";

std::string
Header(const HttpRequest& aRequest, std::string_view aName)
{
  return std::string{ HeaderValue(aRequest.m_headers, aName) };
}

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

class PlatformWorker
{
public:
  PlatformWorker(asio::io_context& aLoop, standin::WorkerOptions aOptions)
    : m_loop(aLoop)
    , m_options(std::move(aOptions))
    , m_client(aLoop, 1)
    , m_heartbeatTimer(aLoop)
    , m_crashTimer(aLoop)
  {
  }

  [[nodiscard]] Outcome<std::uint16_t> Open()
  {
    auto port = Listen();
    RunHeartbeat();
    return port;
  }

private:
  struct Run
  {
    HttpRequest m_request;
    HttpResponder m_responder;
    std::shared_ptr<asio::steady_timer> m_timer;
  };

  [[nodiscard]] Outcome<std::uint16_t> Listen()
  {
    m_http.emplace(
      m_loop,
      m_options.m_http,
      [this](HttpRequest aRequest, HttpResponder aResponder) {
        OnHttp(std::move(aRequest), std::move(aResponder));
      },
      [this](std::uint64_t aConnection) { OnClosed(aConnection); });
    auto port = m_http->Open();
    if (port) {
      m_options.m_http.m_port = port.value();
    }
    return port;
  }

  [[nodiscard]] std::string Id() const
  {
    return m_options.m_name.empty()
             ? fmt::format("i-{}-{}", m_options.m_http.m_port, m_incarnation)
             : fmt::format("{}-{}", m_options.m_name, m_incarnation);
  }

  void OnHttp(HttpRequest aRequest, HttpResponder aResponder)
  {
    const std::string_view path = PathOf(aRequest.m_target);
    if (path == "/control") {
      Control(aRequest.m_body);
      aResponder.Answer(JsonResponse(200, "{}"));
    } else if (path == "/counts") {
      aResponder.Answer(JsonResponse(200, Counts()));
    } else if (path == "/history") {
      aResponder.Answer(JsonResponse(200, m_signals.History()));
    } else {
      Admit({ std::move(aRequest), std::move(aResponder), {} });
    }
  }

  void Admit(Run aRun)
  {
    ++m_arrivals;
    m_signals.RecordArrival(Header(aRun.m_request, platform::kRequestId));
    const std::string wanted =
      Header(aRun.m_request, platform::kExpectInstance);
    if (!wanted.empty() && wanted != Id()) {
      ++m_misdirected;
      aRun.m_responder.Answer(
        { 421, { { std::string{ platform::kInstanceId }, Id() } } });
      return;
    }
    if (m_rejectsAll || m_queued.size() >= m_options.m_queue) {
      ++m_rejected;
      Reject(aRun);
      return;
    }
    m_queued.push_back(std::move(aRun));
    StartQueued();
  }

  void Reject(Run& aRun)
  {
    const std::string id = Header(aRun.m_request, platform::kRequestId);
    HttpResponse response{ 503,
                           { { std::string{ platform::kNotExecuted }, "1" },
                             { std::string{ platform::kRequestId }, id } } };
    m_signals.AddTo(response, id);
    aRun.m_responder.Answer(std::move(response));
  }

  void StartQueued()
  {
    while (!m_queued.empty() && m_running.size() < m_options.m_slots) {
      Run run = std::move(m_queued.front());
      m_queued.pop_front();
      Start(std::move(run));
    }
  }

  void Start(Run aRun)
  {
    ++m_runs[Header(aRun.m_request, platform::kRequestId)];
    ++m_targets[aRun.m_request.m_target];
    const bool crashes = aRun.m_request.m_target == m_crashTarget;
    if (crashes) {
      ScheduleCrash();
    }
    m_callers[Header(aRun.m_request, platform::kCallerService)] += 1;
    m_tenants[Header(aRun.m_request, platform::kTenant)] += 1;
    m_keysSeen += Header(aRun.m_request, platform::kApiKey).empty() ? 0 : 1;
    std::uint64_t timeLeft = 0;
    const std::string text = Header(aRun.m_request, platform::kDeadline);
    std::from_chars(text.data(), text.data() + text.size(), timeLeft);
    const bool inTime = text.empty() || timeLeft >= m_options.m_serviceMs;
    const std::uint64_t duration = inTime ? m_options.m_serviceMs : timeLeft;
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::milliseconds{ duration });
    const std::uint64_t connection = aRun.m_request.m_connection;
    if (!crashes) {
      timer->async_wait(
        [this, connection, inTime](const asio::error_code& aError) {
          if (!aError) {
            Finish(connection, inTime);
          }
        });
    }
    aRun.m_timer = std::move(timer);
    m_running.emplace(connection, std::move(aRun));
  }

  void Finish(std::uint64_t aConnection, bool aInTime)
  {
    const auto found = m_running.find(aConnection);
    if (found == m_running.end()) {
      return;
    }
    Run run = std::move(found->second);
    m_running.erase(found);
    const std::string id = Header(run.m_request, platform::kRequestId);
    HttpResponse response = JsonResponse(
      !aInTime ? 504 : (m_fails ? 500 : 200),
      Json{ { "id", id }, { "target", run.m_request.m_target } }.dump());
    response.m_headers.push_back(
      { std::string{ platform::kRequestId },
        m_foreignAnswers > 0 ? "another-request" : id });
    m_foreignAnswers -= m_foreignAnswers > 0 ? 1 : 0;
    if (PathOf(run.m_request.m_target) == kHealthPath) {
      response.m_status = m_draining ? 503 : response.m_status;
      response.m_headers.push_back(
        { std::string{ platform::kInstanceId }, Id() });
    }
    if (!m_omitsSignature) {
      response.m_headers.push_back(
        { std::string{ platform::kSeal }, "seal-" + id });
    }
    m_signals.AddTo(response, id);
    run.m_responder.Answer(std::move(response));
    StartQueued();
  }

  void OnClosed(std::uint64_t aConnection)
  {
    const auto found = m_running.find(aConnection);
    if (found != m_running.end()) {
      found->second.m_timer->cancel();
      m_running.erase(found);
      ++m_cancelled;
      StartQueued();
    }
  }

  void ScheduleCrash()
  {
    if (std::exchange(m_isCrashing, true)) {
      return;
    }
    m_crashTimer.expires_after(m_crashDelay);
    m_crashTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Crash();
      }
    });
  }

  void Crash()
  {
    ++m_crashes;
    m_http.reset();
    for (auto& [connection, run] : m_running) {
      run.m_timer->cancel();
    }
    m_running.clear();
    m_queued.clear();
    m_crashTimer.expires_after(m_restartDelay);
    m_crashTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Restart();
      }
    });
  }

  void Restart()
  {
    m_isCrashing = false;
    m_signals.Restart();
    ++m_incarnation;
    m_startedAt = NowMs();
    m_sequence = 0;
    m_draining = false;
    if (!Listen()) {
      // The port is still in use: retries after the restart delay.
      m_isCrashing = true;
      Crash();
    }
  }

  void RunHeartbeat()
  {
    if (!m_heartbeatUrl.empty() && m_http) {
      SendHeartbeat();
    }
    m_heartbeatTimer.expires_after(
      std::chrono::milliseconds{ m_options.m_heartbeatMs });
    m_heartbeatTimer.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        RunHeartbeat();
      }
    });
  }

  void SendHeartbeat()
  {
    HttpClientRequest request;
    request.m_method = "PUT";
    request.m_url =
      m_heartbeatUrl + std::string{ platform::kInstancesPath } + Id();
    request.m_timeout = std::chrono::seconds{ 1 };
    request.m_body = MakeReport().dump();
    m_client.Send(
      std::move(request),
      [this, draining = m_draining](const HttpClientResult& aResult) {
        const bool accepted =
          aResult.m_kind == HttpClientResult::Kind::Answered &&
          aResult.m_response.m_status == 200;
        m_acknowledged += accepted ? 1 : 0;
        m_drainAcknowledged = m_drainAcknowledged || (accepted && draining);
      });
  }

  [[nodiscard]] Json MakeReport()
  {
    return { { "service", m_options.m_service },
             { "address",
               fmt::format("{}:{}",
                           m_options.m_http.m_address,
                           m_options.m_http.m_port) },
             { "zone", m_options.m_domain },
             { "version", m_options.m_version },
             { "slots", m_options.m_slots },
             { "state", m_draining ? "draining" : "ready" },
             { "cold_left_ms", 0 },
             { "seq", ++m_sequence },
             { "born", m_startedAt } };
  }

  void SendChangedReport(const Json& aChanges)
  {
    Json report = MakeReport();
    --m_sequence;
    report.update(aChanges);
    HttpClientRequest request;
    request.m_method = "PUT";
    request.m_url =
      m_heartbeatUrl + std::string{ platform::kInstancesPath } + Id();
    request.m_timeout = std::chrono::seconds{ 1 };
    request.m_body = report.dump();
    m_client.Send(std::move(request), [this](const HttpClientResult& aResult) {
      const bool answered = aResult.m_kind == HttpClientResult::Kind::Answered;
      const bool rejected = answered && aResult.m_response.m_status == 400;
      m_extraReportsAnswered += answered ? 1 : 0;
      m_extraReportsRejected += rejected ? 1 : 0;
    });
  }

  /// Simulates a crash after which requests stay unanswered on open
  /// connections.
  void RestartUnderSameId(std::int64_t aOffsetMs)
  {
    for (auto& [connection, run] : m_running) {
      run.m_timer->cancel();
      m_abandonedRuns.push_back(std::move(run));
    }
    m_running.clear();
    for (Run& each : m_queued) {
      m_abandonedRuns.push_back(std::move(each));
    }
    m_queued.clear();
    m_signals.Restart();
    m_startedAt += aOffsetMs;
    m_sequence = 0;
    m_draining = false;
  }

  void Control(std::string_view aBody)
  {
    const Json wanted = Json::parse(aBody, nullptr, false);
    if (!wanted.is_object()) {
      return;
    }
    m_heartbeatUrl = wanted.value("heartbeats", m_heartbeatUrl);
    m_options.m_serviceMs = wanted.value("service_ms", m_options.m_serviceMs);
    m_draining = wanted.value("draining", m_draining);
    m_rejectsAll = wanted.value("shed", m_rejectsAll);
    m_fails = wanted.value("fail", m_fails);
    m_omitsSignature = wanted.value("unsigned", m_omitsSignature);
    m_foreignAnswers = wanted.value("foreign", m_foreignAnswers);
    m_signals.Set(wanted);
    m_crashTarget = wanted.value("ends_on", m_crashTarget);
    m_crashDelay = std::chrono::milliseconds{ wanted.value(
      "ends_after_ms", m_crashDelay.count()) };
    m_restartDelay = std::chrono::milliseconds{ wanted.value(
      "back_after_ms", m_restartDelay.count()) };
    if (wanted.contains("report")) {
      SendChangedReport(wanted["report"]);
    }
    if (wanted.contains("restart_same_id")) {
      RestartUnderSameId(wanted["restart_same_id"].get<std::int64_t>());
    }
    if (wanted.value("restart", false)) {
      m_signals.Restart();
      ++m_startedAt;
      ++m_incarnation;
      m_sequence = 0;
      m_draining = false;
    }
  }

  [[nodiscard]] std::string Counts() const
  {
    return Json{
      { "instance", Id() },
      { "runs", m_runs },
      { "targets", m_targets },
      { "ends", m_crashes },
      { "callers", m_callers },
      { "tenants", m_tenants },
      { "keys_seen", m_keysSeen },
      { "running", m_running.size() },
      { "arrivals", m_arrivals },
      { "turned_away", m_rejected },
      { "misdirected", m_misdirected },
      { "broken_off", m_cancelled },
      { "born", m_startedAt },
      { "sequence", m_sequence },
      { "others_answered", m_extraReportsAnswered },
      { "others_refused", m_extraReportsRejected },
      { "acknowledged", m_acknowledged },
      { "drain_acknowledged", m_drainAcknowledged }
    }.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  asio::io_context& m_loop;
  standin::WorkerOptions m_options;
  HttpClient m_client;
  asio::steady_timer m_heartbeatTimer;
  asio::steady_timer m_crashTimer;
  /// Empty while the simulated process is down.
  std::optional<HttpServer> m_http;
  std::deque<Run> m_queued;
  std::map<std::uint64_t, Run> m_running;
  /// Runs of crashed incarnations; never answered.
  std::vector<Run> m_abandonedRuns;
  std::map<std::string, std::uint32_t> m_runs;
  std::map<std::string, std::uint32_t> m_targets;
  std::map<std::string, std::uint32_t> m_callers;
  std::map<std::string, std::uint32_t> m_tenants;
  std::uint64_t m_keysSeen{ 0 };
  std::string m_heartbeatUrl;
  std::uint64_t m_sequence{ 0 };
  std::uint64_t m_incarnation{ 1 };
  /// Start of this incarnation, in Unix milliseconds.
  std::int64_t m_startedAt{ NowMs() };
  std::uint64_t m_extraReportsAnswered{ 0 };
  std::uint64_t m_extraReportsRejected{ 0 };
  std::uint64_t m_arrivals{ 0 };
  std::uint64_t m_rejected{ 0 };
  std::uint64_t m_misdirected{ 0 };
  std::uint64_t m_cancelled{ 0 };
  std::uint64_t m_acknowledged{ 0 };
  std::uint32_t m_foreignAnswers{ 0 };
  standin::WorkerSignalFault m_signals;
  std::string m_crashTarget;
  std::chrono::milliseconds m_crashDelay{ 20 };
  std::chrono::milliseconds m_restartDelay{ 500 };
  std::uint64_t m_crashes{ 0 };
  bool m_isCrashing{ false };
  bool m_draining{ false };
  bool m_drainAcknowledged{ false };
  bool m_rejectsAll{ false };
  bool m_fails{ false };
  bool m_omitsSignature{ false };
};
}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  standin::WorkerOptions given;
  given.m_http.m_limits.m_maxBodyBytes = 128UL * 1024 * 1024;
  po::options_description options{ "platform_worker" };
  options.add_options()(
    "host", po::value(&given.m_http.m_address)->default_value("127.0.0.1"), "")(
    "port", po::value(&given.m_http.m_port)->default_value(0), "")(
    "service", po::value(&given.m_service)->required(), "")(
    "domain", po::value(&given.m_domain)->default_value("solna"), "")(
    "version", po::value(&given.m_version)->default_value("v1"), "")(
    "name", po::value(&given.m_name), "")(
    "slots", po::value(&given.m_slots)->default_value(20), "")(
    "queue", po::value(&given.m_queue)->default_value(40), "")(
    "service-ms", po::value(&given.m_serviceMs)->default_value(2), "")(
    "heartbeat-ms", po::value(&given.m_heartbeatMs)->default_value(200), "");
  po::variables_map values;
  po::store(po::parse_command_line(aCount, aArguments, options), values);
  po::notify(values);
  asio::io_context loop;
  PlatformWorker worker{ loop, given };
  return standin::Serve(worker, loop);
}
