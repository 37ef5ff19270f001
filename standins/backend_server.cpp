#include "greengagehub/calls/call_dialect.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_server.hpp"
#include "serve.hpp"
#include "worker_signals.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdio>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

/// \file
/// \brief Stand-in for a backend server, with slots, a service time, a cold
/// start, and faults that are set over HTTP.
///
/// The X-Request-Id header is a request's id; the answer returns it in header
/// and body. Faults: PUT /faults with any of {"service_ms": N, "fail": true,
/// "cut_after_run": N, "answer_bytes": N, "health": "...", "limit": "37.6",
/// "leaving": true}; the last two are stated in responses, see
/// worker_signals.hpp. Number of runs of each id and each workspace: GET /runs.
/// Requests received: GET /history.

namespace {

using namespace greengagehub; // NOLINT: a stand-in, one file
using Json = nlohmann::json;

struct Options
{
  HttpServerSettings m_http;
  std::uint32_t m_slots{ 20 };
  std::uint32_t m_serviceMs{ 2 };
  std::uint32_t m_coldStartMs{ 0 };
};

class BackendServer
{
public:
  BackendServer(asio::io_context& aLoop, const Options& aOptions)
    : m_loop(aLoop)
    , m_options(aOptions)
    , m_started(Clock::now())
    , m_http(aLoop,
             aOptions.m_http,
             [this](HttpRequest aRequest, HttpResponder aResponder) {
               OnHttp(std::move(aRequest), std::move(aResponder));
             })
  {
  }

  [[nodiscard]] Outcome<std::uint16_t> Open() { return m_http.Open(); }

private:
  struct Run
  {
    HttpRequest m_request;
    HttpResponder m_responder;
  };

  void OnHttp(HttpRequest aRequest, HttpResponder aResponder)
  {
    const std::string_view path = PathOf(aRequest.m_target);
    if (path == "/faults") {
      SetFaults(aRequest.m_body);
      aResponder.Answer(JsonResponse(200, "{}"));
    } else if (path == "/runs") {
      aResponder.Answer(JsonResponse(200, Runs()));
    } else if (path == "/history") {
      aResponder.Answer(JsonResponse(200, m_signals.History()));
    } else if (path == "/health") {
      aResponder.Answer(
        JsonResponse(200, Json{ { "health", m_health } }.dump()));
    } else {
      m_signals.RecordArrival(
        std::string{ HeaderValue(aRequest.m_headers, "x-request-id") });
      m_queue.push_back({ std::move(aRequest), std::move(aResponder) });
      StartQueued();
    }
  }

  void StartQueued()
  {
    while (!m_queue.empty() && m_running < m_options.m_slots) {
      Run run = std::move(m_queue.front());
      m_queue.pop_front();
      ++m_running;
      m_maxRunning = std::max(m_maxRunning, m_running);
      Start(std::move(run));
    }
  }

  [[nodiscard]] std::chrono::milliseconds ServiceTime() const
  {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Clock::now() - m_started);
    const bool cold = age.count() < m_options.m_coldStartMs;
    constexpr int kColdFactor = 5;
    return std::chrono::milliseconds{ m_options.m_serviceMs } *
           (cold ? kColdFactor : 1);
  }

  void Start(Run aRun)
  {
    const std::string id{ HeaderValue(aRun.m_request.m_headers,
                                      "x-request-id") };
    ++m_runs[id];
    RecordWorkspace(aRun.m_request);
    m_lastStart = std::chrono::system_clock::now();
    if (m_cutsLeft > 0) {
      // The call counts as run, but its connection closes without an answer.
      --m_cutsLeft;
      ++m_cuts;
      --m_running;
      DropRun(std::move(aRun));
      return;
    }
    const auto serviceTime =
      m_fail ? std::chrono::milliseconds{ 0 } : ServiceTime();
    if (serviceTime.count() == 0) {
      Finish(std::move(aRun), id);
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_loop);
    timer->expires_after(serviceTime);
    timer->async_wait(
      [this, timer, id, run = std::move(aRun)](
        const asio::error_code&) mutable { Finish(std::move(run), id); });
  }

