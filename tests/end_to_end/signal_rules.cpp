#include "testkit/signal_rules.hpp"

#include <doctest/doctest.h>

using namespace greengagehub::testkit;
using namespace std::chrono_literals;

namespace {

const UnixMs kStart{ 1h };

/// All requests begin at daemon "a" and are sent when they arrive.
SignalRules
RulesFor(const WorkerHistory& aHistory, std::vector<DaemonFault> aFaults = {})
{
  return { [&aHistory](const std::string& aId) {
            for (const auto& each : aHistory.m_arrivals) {
              if (each.m_id == aId) {
                return RequestOrigin{ "a", each.m_at };
              }
            }
            return RequestOrigin{ "a", kStart };
          },
           std::move(aFaults) };
}

/// A limit of 10 a second is stated at the start and in the first response;
/// requests arrive at the given interval for ten seconds.
WorkerHistory
LimitedHistory(std::chrono::milliseconds aInterval)
{
  WorkerHistory history;
  history.m_limits = { { kStart, 10.0 } };
  history.m_statements = { { kStart, "first", true, false } };
  for (auto at = 0ms; at < 10s; at += aInterval) {
    history.m_arrivals.push_back(
      { kStart + at, std::to_string(history.m_arrivals.size()) });
  }
  return history;
}

}

TEST_CASE("the check of limits finds a worker that gets too much")
{
  // 60 ms make 66 requests in 4 s, 65 are allowed.
  const WorkerHistory tooMany = LimitedHistory(60ms);
  CHECK(RulesFor(tooMany).CheckLimit(tooMany));
  const WorkerHistory allowed = LimitedHistory(63ms);
  CHECK_FALSE(RulesFor(allowed).CheckLimit(allowed));
}

TEST_CASE("a restarted daemon is not bound by what it passed on before")
{
  const WorkerHistory tooMany = LimitedHistory(60ms);
  CHECK_FALSE(RulesFor(tooMany, { { "a", kStart + 100ms, kStart + 10s } })
                .CheckLimit(tooMany));
  CHECK(RulesFor(tooMany, { { "b", kStart + 100ms, kStart + 10s } })
          .CheckLimit(tooMany));
}

TEST_CASE("the check of drains finds a request to a worker that is leaving")
{
  WorkerHistory history;
  history.m_statements = { { kStart, "first", false, true } };
  history.m_arrivals = { { kStart + 1900ms, "early" } };
  CHECK_FALSE(RulesFor(history).CheckLeaving(history));
  history.m_arrivals.push_back({ kStart + 2100ms, "late" });
  CHECK(RulesFor(history).CheckLeaving(history));
  CHECK_FALSE(RulesFor(history, { { "a", kStart + 2050ms, kStart + 2060ms } })
                .CheckLeaving(history));
}
