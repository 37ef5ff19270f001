#include "one_worker.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::test;
using namespace std::chrono_literals;

namespace {

const CallStream kReleases{ .m_kind = { 500ms, 1 },
                            .m_priority = 0,
                            .m_interval = 25ms,
                            .m_service = 160ms,
                            .m_target = 500ms,
                            .m_deadline = 3s };
const CallStream kExports{ .m_kind = { 800ms, 2 },
                           .m_priority = 2,
                           .m_interval = 20ms,
                           .m_service = 60ms,
                           .m_target = 800ms,
                           .m_deadline = 5s };
constexpr double kLimit = 20.0;

void
StateLimit(SimulatedWorker& aWorker, double aLimit)
{
  aWorker.Table().Limiter().OnResponse(aWorker.Now(), aWorker.Now(), aLimit);
}

double
Answered(const StreamResult& aResult)
{
  return aResult.m_onTime + aResult.m_late;
}

}

TEST_CASE("a worker with a limit answers as much as the limit allows")
{
  // Four and a half times the limit arrives, with most slots free.
  SimulatedWorker worker{ 18 };
  StateLimit(worker, kLimit);
  const auto results = worker.Run({ kReleases, kExports }, 20s);
  const double answered = Answered(results[0]) + Answered(results[1]);
  CHECK(answered >= 0.95 * 20.0 * kLimit);
  CHECK(answered <= 1.1 * 20.0 * kLimit + 20.0);
}

TEST_CASE("at a worker's limit the higher rank is served first")
{
  // Exports hold a slot for a shorter time, which must not put them first.
  SimulatedWorker worker{ 18 };
  StateLimit(worker, kLimit);
  const auto results = worker.Run({ kReleases, kExports }, 20s);
  CHECK(Answered(results[0]) > 4.0 * Answered(results[1]));
}

TEST_CASE("a call beyond a worker's limit is refused long before its deadline")
{
  SimulatedWorker worker{ 18 };
  StateLimit(worker, kLimit);
  const auto results = worker.Run({ kReleases, kExports }, 20s);
  CHECK(results[0].m_longestRefusal <= 1s);
  CHECK(results[1].m_longestRefusal <= 1700ms);
}

TEST_CASE("below a worker's limit nothing is refused")
{
  SimulatedWorker worker{ 18 };
  StateLimit(worker, 60.0);
  const auto results = worker.Run({ kReleases }, 20s);
  CHECK(results[0].m_refused == 0);
  CHECK(results[0].m_late == 0);
}

TEST_CASE("a limit that halves under load is kept by what waits as well")
{
  SimulatedWorker worker{ 18 };
  StateLimit(worker, kLimit);
  static_cast<void>(worker.Run({ kReleases, kExports }, 10s));
  StateLimit(worker, kLimit / 2);
  static_cast<void>(worker.Run({ kReleases, kExports }, 4s));
  const auto results = worker.Run({ kReleases, kExports }, 20s);
  const double answered = Answered(results[0]) + Answered(results[1]);
  CHECK(answered <= 1.1 * 20.0 * kLimit / 2 + 10.0);
}

TEST_CASE("a refusal names the worker's limit and when there is room")
{
  RunTable table{ { .m_slots = 18, .m_queue = 72 } };
  const TimePoint now{ 1h };
  table.Limiter().OnResponse(now, now, 2.0);
  RunActions out;
  const auto admit = [&](std::uint64_t aCall, bool aRefuseIfBusy) {
    return table.Admit(now,
                       { 1, aCall },
                       1,
                       { .m_kind = { 400ms },
                         .m_timeLeft = 400ms,
                         .m_targetLeft = 400ms,
                         .m_refuseIfBusy = aRefuseIfBusy },
                       out);
  };
  REQUIRE(admit(1, true).m_kind == Admission::Kind::Start);
  const Admission second = admit(2, true);
  CHECK(second.m_reason == RefusalReason::RateLimited);
  CHECK(second.m_retryAfter >= 400ms);
  CHECK(second.m_retryAfter <= 600ms);
  CHECK(admit(3, false).m_reason == RefusalReason::RateLimited);
}

TEST_CASE("a queued call starts when the worker's limit allows it")
{
  // No run ends meanwhile, so that only the timer can start it.
  RunTable table{ { .m_slots = 18, .m_queue = 72 } };
  const TimePoint now{ 1h };
  table.Limiter().OnResponse(now, now, 10.0);
  RunActions out;
  const WorkDemand demand{ .m_timeLeft = 5s, .m_targetLeft = 5s };
  REQUIRE(table.Admit(now, { 1, 1 }, 1, demand, out).m_kind ==
          Admission::Kind::Start);
  REQUIRE(table.Admit(now, { 1, 2 }, 1, demand, out).m_kind ==
          Admission::Kind::Queued);
  REQUIRE(table.NextWakeUp(now));
  CHECK(*table.NextWakeUp(now) == now + 100ms);
  CHECK(table.OnTick(now + 99ms).m_start.empty());
  CHECK(table.OnTick(now + 100ms).m_start.size() == 1);
}

TEST_CASE("before its first response a worker gets half of its slots")
{
  // A daemon that has restarted does not know whether its worker has a limit.
  RunTable table{ { .m_slots = 8, .m_queue = 32 } };
  table.Limiter().ExpectFirstResponse();
  const TimePoint now{ 1h };
  RunActions out;
  const WorkDemand demand{ .m_timeLeft = 5s, .m_targetLeft = 5s };
  for (std::uint64_t call = 1; call <= 6; ++call) {
    static_cast<void>(table.Admit(now, { 1, call }, 1, demand, out));
  }
  CHECK(table.Running() == 4);
  table.Limiter().OnResponse(now + 100ms, now, std::nullopt);
  CHECK(table.OnTick(now + 100ms).m_start.size() == 2);
}
