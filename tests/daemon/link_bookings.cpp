#include "greengagehub/daemon/run_service.hpp"

#include "greengagehub/http/http_server.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr CallDialect kDialect{ .m_requestId = "Id",
                                .m_sendsHopHeaders = false };
constexpr std::uint64_t kOwnProcess = 7;
constexpr std::uint64_t kCallersProcess = 1;

/// A run service with an HTTP server in place of the worker, which holds its
/// requests until Release(), and a link of 15 Mbit/s.
class LinkedRunService
{
public:
  explicit LinkedRunService(std::uint32_t aMbps = 15)
    : m_pacer(aMbps)
    , m_linkOut(m_pacer.Rate())
    , m_worker(m_loop,
               HttpServerSettings{},
               [this](const HttpRequest&, HttpResponder aResponder) {
                 m_held.push_back(std::move(aResponder));
               })
    , m_service({ .m_loop = m_loop,
                  .m_settings = MakeSettings(),
                  .m_dialect = kDialect,
                  .m_metrics = m_metrics,
                  .m_requestLog = m_requestLog,
                  .m_quarantine = m_quarantine,
                  .m_rollouts = m_rollouts,
                  .m_seed = 1,
                  .m_deliver =
                    [this](CallKey, CallAnswer aAnswer) {
                      m_answers.push_back(std::move(aAnswer));
                    },
                  .m_trace = [](const Span&) {},
                  .m_onCrash = [](CrashReport) {},
                  .m_onSuccess = [](Fingerprint) {},
                  .m_mayRunRetry = [](TimePoint) { return true; },
                  .m_version = [] { return Version{}; },
                  .m_pacer = &m_pacer,
                  .m_linkOut = &m_linkOut,
                  .m_process = kOwnProcess })
  {
  }

  void Send(std::uint64_t aProcess, std::uint64_t aEpoch = 0)
  {
    CallRequest request;
    request.m_service = "archive";
    request.m_method = "GET";
    request.m_target = "/download";
    request.m_headers = { { "Host", "archive" }, { "Id", "r1" } };
    request.m_kind = CallKind{ 1500ms };
    request.m_timeLeft = 4s;
    request.m_targetLeft = 1500ms;
    request.m_idempotent = true;
    request.m_answerSize = { 90'000.0, 50'000.0 };
    m_service.OnRequest({ aProcess, ++m_lastCall }, aEpoch, request);
  }
  /// Sends until the first refusal. \returns The number of accepted calls.
  std::size_t SendUntilRefused(std::uint64_t aEpoch = 0)
  {
    const std::uint64_t first = m_lastCall;
    while (m_answers.empty() && m_lastCall - first < 1000) {
      Send(kCallersProcess, aEpoch);
    }
    REQUIRE(m_answers.size() == 1);
    return m_lastCall - first - 1;
  }
  void RunUntil(const std::function<bool()>& aIsDone)
  {
    while (!aIsDone() && m_loop.run_one_for(10s) > 0) {
    }
    REQUIRE(aIsDone());
  }
  void Release(std::size_t aBytes, bool aTruncates = false)
  {
    for (HttpResponder& each : m_held) {
      if (aTruncates) {
        each.Answer({ 101, {} }, true);
      } else {
        each.Answer({ 200, { { "Id", "r1" } }, std::string(aBytes, 'x') });
      }
    }
    m_held.clear();
  }

  const Settings& MakeSettings()
  {
    m_settings.m_runs.m_slots = 10;
    m_settings.m_runs.m_queue = 100;
    m_settings.m_service = "archive";
    m_settings.m_worker = { "127.0.0.1", m_worker.Open().value() };
    return m_settings;
  }

  asio::io_context m_loop;
  Settings m_settings;
  Metrics m_metrics;
  Log m_log{ LogLevel::Error, {}, "test" };
  RequestLog m_requestLog{ m_log };
  LinkPacer m_pacer;
  LinkBooking m_linkOut;
  std::vector<HttpResponder> m_held;
  HttpServer m_worker;
  std::vector<CallAnswer> m_answers;
  Quarantine m_quarantine;
  RolloutTable m_rollouts;
  std::uint64_t m_lastCall{ 0 };
  RunService m_service;
};

}

TEST_CASE("downloads beyond the link are refused before any work")
{
  // Guards against runs whose answers cannot leave the link in time.
  LinkedRunService service;
  const std::size_t accepted = service.SendUntilRefused();
  CHECK(accepted > 2);
  CHECK(accepted < 30);
  const CallAnswer& refusal = service.m_answers[0];
  CHECK(refusal.m_outcome == CallOutcome::NotRun);
  CHECK(refusal.m_reason == RefusalReason::LinkBusy);
  CHECK_FALSE(refusal.m_reachedWorker);
  CHECK(refusal.m_retryAfter > 0ms);
  CHECK(refusal.m_linkWait > 0us);
  CHECK(service.m_linkOut.BookedBytes() == accepted * 90'000);
  // A call of this daemon's own callers does not leave by a link to another.
  service.Send(kOwnProcess);
  CHECK(service.m_answers.size() == 1);
  CHECK(service.m_linkOut.BookedBytes() == accepted * 90'000);
}

TEST_CASE("bookings end with the answers")
{
  // Guards against a link that counts as booked with answers that have left.
  LinkedRunService service;
  for (int i = 0; i < 3; ++i) {
    service.Send(kCallersProcess);
  }
  CHECK(service.m_linkOut.BookedCalls() == 3);
  service.RunUntil([&] { return service.m_held.size() == 3; });
  SUBCASE("of runs that end")
  {
    service.Release(100'000);
  }
  SUBCASE("of runs whose answers are lost")
  {
    service.Release(0, true);
  }
  service.RunUntil([&] { return service.m_answers.size() == 3; });
  CHECK(service.m_linkOut.BookedBytes() == 0);
}

TEST_CASE("bookings end when callers leave, before and during the run")
{
  // Guards against a link that counts as booked for callers that have left.
  LinkedRunService service;
  const std::size_t accepted = service.SendUntilRefused();
  service.RunUntil([&] { return service.m_held.size() >= 2; });
  for (std::uint64_t call = 1; call <= accepted; ++call) {
    static_cast<void>(
      service.m_service.OnCancel({ kCallersProcess, call }, true));
  }
  CHECK(service.m_linkOut.BookedCalls() == 0);
}

TEST_CASE("a lost link ends the bookings of runs that have not started")
{
  // Guards against requests of closed epochs that stay booked and in memory.
  LinkedRunService service;
  for (int i = 0; i < 12; ++i) {
    service.Send(kCallersProcess, 1);
  }
  const std::size_t booked = service.m_linkOut.BookedCalls();
  REQUIRE(booked > service.m_service.Runs().Running());
  service.m_service.OnEpoch(kCallersProcess, 2);
  CHECK(service.m_linkOut.BookedCalls() == service.m_service.Runs().Running());
}

TEST_CASE("a link of unknown rate refuses no downloads")
{
  // Guards against refusals for links about which nothing is known.
  LinkedRunService service{ 0 };
  for (int i = 0; i < 100; ++i) {
    service.Send(kCallersProcess);
  }
  CHECK(service.m_answers.empty());
  CHECK(service.m_linkOut.BookedCalls() == 0);
}
