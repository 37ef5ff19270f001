#include "greengagehub/workspaces/quota_client.hpp"
#include "greengagehub/workspaces/quota_coordinator.hpp"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <random>
#include <vector>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1000s };
constexpr QuotaTolerance kTolerance{};

WorkspaceTable
MakeTable(double aPerSecond, double aBurst)
{
  Content content;
  REQUIRE(content
            .Apply(fmt::format(
              R"({{"workspaces":{{"w":{{"per_second":{},"burst":{}}}}}}})",
              aPerSecond,
              aBurst))
            .empty());
  WorkspaceTable table;
  table.Update(content);
  return table;
}

struct Fleet
{
  Fleet(std::size_t aDaemons, WorkspaceTable aTable)
    : m_table(std::move(aTable))
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      m_clients.emplace_back(kTolerance, i + 1);
    }
    m_waiting.resize(aDaemons);
    m_isPartitioned.resize(aDaemons);
    m_coordinator.Start(m_now);
  }

  void Admit(std::size_t aDaemon, bool aIsNew)
  {
    const auto decision =
      m_clients[aDaemon].TryAdmit(m_now, ShortHash("w"), aIsNew);
    switch (decision.m_kind) {
      case QuotaDecision::Kind::Admitted:
        m_admittedAt.push_back(m_now);
        break;
      case QuotaDecision::Kind::Waiting:
        ++m_waiting[aDaemon];
        break;
      default:
        ++m_rejectedCount;
    }
  }

  void ExchangeQuery(std::size_t aDaemon)
  {
    const auto query = m_clients[aDaemon].NextQuery(m_now);
    if (!query || m_isPartitioned[aDaemon] || !m_hasCoordinator) {
      return;
    }
    ++m_queryCount;
    QuotaReport report{ .m_sequence = query->m_sequence,
                        .m_coordinator = "c",
                        .m_isGranting = true };
    report.m_grants = m_coordinator.OnDemands(
      m_now, fmt::format("d{}", aDaemon), query->m_demands, m_table);
    static_cast<void>(m_clients[aDaemon].OnReport(m_now, report));
    RetryWaiting(aDaemon);
  }

  void RetryWaiting(std::size_t aDaemon)
  {
    const std::size_t waiting = std::exchange(m_waiting[aDaemon], 0);
    for (std::size_t i = 0; i < waiting; ++i) {
      m_clients[aDaemon].CancelWait(ShortHash("w"));
    }
    for (std::size_t i = 0; i < waiting; ++i) {
      Admit(aDaemon, false);
    }
  }

  /// Simulates Poisson arrivals at random daemons.
  /// \param aRate requests per second over all daemons.
  void Simulate(Duration aDuration, double aRate)
  {
    std::exponential_distribution<double> interval{ aRate };
    TimePoint next = m_now;
    for (const TimePoint end = m_now + aDuration; m_now < end; m_now += 5ms) {
      for (; next <= m_now;
           next += std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>{ interval(m_random) })) {
        ++m_requestCount;
        Admit(Below(m_random, m_clients.size()), true);
      }
      for (std::size_t i = 0; i < m_clients.size(); ++i) {
        ExchangeQuery(i);
        RetryWaiting(i);
      }
    }
  }

  [[nodiscard]] std::size_t MaxInWindow() const
  {
    std::size_t highest = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < m_admittedAt.size(); ++i) {
      while (m_admittedAt[i] - m_admittedAt[first] > kTolerance.m_window) {
        ++first;
      }
      highest = std::max(highest, i - first + 1);
    }
    return highest;
  }

  WorkspaceTable m_table;
  std::vector<QuotaClient> m_clients;
  std::vector<std::size_t> m_waiting;
  std::vector<bool> m_isPartitioned;
  QuotaCoordinator m_coordinator{ kTolerance };
  bool m_hasCoordinator{ true };
  Random m_random{ 5 };
  TimePoint m_now{ kStart };
  std::vector<TimePoint> m_admittedAt;
  std::size_t m_requestCount{ 0 };
  std::size_t m_rejectedCount{ 0 };
  std::size_t m_queryCount{ 0 };
};

std::size_t
Allowance(double aPerSecond, double aBurst)
{
  const double window =
    std::chrono::duration<double>(kTolerance.m_window).count();
  return static_cast<std::size_t>((aPerSecond * window + aBurst) *
                                    (1.0 + kTolerance.m_overage) +
                                  kTolerance.m_slack);
}

}

