#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_client.hpp"
#include "greengagehub/http/http_server.hpp"
#include "platform/names.hpp"
#include "serve.hpp"

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
/// \brief Stand-in for a backend server on the platform: incarnations and
/// heartbeats, slots, a queue that sheds, deadlines, a drain, and faults
/// switched over HTTP.
///
/// Control: PUT /control with any of {"heartbeats": "http://IP:PORT",
/// "service_ms": N, "draining": true, "restart": true, "restart_same_id": MS,
/// "report": {...}, "shed": true, "fail": true, "unsigned": true,
/// "foreign": N, "ends_on": "/TARGET", "ends_after_ms": N, "back_after_ms": N}.
/// "ends_on" is a request under which the process ends: its connections close
/// and nobody listens until the next start, with another id. "restart_same_id"
/// is a crash that closes no connection, with another start under the same id
/// MS milliseconds of the day later (or, below zero, earlier); "report" sends
/// one more report with these fields changed, as one that comes late or is
/// another writer's. Counts: GET /counts, with the runs of each request id and
/// of each target, ends, requests that were broken off, and acknowledgements.

namespace {

using namespace greengagehub; // NOLINT: a stand-in, one file
using Json = nlohmann::json;

struct Options
{
  HttpServerSettings m_http;
  std::string m_service;
  std::string m_domain;
  std::string m_version{ "v1" };
  std::uint32_t m_slots{ 20 };
  std::uint32_t m_queue{ 40 };
  std::uint32_t m_serviceMs{ 2 };
  std::uint32_t m_heartbeatMs{ 200 };
};

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
  PlatformWorker(asio::io_context& aLoop, Options aOptions)
    : m_loop(aLoop)
    , m_options(std::move(aOptions))
    , m_client(aLoop, 1)
    , m_beat(aLoop)
    , m_end(aLoop)
  {
  }

  [[nodiscard]] Outcome<std::uint16_t> Open()
  {
    auto port = Listen();
    Beat();
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
    return fmt::format("i-{}-{}", m_options.m_http.m_port, m_incarnation);
  }

  void OnHttp(HttpRequest aRequest, HttpResponder aResponder)
  {
    const std::string_view path = PathOf(aRequest.m_target);
    if (path == "/control") {
      Control(aRequest.m_body);
      aResponder.Answer(JsonResponse(200, "{}"));
    } else if (path == "/counts") {
      aResponder.Answer(JsonResponse(200, Counts()));
    } else {
      Admit({ std::move(aRequest), std::move(aResponder), {} });
    }
  }

  void Admit(Run aRun)
  {
    ++m_arrivals;
    const std::string wanted =
      Header(aRun.m_request, platform::kExpectInstance);
    if (!wanted.empty() && wanted != Id()) {
      ++m_misdirected;
      aRun.m_responder.Answer(
        { 421, { { std::string{ platform::kInstanceId }, Id() } } });
      return;
    }
    if (m_shed || m_waiting.size() >= m_options.m_queue) {
      ++m_turnedAway;
      Refuse(aRun);
      return;
    }
    m_waiting.push_back(std::move(aRun));
    StartWaiting();
  }

  void Refuse(Run& aRun)
  {
    aRun.m_responder.Answer(
      { 503,
        { { std::string{ platform::kNotExecuted }, "1" },
          { std::string{ platform::kRequestId },
            Header(aRun.m_request, platform::kRequestId) } } });
  }

  void StartWaiting()
  {
    while (!m_waiting.empty() && m_running.size() < m_options.m_slots) {
      Run run = std::move(m_waiting.front());
      m_waiting.pop_front();
      Start(std::move(run));
    }
  }

