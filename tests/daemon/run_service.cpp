#include "greengagehub/daemon/run_service.hpp"

#include "greengagehub/daemon/call_headers.hpp"
#include "greengagehub/http/http_server.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr CallDialect kDialect{ .m_requestId = "Id",
                                .m_expectInstance = "Expect",
                                .m_notExecuted = "Not-Executed",
                                .m_seal = "Seal",
                                .m_sendsHopHeaders = false };
constexpr CallDialect kHopDialect{ .m_requestId = "Id",
                                   .m_sendsHopHeaders = true };

/// A run service with an HTTP server in place of the worker.
class RunServiceFixture
{
public:
  explicit RunServiceFixture(HttpServer::Handler aWorker,
                             std::uint32_t aSlots = 20,
                             const CallDialect& aDialect = kDialect)
    : m_worker(std::make_unique<HttpServer>(m_loop,
                                            HttpServerSettings{},
                                            std::move(aWorker)))
    , m_service({ .m_loop = m_loop,
                  .m_settings = MakeSettings(aSlots),
                  .m_dialect = aDialect,
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
                  .m_onCrash =
                    [this](CrashReport aReport) {
                      m_crashReports.push_back(std::move(aReport));
                    },
                  .m_onSuccess = [](Fingerprint) {},
                  .m_mayRunRetry = [](TimePoint) { return true; },
                  .m_version = [] { return Version{}; } })
  {
  }

  CallAnswer Call(CallRequest aRequest)
  {
    const std::size_t before = m_answers.size();
    m_service.OnRequest({ 1, ++m_lastCall }, 0, std::move(aRequest));
    while (m_answers.size() == before &&
           m_loop.run_one_for(std::chrono::seconds{ 10 }) > 0) {
    }
    REQUIRE(m_answers.size() > before);
    return m_answers.back();
  }

  std::vector<CallAnswer> CallAll(std::vector<CallRequest> aRequests)
  {
    const std::size_t before = m_answers.size();
    const std::size_t count = aRequests.size();
    for (CallRequest& each : aRequests) {
      m_service.OnRequest({ 1, ++m_lastCall }, 0, std::move(each));
    }
    while (m_answers.size() < before + count &&
           m_loop.run_one_for(std::chrono::seconds{ 10 }) > 0) {
    }
    REQUIRE(m_answers.size() == before + count);
    return { m_answers.begin() + static_cast<std::ptrdiff_t>(before),
             m_answers.end() };
  }

  /// Sends a request without waiting for its answer.
  void Send(CallRequest aRequest)
  {
    m_service.OnRequest({ 1, ++m_lastCall }, 0, std::move(aRequest));
  }

  /// \returns What a request with this header is charged to.
  [[nodiscard]] CallShare ShareOfRun(std::string_view aTraceparent) const
  {
    const auto parent = ParseTraceparent(aTraceparent);
    return parent ? m_service.ShareOfRun(*parent) : CallShare{};
  }

  void DrainWorker() { m_service.StartDraining(); }
  /// Reports the fingerprint as quarantined by another daemon.
  void QuarantineRequests(Fingerprint aFingerprint)
  {
    QuarantineVerdict verdict;
    verdict.m_fingerprint = aFingerprint;
    verdict.m_generation = 1;
    verdict.m_isQuarantined = true;
    static_cast<void>(m_quarantine.OnUpdate(Clock::now(), { {}, { verdict } }));
  }

  /// Simulates a crash of the worker: closes its connections and its port.
  void StopWorker()
  {
    asio::post(m_loop, [this] { m_worker.reset(); });
  }
  Quarantine& GetQuarantine() { return m_quarantine; }
  [[nodiscard]] const std::vector<CrashReport>& CrashReports() const
  {
    return m_crashReports;
  }

  static Fingerprint ReleaseFingerprint()
  {
    return CallFingerprint(kDialect, ReleaseRequest());
  }

  static CallRequest ReleaseRequest()
  {
    CallRequest request;
    request.m_service = "locker-app";
    request.m_method = "POST";
    request.m_target = "/release";
    request.m_headers = { { "Host", "lockers" }, { "Id", "r1" } };
    request.m_timeLeft = 5s;
    return request;
  }

private:
  const Settings& MakeSettings(std::uint32_t aSlots)
  {
    m_settings.m_runs.m_slots = aSlots;
    m_settings.m_service = "locker-app";
    m_settings.m_worker = { "127.0.0.1", m_worker->Open().value() };
    return m_settings;
  }