TEST_CASE("rate, capacity and reserve of any quota stay within its allowance")
{
  for (const double rate : { 0.1, 1.0, 10.0, 500.0, 20'000.0 }) {
    for (const double burst : { 0.0, 1.0, rate, 5 * rate }) {
      const QuotaAllocation allocation = AllocateQuota(kTolerance, rate, burst);
      CHECK(allocation.m_rate <= rate + burst / 5);
      CHECK(allocation.m_rate >= 0.85 * rate);
      CHECK(allocation.m_capacity >= 1.0);
      const double span =
        std::chrono::duration<double>(kTolerance.m_window + kTokenLifetime)
          .count();
      CHECK(allocation.m_rate * span + allocation.m_capacity +
              allocation.m_reserve <=
            (rate * 5 + burst) * 1.1 + 20 + 1e-6);
    }
  }
}

TEST_CASE("a workspace of any size below its limit has almost no rejections")
{
  for (const double limit : { 2.0, 16.0, 160.0, 800.0 }) {
    Fleet fleet{ 62, MakeTable(limit, limit) };
    fleet.Simulate(2s, limit / 1.6);
    fleet.m_rejectedCount = 0;
    fleet.m_requestCount = 0;
    fleet.Simulate(15s, limit / 1.6);
    CAPTURE(limit);
    CHECK(fleet.m_rejectedCount <= fleet.m_requestCount / 200);
    CHECK(fleet.MaxInWindow() <= Allowance(limit, limit));
  }
}

TEST_CASE("an overloading workspace gets its limit and no window exceeds the "
          "allowance")
{
  for (const double limit : { 2.0, 16.0, 160.0 }) {
    Fleet fleet{ 62, MakeTable(limit, limit) };
    fleet.Simulate(3s, limit / 1.6);
    fleet.Simulate(10s, limit * 5);
    CAPTURE(limit);
    CHECK(fleet.MaxInWindow() <= Allowance(limit, limit));
    const double admitted = static_cast<double>(fleet.m_admittedAt.size());
    CHECK(admitted >= 0.85 * (3 * limit / 1.6 + 10 * limit));
  }
}

TEST_CASE(
  "connected and partitioned daemons together stay within the allowance")
{
  for (const double limit : { 2.0, 16.0, 160.0 }) {
    Fleet fleet{ 62, MakeTable(limit, limit) };
    // The reserve is divided once the predecessor's shares have expired.
    fleet.Simulate(17s, limit / 1.6);
    for (std::size_t i = 0; i < 22; ++i) {
      fleet.m_isPartitioned[i] = true;
    }
    fleet.Simulate(8s, limit * 5);
    fleet.m_hasCoordinator = false;
    fleet.Simulate(1500ms, limit * 5);
    fleet.m_coordinator.Start(fleet.m_now);
    fleet.m_hasCoordinator = true;
    fleet.Simulate(6s, limit * 5);
    CAPTURE(limit);
    CHECK(fleet.MaxInWindow() <= Allowance(limit, limit));
  }
}

TEST_CASE("the reserve admits at least half of the usual load without a "
          "coordinator")
{
  Fleet fleet{ 62, MakeTable(160, 160) };
  fleet.Simulate(17s, 100);
  fleet.m_rejectedCount = 0;
  fleet.m_requestCount = 0;
  fleet.m_hasCoordinator = false;
  fleet.Simulate(1500ms, 100);
  CHECK(fleet.m_rejectedCount <= fleet.m_requestCount / 2);
}

TEST_CASE("the number of queries scales with daemons, not with requests")
{
  Fleet fleet{ 62, MakeTable(4000, 4000) };
  fleet.Simulate(3s, 2000);
  fleet.m_queryCount = 0;
  fleet.Simulate(5s, 2000);
  // About 10,000 requests were sent.
  CHECK(fleet.m_queryCount <= 62 * 5 * 8);
}

TEST_CASE("a duplicate report grants no further tokens")
{
  QuotaClient client{ kTolerance, 1 };
  CHECK(client.TryAdmit(kStart, 9, true).m_kind ==
        QuotaDecision::Kind::Waiting);
  const auto query = client.NextQuery(kStart);
  REQUIRE(query);
  const QuotaReport report{ .m_sequence = query->m_sequence,
                            .m_coordinator = "c",
                            .m_isGranting = true,
                            .m_grants = {
                              { .m_workspace = 9, .m_tokens = 1 } } };
  client.CancelWait(9);
  CHECK(client.OnReport(kStart + 2ms, report) == kStart);
  CHECK_FALSE(client.OnReport(kStart + 3ms, report));
  CHECK(client.TryAdmit(kStart + 4ms, 9, false).m_kind ==
        QuotaDecision::Kind::Admitted);
  CHECK(client.TryAdmit(kStart + 4ms, 9, true).m_kind ==
        QuotaDecision::Kind::Waiting);
}

TEST_CASE("the lifetime of tokens starts with the query, not with the report")
{
  QuotaClient client{ kTolerance, 1 };
  static_cast<void>(client.TryAdmit(kStart, 9, true));
  const auto query = client.NextQuery(kStart);
  client.CancelWait(9);
  REQUIRE(
    client.OnReport(kStart + 90ms,
                    { .m_sequence = query->m_sequence,
                      .m_coordinator = "c",
                      .m_isGranting = true,
                      .m_grants = { { .m_workspace = 9, .m_tokens = 5 } } }));
  CHECK(client.TryAdmit(kStart + kTokenLifetime - 1ms, 9, true).m_kind ==
        QuotaDecision::Kind::Admitted);
  CHECK(client.TryAdmit(kStart + kTokenLifetime, 9, true).m_kind ==
        QuotaDecision::Kind::Waiting);
}

TEST_CASE("a denial ends when the bucket holds the missing token")
{
  // Guards against a retry delay that ignores the part of a token in the
  // bucket.
  const WorkspaceTable table = MakeTable(4, 0);
  const double rate = AllocateQuota(kTolerance, 4, 0).m_rate;
  QuotaCoordinator coordinator{ kTolerance };
  coordinator.Start(kStart);
  const auto demand = [&](TimePoint aNow) {
    return coordinator
      .OnDemands(
        aNow, "d1", { { .m_workspace = ShortHash("w"), .m_wanted = 1 } }, table)
      .front();
  };
  const auto interval = std::chrono::milliseconds{ std::lround(1000 / rate) };
  const QuotaGrant empty = demand(kStart);
  CHECK(empty.m_tokens == 0);
  CHECK(empty.m_retryAfter >= interval);
  const QuotaGrant partial = demand(kStart + interval / 2);
  CHECK(partial.m_tokens == 0);
  CHECK(partial.m_retryAfter <= interval / 2 + 1ms);
  CHECK(demand(kStart + interval + 1ms).m_tokens == 1);
}