  void Start(Run aRun)
  {
    ++m_runs[Header(aRun.m_request, platform::kRequestId)];
    ++m_targets[aRun.m_request.m_target];
    const bool ends = aRun.m_request.m_target == m_endsOn;
    if (ends) {
      EndSoon();
    }
    m_callers[Header(aRun.m_request, platform::kCallerService)] += 1;
    m_tenants[Header(aRun.m_request, platform::kTenant)] += 1;
    m_keysSeen += Header(aRun.m_request, platform::kApiKey).empty() ? 0 : 1;
    std::uint64_t left = 0;
    const std::string text = Header(aRun.m_request, platform::kDeadline);
    std::from_chars(text.data(), text.data() + text.size(), left);
    const bool inTime = left >= m_options.m_serviceMs;
    const std::uint64_t takes = inTime ? m_options.m_serviceMs : left;
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(std::chrono::milliseconds{ takes });
    const std::uint64_t connection = aRun.m_request.m_connection;
    if (!ends) {
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
      !aInTime ? 504 : (m_fail ? 500 : 200),
      Json{ { "id", id }, { "target", run.m_request.m_target } }.dump());
    response.m_headers.push_back({ std::string{ platform::kRequestId },
                                   m_foreign > 0 ? "another-request" : id });
    m_foreign -= m_foreign > 0 ? 1 : 0;
    if (!m_unsigned) {
      response.m_headers.push_back(
        { std::string{ platform::kSeal }, "seal-" + id });
    }
    run.m_responder.Answer(std::move(response));
    StartWaiting();
  }

  /// The caller's connection closed: what runs for it is dropped.
  void OnClosed(std::uint64_t aConnection)
  {
    const auto found = m_running.find(aConnection);
    if (found != m_running.end()) {
      found->second.m_timer->cancel();
      m_running.erase(found);
      ++m_brokenOff;
      StartWaiting();
    }
  }

  // -------------------------------------------------------------------------
  // Ends