  asio::io_context m_loop;
  Settings m_settings;
  Metrics m_metrics;
  Log m_log{ LogLevel::Error, {}, "test" };
  RequestLog m_requestLog{ m_log };
  std::unique_ptr<HttpServer> m_worker;
  std::vector<CallAnswer> m_answers;
  Quarantine m_quarantine;
  RolloutTable m_rollouts;
  std::vector<CrashReport> m_crashReports;
  std::uint64_t m_lastCall{ 0 };
  RunService m_service;
};

}

TEST_CASE("a request for another service does not reach the worker")
{
  // Guards against runs at the wrong service when the caller's daemon has an
  // outdated member table.
  int seenRequests = 0;
  RunServiceFixture fixture{ [&](const HttpRequest&, HttpResponder aResponder) {
    ++seenRequests;
    aResponder.Answer({ 200, { { "Seal", "s" }, { "Id", "r1" } } });
  } };
  CallRequest request = RunServiceFixture::ReleaseRequest();
  request.m_service = "ledger";
  const CallAnswer answer = fixture.Call(std::move(request));
  CHECK(answer.m_outcome == CallOutcome::NotRun);
  CHECK(answer.m_reason == RefusalReason::WorkerReplaced);
  CHECK_FALSE(answer.m_reachedWorker);
  CHECK(seenRequests == 0);
}

TEST_CASE("a worker's response determines the outcome of the run")
{
  HttpResponse workerResponse;
  RunServiceFixture fixture{ [&](const HttpRequest&, HttpResponder aResponder) {
    aResponder.Answer(workerResponse);
  } };
  SUBCASE("a signed success is returned as the answer")
  {
    workerResponse = { 200, { { "Seal", "s" }, { "Id", "r1" } }, "body" };
    const CallAnswer answer = fixture.Call(RunServiceFixture::ReleaseRequest());
    CHECK(answer.m_outcome == CallOutcome::Answered);
    CHECK(answer.m_response.m_body == "body");
  }
  SUBCASE("an unsigned success leaves the outcome unknown")
  {
    workerResponse = { 200, { { "Id", "r1" } }, "body" };
    const CallAnswer answer = fixture.Call(RunServiceFixture::ReleaseRequest());
    CHECK(answer.m_outcome == CallOutcome::Unknown);
  }
  SUBCASE("a refusal marked as not executed counts as not run")
  {
    workerResponse = { 503, { { "Not-Executed", "1" }, { "Id", "r1" } } };
    const CallAnswer answer = fixture.Call(RunServiceFixture::ReleaseRequest());
    CHECK(answer.m_outcome == CallOutcome::NotRun);
    CHECK(answer.m_reachedWorker);
  }
  SUBCASE("a refusal without the mark is returned as the answer")
  {
    workerResponse = { 503, { { "Id", "r1" } } };
    const CallAnswer answer = fixture.Call(RunServiceFixture::ReleaseRequest());
    CHECK(answer.m_outcome == CallOutcome::Answered);
    CHECK(answer.m_response.m_status == 503);
  }
}

TEST_CASE("a refusal that names no request proves nothing on a used connection")
{
  // Guards against a second run of a request because an additional response to
  // an earlier one is treated as its refusal.
  const HttpResponse named{ 200, { { "Seal", "s" }, { "Id", "r1" } } };
  const HttpResponse unnamed{ 503, { { "Not-Executed", "1" } } };
  HttpResponse workerResponse = named;
  RunServiceFixture fixture{ [&](const HttpRequest&, HttpResponder aResponder) {
    aResponder.Answer(workerResponse);
  } };
  CallRequest request = RunServiceFixture::ReleaseRequest();
  SUBCASE("of a request that may run once")
  {
    request.m_idempotent = false;
    CHECK(fixture.Call(request).m_outcome == CallOutcome::Answered);
    workerResponse = unnamed;
    const CallAnswer answer = fixture.Call(request);
    CHECK(answer.m_outcome == CallOutcome::Unknown);
    CHECK(answer.m_reason == RefusalReason::AnswerLost);
    // The next ones are sent on connections without earlier requests.
    CHECK(fixture.Call(request).m_outcome == CallOutcome::NotRun);
    CHECK(fixture.Call(request).m_outcome == CallOutcome::NotRun);
  }
  SUBCASE("of a request that may run again")
  {
    request.m_idempotent = true;
    CHECK(fixture.Call(request).m_outcome == CallOutcome::Answered);
    workerResponse = unnamed;
    CHECK(fixture.Call(request).m_outcome == CallOutcome::NotRun);
  }
}

