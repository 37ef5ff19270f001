#include "greengagehub/workspaces/reserve_book.hpp"

#include "greengagehub/core/random.hpp"
#include "greengagehub/workspaces/querier_monitor.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1000s };

}

TEST_CASE(
  "shares of the reserve that may be used in one window never exceed it")
{
  // Guards against shares that are re-divided while others still hold theirs.
  struct Granted
  {
    std::uint64_t m_daemon;
    std::uint32_t m_share;
    TimePoint m_from;
    TimePoint m_expiresAt;
  };
  constexpr double kReserve = 20.0;
  constexpr std::uint64_t kDaemonCount = 40;
  constexpr auto kLifetime = 2000ms;
  constexpr auto kWindow = 1000ms;
  ReserveBook book;
  Random random{ 3 };
  std::vector<Granted> all;
  for (TimePoint now = kStart; now < kStart + 30s; now += 10ms) {
    const std::uint64_t daemon = Below(random, kDaemonCount);
    const auto wanted = static_cast<std::uint32_t>(Below(random, 6));
    const std::uint32_t share =
      book.Grant(now, daemon, wanted, kReserve, kLifetime + kWindow);
    all.push_back({ daemon, share, now, now + kLifetime });
    CHECK(book.Booked() <= 20);
    // Of each daemon, the highest share that was valid in the last window.
    std::vector<std::uint32_t> shares(kDaemonCount);
    for (const Granted& each : all) {
      if (each.m_expiresAt > now - kWindow) {
        shares[each.m_daemon] = std::max(shares[each.m_daemon], each.m_share);
      }
    }
    std::uint32_t sum = 0;
    for (const std::uint32_t each : shares) {
      sum += each;
    }
    REQUIRE(sum <= 20);
  }
}

TEST_CASE("the parts of all shards are within the allowance")
{
  // Guards against an allowance that grows with the number of shards.
  for (const double slack : { 0.0, 20.0 }) {
    for (const double rate : { 0.1, 1.0, 2.0, 160.0, 20'000.0 }) {
      for (std::uint32_t shards = 1; shards <= kMaxQuotaShards; ++shards) {
        const QuotaTolerance tolerance{ .m_slack = slack };
        const QuotaAllocation part =
          AllocateQuota(tolerance, rate, rate, shards);
        const std::uint32_t used =
          CountUsedShards(tolerance, rate, rate, shards);
        const double allowance = (rate * 5 + rate) * 1.1 + slack;
        CAPTURE(rate);
        CAPTURE(shards);
        CHECK(used >= 1);
        CHECK(used <= shards);
        CHECK((part.m_capacity >= 1.0 || used == 1));
        CHECK(part.m_reserve >= 0.0);
        CHECK(used * (part.m_rate * 5.4 + part.m_capacity + part.m_reserve) <=
              allowance + 1e-6);
      }
    }
  }
}

TEST_CASE("a coordinator that few of its peers query is out of reach")
{
  // Guards against an unreachable daemon that keeps a shard.
  QuerierMonitor monitor;
  monitor.Start(kStart);
  TimePoint now = kStart;
  for (; now < kStart + 10s; now += 100ms) {
    for (std::uint64_t i = 0; i < 20; ++i) {
      monitor.OnQuery(now, i);
    }
    REQUIRE_FALSE(monitor.IsOutOfReach(now, 61));
  }
  const TimePoint cutAt = now;
  while (!monitor.IsOutOfReach(now, 61)) {
    REQUIRE(now < cutAt + 5s);
    now += 100ms;
  }
  CHECK(now - cutAt >= QuerierMonitor::kTooFewFor);
}

TEST_CASE("a coordinator of one or two daemons is never out of reach")
{
  // Guards against a small fleet that loses its coordinator with its peer.
  for (const std::size_t peers : { 0U, 1U }) {
    QuerierMonitor monitor;
    monitor.Start(kStart);
    CHECK_FALSE(monitor.IsOutOfReach(kStart + 60s, peers));
  }
}