  void RecordWorkspace(const HttpRequest& aRequest)
  {
    const CallDialect dialect;
    ++m_workspaces[std::string{
      HeaderValue(aRequest.m_headers, dialect.m_workspace) }];
    m_keysSeen +=
      HeaderValue(aRequest.m_headers, dialect.m_apiKey).empty() ? 0 : 1;
  }

  void Finish(Run aRun, const std::string& aId)
  {
    --m_running;
    Json body{ { "id", aId },
               { "method", aRun.m_request.m_method },
               { "target", aRun.m_request.m_target },
               { "body", aRun.m_request.m_body.View() } };
    if (m_answerBytes > 0) {
      body["padding"] = std::string(m_answerBytes, 'x');
    }
    HttpResponse response =
      JsonResponse(m_fail ? 500 : 200,
                   body.dump(-1, ' ', false, Json::error_handler_t::replace));
    response.m_headers.push_back(HttpHeader{ "X-Request-Id", aId });
    m_signals.AddTo(response, aId);
    aRun.m_responder.Answer(std::move(response));
    StartQueued();
  }

  /// Drops a run without an answer; the HTTP server's timeout then closes the
  /// connection.
  static void DropRun(Run aRun) { static_cast<void>(aRun); }

  void SetFaults(std::string_view aBody)
  {
    const Json faults = Json::parse(aBody, nullptr, false);
    if (!faults.is_object()) {
      return;
    }
    m_options.m_serviceMs = faults.value("service_ms", m_options.m_serviceMs);
    m_fail = faults.value("fail", m_fail);
    m_answerBytes = faults.value("answer_bytes", m_answerBytes);
    m_cutsLeft = faults.value("cut_after_run", 0U);
    m_health = faults.value("health", m_health);
    m_signals.Set(faults);
  }

  [[nodiscard]] std::string Runs() const
  {
    const auto lastStart =
      std::chrono::duration_cast<std::chrono::milliseconds>(
        m_lastStart.time_since_epoch());
    return Json{
      { "runs", m_runs },          { "workspaces", m_workspaces },
      { "keys_seen", m_keysSeen }, { "most_running", m_maxRunning },
      { "cuts", m_cuts },          { "last_start_ms", lastStart.count() }
    }.dump(-1, ' ', false, Json::error_handler_t::replace);
  }

  asio::io_context& m_loop;
  Options m_options;
  TimePoint m_started;
  HttpServer m_http;
  std::deque<Run> m_queue;
  std::map<std::string, std::uint32_t> m_runs;
  /// Runs by workspace; those without one under "".
  std::map<std::string, std::uint32_t> m_workspaces;
  /// Requests that arrived with an API key.
  std::uint32_t m_keysSeen{ 0 };
  std::uint32_t m_running{ 0 };
  std::uint32_t m_maxRunning{ 0 };
  std::uint32_t m_cutsLeft{ 0 };
  /// Added to each answer.
  std::size_t m_answerBytes{ 0 };
  std::uint32_t m_cuts{ 0 };
  bool m_fail{ false };
  standin::WorkerSignalFault m_signals;
  std::string m_health{ "good" };
  std::chrono::system_clock::time_point m_lastStart{};
};

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  Options given;
  po::options_description options{ "backend_server" };
  options.add_options()(
    "host", po::value(&given.m_http.m_address)->default_value("127.0.0.1"), "")(
    "port", po::value(&given.m_http.m_port)->default_value(0), "")(
    "slots", po::value(&given.m_slots)->default_value(20), "")(
    "service-ms", po::value(&given.m_serviceMs)->default_value(2), "")(
    "cut-ms", po::value<std::uint32_t>()->default_value(0), "")(
    "cold-ms", po::value(&given.m_coldStartMs)->default_value(0), "");
  po::variables_map values;
  po::store(po::parse_command_line(aCount, aArguments, options), values);
  po::notify(values);
  if (const auto cut = values["cut-ms"].as<std::uint32_t>(); cut > 0) {
    given.m_http.m_handlerTimeout = std::chrono::milliseconds{ cut };
  }
  given.m_http.m_limits.m_maxBodyBytes = 32UL * 1024 * 1024;
  asio::io_context loop;
  BackendServer server{ loop, given };
  return standin::Serve(server, loop);
}