TEST_CASE("a crash of the worker is reported with all its runs")
{
  // Guards against a crash report that lacks one of several concurrent runs.
  RunServiceFixture* fixturePtr = nullptr;
  std::vector<HttpResponder> responders;
  RunServiceFixture fixture{ [&](const HttpRequest&, HttpResponder aResponder) {
    responders.push_back(std::move(aResponder));
    if (responders.size() == 2) {
      fixturePtr->StopWorker();
    }
  } };
  fixturePtr = &fixture;
  CallRequest other = RunServiceFixture::ReleaseRequest();
  other.m_target = "/release/2";
  const auto answers =
    fixture.CallAll({ RunServiceFixture::ReleaseRequest(), other });
  for (const CallAnswer& each : answers) {
    CHECK(each.m_outcome == CallOutcome::Unknown);
    CHECK(each.m_reason == RefusalReason::WorkerCrashed);
    CHECK(each.m_reachedWorker);
  }
  REQUIRE(fixture.CrashReports().size() == 1);
  REQUIRE(fixture.CrashReports()[0].m_ran.size() == 2);
  CHECK(fixture.CrashReports()[0].m_ran[0].m_fingerprint ==
        RunServiceFixture::ReleaseFingerprint());
  CHECK(fixture.CrashReports()[0].m_ran[1].m_fingerprint ==
        CallFingerprint(kDialect, other));
}

TEST_CASE("a connection closed by a running worker is not a crash")
{
  // Guards against crash reports for resets, connection limits and truncated
  // answers.
  RunServiceFixture fixture{ [](const HttpRequest&, HttpResponder aResponder) {
    // Has no length and closes the connection, so it is truncated.
    aResponder.Answer({ 101, {} }, true);
  } };
  const CallAnswer answer = fixture.Call(RunServiceFixture::ReleaseRequest());
  CHECK(answer.m_outcome == CallOutcome::Unknown);
  CHECK(answer.m_reason == RefusalReason::AnswerLost);
  CHECK(fixture.CrashReports().empty());
}

TEST_CASE("the exit of a draining worker is not a crash")
{
  RunServiceFixture* fixturePtr = nullptr;
  std::vector<HttpResponder> responders;
  RunServiceFixture fixture{ [&](const HttpRequest&, HttpResponder aResponder) {
    responders.push_back(std::move(aResponder));
    fixturePtr->DrainWorker();
    fixturePtr->StopWorker();
  } };
  fixturePtr = &fixture;
  const CallAnswer answer = fixture.Call(RunServiceFixture::ReleaseRequest());
  CHECK(answer.m_reason == RefusalReason::AnswerLost);
  CHECK(fixture.CrashReports().empty());
}

TEST_CASE("a quarantined request does not reach the worker, even if queued")
{
  // Guards against running a request that is quarantined while it is queued for
  // the only slot.
  std::vector<std::string> seenRequests;
  RunServiceFixture* fixturePtr = nullptr;
  RunServiceFixture fixture{
    [&](const HttpRequest& aRequest, HttpResponder aResponder) {
      seenRequests.push_back(aRequest.m_target);
      fixturePtr->QuarantineRequests(RunServiceFixture::ReleaseFingerprint());
      aResponder.Answer({ 200, { { "Seal", "s" }, { "Id", "r1" } } });
    },
    1
  };
  fixturePtr = &fixture;
  CallRequest first = RunServiceFixture::ReleaseRequest();
  first.m_target = "/other";
  const auto answers =
    fixture.CallAll({ first, RunServiceFixture::ReleaseRequest() });
  CHECK(seenRequests == std::vector<std::string>{ "/other" });
  CHECK(answers[1].m_outcome == CallOutcome::NotRun);
  CHECK(answers[1].m_reason == RefusalReason::Quarantined);
  const CallAnswer next = fixture.Call(RunServiceFixture::ReleaseRequest());
  CHECK(next.m_reason == RefusalReason::Quarantined);
  CHECK(next.m_retryAfter > 9min);
  CHECK(seenRequests.size() == 1);
}

