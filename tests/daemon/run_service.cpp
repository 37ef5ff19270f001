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
                                .m_tracesHops = false };

/// A daemon's side beside a worker whose answers the test gives.
class WorkerSide
{
public:
  explicit WorkerSide(HttpServer::Handler aWorker, std::uint32_t aSlots = 20)
    : m_worker(std::make_unique<HttpServer>(m_loop,
                                            HttpServerSettings{},
                                            std::move(aWorker)))
    , m_service(
        { .m_loop = m_loop,
          .m_settings = MakeSettings(aSlots),
          .m_dialect = kDialect,
          .m_metrics = m_metrics,
          .m_requests = m_requests,
          .m_quarantine = m_quarantine,
          .m_rollouts = m_rollouts,
          .m_seed = 1,
          .m_answer =
            [this](CallKey, CallAnswer aAnswer) {
              m_answers.push_back(std::move(aAnswer));
            },
          .m_trace = [](const Span&) {},
          .m_onEnd =
            [this](EndReport aReport) { m_ends.push_back(std::move(aReport)); },
          .m_onRanWell = [](Fingerprint) {},
          .m_mayRepeat = [](TimePoint) { return true; } })
  {
  }

  CallAnswer Ask(CallRequest aRequest)
  {
    const std::size_t before = m_answers.size();
    m_service.OnRequest({ 1, ++m_lastCall }, 0, std::move(aRequest));
    while (m_answers.size() == before &&
           m_loop.run_one_for(std::chrono::seconds{ 10 }) > 0) {
    }
    REQUIRE(m_answers.size() > before);
    return m_answers.back();
  }

  /// Sends several, and waits for as many answers.
  std::vector<CallAnswer> AskAll(std::vector<CallRequest> aRequests)
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

  /// Sends one without waiting for its answer.
  void Send(CallRequest aRequest)
  {
    m_service.OnRequest({ 1, ++m_lastCall }, 0, std::move(aRequest));
  }

  void Leave() { m_service.StartLeaving(); }
  /// The content has ended three workers elsewhere.
  void Hold(Fingerprint aContent)
  {
    ContentVerdict verdict;
    verdict.m_content = aContent;
    verdict.m_generation = 1;
    verdict.m_isHeld = true;
    static_cast<void>(m_quarantine.OnNews(Clock::now(), { {}, { verdict } }));
  }

  /// The worker's process ends: its connections close, nobody listens.
  void EndWorker()
  {
    asio::post(m_loop, [this] { m_worker.reset(); });
  }
  Quarantine& Held() { return m_quarantine; }
  [[nodiscard]] const std::vector<EndReport>& Ends() const { return m_ends; }

  static Fingerprint ContentOfRelease()
  {
    return ContentOf(kDialect, Release());
  }

  static CallRequest Release()
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
  RequestLog m_requests{ m_log };
  std::unique_ptr<HttpServer> m_worker;
  std::vector<CallAnswer> m_answers;
  Quarantine m_quarantine;
  RolloutTable m_rollouts;
  std::vector<EndReport> m_ends;
  std::uint64_t m_lastCall{ 0 };
  RunService m_service;
};

}

TEST_CASE("a request for another service does not reach the worker")
{
  // The caller's daemon has old news: the instance that had this address
  // before ran another service. Whatever is handed to the worker here is run.
  int seen = 0;
  WorkerSide side{ [&](const HttpRequest&, HttpResponder aResponder) {
    ++seen;
    aResponder.Answer({ 200, { { "Seal", "s" }, { "Id", "r1" } } });
  } };
  CallRequest request = WorkerSide::Release();
  request.m_service = "ledger";
  const CallAnswer answer = side.Ask(std::move(request));
  CHECK(answer.m_outcome == CallOutcome::NotRun);
  CHECK(answer.m_reason == RefusalReason::WorkerReplaced);
  CHECK_FALSE(answer.m_reachedWorker);
  CHECK(seen == 0);
}

TEST_CASE("what a worker's answer says of the run")
{
  HttpResponse given;
  WorkerSide side{ [&](const HttpRequest&, HttpResponder aResponder) {
    aResponder.Answer(given);
  } };
  SUBCASE("a signed success is the answer")
  {
    given = { 200, { { "Seal", "s" }, { "Id", "r1" } }, "body" };
    const CallAnswer answer = side.Ask(WorkerSide::Release());
    CHECK(answer.m_outcome == CallOutcome::Answered);
    CHECK(answer.m_response.m_body == "body");
  }
  SUBCASE("an unsigned success may have run, and is no answer")
  {
    given = { 200, { { "Id", "r1" } }, "body" };
    const CallAnswer answer = side.Ask(WorkerSide::Release());
    CHECK(answer.m_outcome == CallOutcome::Unknown);
  }
  SUBCASE("a marked refusal did not run, though it reached the worker")
  {
    given = { 503, { { "Not-Executed", "1" }, { "Id", "r1" } } };
    const CallAnswer answer = side.Ask(WorkerSide::Release());
    CHECK(answer.m_outcome == CallOutcome::NotRun);
    CHECK(answer.m_reachedWorker);
  }
  SUBCASE("a refusal without the mark is the worker's own failure")
  {
    given = { 503, { { "Id", "r1" } } };
    const CallAnswer answer = side.Ask(WorkerSide::Release());
    CHECK(answer.m_outcome == CallOutcome::Answered);
    CHECK(answer.m_response.m_status == 503);
  }
}