  void EndSoon()
  {
    if (std::exchange(m_isEnding, true)) {
      return;
    }
    m_end.expires_after(m_endsAfter);
    m_end.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        End();
      }
    });
  }

  void End()
  {
    ++m_ends;
    m_http.reset();
    for (auto& [connection, run] : m_running) {
      run.m_timer->cancel();
    }
    m_running.clear();
    m_waiting.clear();
    m_end.expires_after(m_backAfter);
    m_end.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        StartAgain();
      }
    });
  }

  void StartAgain()
  {
    m_isEnding = false;
    ++m_incarnation;
    m_born = NowMs();
    m_sequence = 0;
    m_draining = false;
    if (!Listen()) {
      // Its port is taken for a moment: as if it took longer to start.
      m_isEnding = true;
      End();
    }
  }

  // -------------------------------------------------------------------------
  // Heartbeats

  void Beat()
  {
    if (!m_heartbeats.empty() && m_http) {
      SendBeat();
    }
    m_beat.expires_after(std::chrono::milliseconds{ m_options.m_heartbeatMs });
    m_beat.async_wait([this](const asio::error_code& aError) {
      if (!aError) {
        Beat();
      }
    });
  }

  void SendBeat()
  {
    HttpClientRequest request;
    request.m_method = "PUT";
    request.m_url =
      m_heartbeats + std::string{ platform::kInstancesPath } + Id();
    request.m_timeout = std::chrono::seconds{ 1 };
    request.m_body = ReportNow().dump();
    m_client.Send(
      std::move(request),
      [this, draining = m_draining](const HttpClientResult& aResult) {
        const bool taken = aResult.m_kind == HttpClientResult::Kind::Answered &&
                           aResult.m_response.m_status == 200;
        m_acknowledged += taken ? 1 : 0;
        m_drainAcknowledged = m_drainAcknowledged || (taken && draining);
      });
  }

  [[nodiscard]] Json ReportNow()
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
             { "born", m_born } };
  }

  /// One report that is not the present start's own word.
  void SendOther(const Json& aChanges)
  {
    Json report = ReportNow();
    --m_sequence;
    report.update(aChanges);
    HttpClientRequest request;
    request.m_method = "PUT";
    request.m_url =
      m_heartbeats + std::string{ platform::kInstancesPath } + Id();
    request.m_timeout = std::chrono::seconds{ 1 };
    request.m_body = report.dump();
    m_client.Send(std::move(request), [this](const HttpClientResult& aResult) {
      const bool answered = aResult.m_kind == HttpClientResult::Kind::Answered;
      const bool refused = answered && aResult.m_response.m_status == 400;
      m_othersAnswered += answered ? 1 : 0;
      m_othersRefused += refused ? 1 : 0;
    });
  }

  /// A crash without a word: what ran is never answered, and its connections
  /// stay open.
  void RestartUnderSameId(std::int64_t aLaterMs)
  {
    for (auto& [connection, run] : m_running) {
      run.m_timer->cancel();
      m_crashed.push_back(std::move(run));
    }
    m_running.clear();
    for (Run& each : m_waiting) {
      m_crashed.push_back(std::move(each));
    }
    m_waiting.clear();
    m_born += aLaterMs;
    m_sequence = 0;
    m_draining = false;
  }

  void Control(const std::string& aBody)
  {
    const Json wanted = Json::parse(aBody, nullptr, false);
    if (!wanted.is_object()) {
      return;
    }
    m_heartbeats = wanted.value("heartbeats", m_heartbeats);
    m_options.m_serviceMs = wanted.value("service_ms", m_options.m_serviceMs);
    m_draining = wanted.value("draining", m_draining);
    m_shed = wanted.value("shed", m_shed);
    m_fail = wanted.value("fail", m_fail);
    m_unsigned = wanted.value("unsigned", m_unsigned);
    m_foreign = wanted.value("foreign", m_foreign);
    m_endsOn = wanted.value("ends_on", m_endsOn);
    m_endsAfter = std::chrono::milliseconds{ wanted.value(
      "ends_after_ms", m_endsAfter.count()) };
    m_backAfter = std::chrono::milliseconds{ wanted.value(
      "back_after_ms", m_backAfter.count()) };
    if (wanted.contains("report")) {
      SendOther(wanted["report"]);
    }
    if (wanted.contains("restart_same_id")) {
      RestartUnderSameId(wanted["restart_same_id"].get<std::int64_t>());
    }
    if (wanted.value("restart", false)) {
      ++m_born;
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
      { "ends", m_ends },
      { "callers", m_callers },
      { "tenants", m_tenants },
      { "keys_seen", m_keysSeen },
      { "running", m_running.size() },
      { "arrivals", m_arrivals },
      { "turned_away", m_turnedAway },
      { "misdirected", m_misdirected },
      { "broken_off", m_brokenOff },
      { "born", m_born },
      { "sequence", m_sequence },
      { "others_answered", m_othersAnswered },
      { "others_refused", m_othersRefused },
      { "acknowledged", m_acknowledged },
      { "drain_acknowledged", m_drainAcknowledged }
    }.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  asio::io_context& m_loop;
  Options m_options;
  HttpClient m_client;
  asio::steady_timer m_beat;
  asio::steady_timer m_end;
  /// Nothing while the process is down.
  std::optional<HttpServer> m_http;
  std::deque<Run> m_waiting;
  std::map<std::uint64_t, Run> m_running;
  /// Of starts that have crashed; never answered.
  std::vector<Run> m_crashed;
  std::map<std::string, std::uint32_t> m_runs;
  std::map<std::string, std::uint32_t> m_targets;
  std::map<std::string, std::uint32_t> m_callers;
  std::map<std::string, std::uint32_t> m_tenants;
  /// Requests that still carried a caller's key.
  std::uint64_t m_keysSeen{ 0 };
  std::string m_heartbeats;
  std::uint64_t m_sequence{ 0 };
  std::uint64_t m_incarnation{ 1 };
  /// Unix milliseconds of the present start.
  std::int64_t m_born{ NowMs() };
  std::uint64_t m_othersAnswered{ 0 };
  std::uint64_t m_othersRefused{ 0 };
  std::uint64_t m_arrivals{ 0 };
  std::uint64_t m_turnedAway{ 0 };
  std::uint64_t m_misdirected{ 0 };
  std::uint64_t m_brokenOff{ 0 };
  std::uint64_t m_acknowledged{ 0 };
  std::uint32_t m_foreign{ 0 };
  /// Target of the requests under which it ends.
  std::string m_endsOn;
  std::chrono::milliseconds m_endsAfter{ 20 };
  std::chrono::milliseconds m_backAfter{ 500 };
  std::uint64_t m_ends{ 0 };
  bool m_isEnding{ false };
  bool m_draining{ false };
  bool m_drainAcknowledged{ false };
  bool m_shed{ false };
  bool m_fail{ false };
  bool m_unsigned{ false };
};

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  Options given;
  po::options_description options{ "platform_worker" };
  options.add_options()(
    "host", po::value(&given.m_http.m_address)->default_value("127.0.0.1"), "")(
    "port", po::value(&given.m_http.m_port)->default_value(0), "")(
    "service", po::value(&given.m_service)->required(), "")(
    "domain", po::value(&given.m_domain)->default_value("solna"), "")(
    "version", po::value(&given.m_version)->default_value("v1"), "")(
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