TEST_CASE("requests close to quarantine do not run concurrently")
{
  // Guards against a third crash under two suspect fingerprints, which would
  // quarantine both although one caused it.
  RunServiceFixture* fixturePtr = nullptr;
  std::vector<HttpResponder> responders;
  RunServiceFixture fixture{ [&](const HttpRequest&, HttpResponder aResponder) {
    responders.push_back(std::move(aResponder));
  } };
  fixturePtr = &fixture;
  CallRequest other = RunServiceFixture::ReleaseRequest();
  other.m_target = "/release/2";
  for (std::uint64_t i = 1; i <= 2; ++i) {
    CrashReport end{ i, "lockers-9", "locker-app", {}, {} };
    for (const CallRequest& each :
         { RunServiceFixture::ReleaseRequest(), other }) {
      end.m_ran.push_back(
        { CallFingerprint(kDialect, each), 5ms, std::nullopt });
    }
    static_cast<void>(fixturePtr->GetQuarantine().OnUpdate(
      Clock::now() - 10s + std::chrono::seconds{ i }, { { end }, {} }));
  }
  fixture.Send(RunServiceFixture::ReleaseRequest());
  const CallAnswer answer = fixture.Call(other);
  CHECK(answer.m_outcome == CallOutcome::NotRun);
  // RefusalReason::Quarantined prevents a retry at another worker.
  CHECK(answer.m_reason == RefusalReason::Quarantined);
  CHECK(answer.m_retryAfter == 100ms);
  CHECK(fixture.Call(RunServiceFixture::ReleaseRequest()).m_reason ==
        RefusalReason::Quarantined);
}

TEST_CASE("answers state how long the attempt was at the daemon")
{
  // Guards against queueing and run times that callers' daemons take for a
  // backlog of messages.
  RunServiceFixture fixture{ [&](const HttpRequest&, HttpResponder aResponder) {
    aResponder.Answer({ 200, { { "Seal", "s" }, { "Id", "r1" } } });
  } };
  SUBCASE("of a run")
  {
    const TimePoint before = Clock::now();
    const CallAnswer answer = fixture.Call(RunServiceFixture::ReleaseRequest());
    REQUIRE(answer.m_timeAtWorker);
    CHECK(*answer.m_timeAtWorker > 0us);
    CHECK(*answer.m_timeAtWorker <= Clock::now() - before);
  }
  SUBCASE("of a refusal")
  {
    fixture.DrainWorker();
    const CallAnswer answer = fixture.Call(RunServiceFixture::ReleaseRequest());
    CHECK(answer.m_reason == RefusalReason::Leaving);
    CHECK(answer.m_timeAtWorker);
  }
}

TEST_CASE("a request that a run makes is charged to the run's workspace")
{
  // Guards against a workspace that gets more than its share by nested calls.
  CallShare during;
  std::string traceparent;
  std::function<void(const HttpRequest&)> onRun;
  RunServiceFixture fixture{ [&](HttpRequest aRequest,
                                 HttpResponder aResponder) {
                              onRun(aRequest);
                              aResponder.Answer({ .m_status = 200 });
                            },
                             20,
                             kHopDialect };
  onRun = [&](const HttpRequest& aRequest) {
    traceparent = HeaderValue(aRequest.m_headers, kTraceparentHeader);
    during = fixture.ShareOfRun(traceparent);
  };
  CallRequest request = RunServiceFixture::ReleaseRequest();
  request.m_share = { 7, 2500 };
  CHECK(fixture.Call(request).m_outcome == CallOutcome::Answered);
  CHECK(during == request.m_share);
  CHECK_FALSE(traceparent.empty());
  // The run has ended.
  CHECK(fixture.ShareOfRun(traceparent) == CallShare{});
}