TEST_CASE("an end of the worker is told with all that ran there")
{
  // Two requests run as the process ends; a third waits for a slot.
  WorkerSide* side = nullptr;
  std::vector<HttpResponder> kept;
  WorkerSide worker{ [&](const HttpRequest&, HttpResponder aResponder) {
    kept.push_back(std::move(aResponder));
    if (kept.size() == 2) {
      side->EndWorker();
    }
  } };
  side = &worker;
  CallRequest other = WorkerSide::Release();
  other.m_target = "/release/2";
  const auto answers = worker.AskAll({ WorkerSide::Release(), other });
  for (const CallAnswer& each : answers) {
    CHECK(each.m_outcome == CallOutcome::Unknown);
    CHECK(each.m_reason == RefusalReason::WorkerEnded);
    CHECK(each.m_reachedWorker);
  }
  REQUIRE(worker.Ends().size() == 1);
  REQUIRE(worker.Ends()[0].m_ran.size() == 2);
  CHECK(worker.Ends()[0].m_ran[0].m_content == WorkerSide::ContentOfRelease());
  CHECK(worker.Ends()[0].m_ran[1].m_content == ContentOf(kDialect, other));
}

TEST_CASE("a connection that a living worker closes is not taken for an end")
{
  // A reset of its connections, a limit on them, or an answer broken off.
  WorkerSide worker{ [](const HttpRequest&, HttpResponder aResponder) {
    // Without a length and closed at once: cut off.
    aResponder.Answer({ 101, {} }, true);
  } };
  const CallAnswer answer = worker.Ask(WorkerSide::Release());
  CHECK(answer.m_outcome == CallOutcome::Unknown);
  CHECK(answer.m_reason == RefusalReason::AnswerLost);
  CHECK(worker.Ends().empty());
}

TEST_CASE("an end of a worker that said that it leaves is nobody's fault")
{
  WorkerSide* side = nullptr;
  std::vector<HttpResponder> kept;
  WorkerSide worker{ [&](const HttpRequest&, HttpResponder aResponder) {
    kept.push_back(std::move(aResponder));
    side->Leave();
    side->EndWorker();
  } };
  side = &worker;
  const CallAnswer answer = worker.Ask(WorkerSide::Release());
  CHECK(answer.m_reason == RefusalReason::AnswerLost);
  CHECK(worker.Ends().empty());
}

TEST_CASE(
  "a request that is held does not reach the worker, nor from the queue")
{
  // One slot. A request waits behind another as the news comes that such
  // requests have ended three workers.
  std::vector<std::string> seen;
  WorkerSide* side = nullptr;
  WorkerSide worker{
    [&](const HttpRequest& aRequest, HttpResponder aResponder) {
      seen.push_back(aRequest.m_target);
      side->Hold(WorkerSide::ContentOfRelease());
      aResponder.Answer({ 200, { { "Seal", "s" }, { "Id", "r1" } } });
    },
    1
  };
  side = &worker;
  CallRequest first = WorkerSide::Release();
  first.m_target = "/other";
  const auto answers = worker.AskAll({ first, WorkerSide::Release() });
  CHECK(seen == std::vector<std::string>{ "/other" });
  CHECK(answers[1].m_outcome == CallOutcome::NotRun);
  CHECK(answers[1].m_reason == RefusalReason::Held);
  const CallAnswer next = worker.Ask(WorkerSide::Release());
  CHECK(next.m_reason == RefusalReason::Held);
  CHECK(next.m_retryAfter > 9min);
  CHECK(seen.size() == 1);
}

TEST_CASE("contents close to being held do not run side by side")
{
  // Both have run at the same two ends. Side by side again, the third would
  // have both held; apart, it shows which of them did it. A copy waits too: it
  // would end the next worker with what it learns nothing from.
  WorkerSide* side = nullptr;
  std::vector<HttpResponder> kept;
  WorkerSide worker{ [&](const HttpRequest&, HttpResponder aResponder) {
    kept.push_back(std::move(aResponder));
  } };
  side = &worker;
  CallRequest other = WorkerSide::Release();
  other.m_target = "/release/2";
  for (std::uint64_t i = 1; i <= 2; ++i) {
    EndReport end{ i, "lockers-9", "locker-app", {}, {} };
    for (const CallRequest& each : { WorkerSide::Release(), other }) {
      end.m_ran.push_back({ ContentOf(kDialect, each), 5ms, std::nullopt });
    }
    static_cast<void>(side->Held().OnNews(
      Clock::now() - 10s + std::chrono::seconds{ i }, { { end }, {} }));
  }
  worker.Send(WorkerSide::Release());
  const CallAnswer answer = worker.Ask(other);
  CHECK(answer.m_outcome == CallOutcome::NotRun);
  // Not to be tried at another worker.
  CHECK(answer.m_reason == RefusalReason::Held);
  CHECK(answer.m_retryAfter == 100ms);
  CHECK(worker.Ask(WorkerSide::Release()).m_reason == RefusalReason::Held);
}
