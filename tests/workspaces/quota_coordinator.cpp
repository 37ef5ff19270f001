#include "greengagehub/workspaces/quota_coordinator.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1000s };
constexpr QuotaTolerance kTolerance{};

WorkspaceTable
TableWith(double aPerSecond)
{
  Content content;
  REQUIRE(content
            .Apply(fmt::format(
              R"({{"workspaces":{{"w":{{"per_second":{},"burst":{}}}}}}})",
              aPerSecond,
              aPerSecond))
            .empty());
  WorkspaceTable table;
  table.Update(content);
  return table;
}

QuotaGrant
Demand(QuotaCoordinator& aCoordinator,
       TimePoint aNow,
       const WorkspaceTable& aTable,
       std::uint32_t aWanted,
       bool aGetsReserve = true)
{
  const auto grants = aCoordinator.OnDemands(
    aNow, "a", { { ShortHash("w"), aWanted, 10'000 } }, aTable, aGetsReserve);
  REQUIRE(grants.size() == 1);
  return grants[0];
}

}

TEST_CASE("a successor's buckets start empty")
{
  // Guards against a burst of the successor beside that of its predecessor.
  const WorkspaceTable table = TableWith(160);
  QuotaCoordinator coordinator{ kTolerance, { 1, 4 } };
  coordinator.Start(kStart);
  CHECK(Demand(coordinator, kStart, table, 100).m_tokens == 0);
  const auto later = Demand(coordinator, kStart + 10s, table, 1000);
  CHECK(later.m_tokens > 0);
  coordinator.Start(kStart + 11s);
  CHECK(Demand(coordinator, kStart + 11s, table, 100).m_tokens == 0);
}

TEST_CASE(
  "a successor deals no reserve until its predecessor's shares no longer "
  "count")
{
  // Guards against a reserve that is dealt twice.
  const WorkspaceTable table = TableWith(160);
  QuotaCoordinator coordinator{ kTolerance, { 1, 4 } };
  coordinator.Start(kStart);
  const auto counts = kReserveLifetime + kTolerance.m_window;
  CHECK(Demand(coordinator, kStart + counts - 1ms, table, 1).m_milliReserve ==
        0);
  CHECK(Demand(coordinator, kStart + counts, table, 1).m_milliReserve > 0);
}

TEST_CASE("a daemon whose shares do not expire gets none")
{
  // Guards against shares of daemons of the previous version that are dealt
  // again.
  const WorkspaceTable table = TableWith(160);
  QuotaCoordinator coordinator{ kTolerance };
  coordinator.Start(kStart);
  CHECK(Demand(coordinator, kStart + 60s, table, 1, false).m_milliReserve == 0);
}

TEST_CASE("shards without a part of a small allowance grant nothing")
{
  // Guards against an allowance that is granted by more shards than divide it.
  const WorkspaceTable table = TableWith(1);
  const QuotaTolerance tight{ .m_slack = 0.0 };
  double granted = 0;
  for (std::uint32_t i = 0; i < 16; ++i) {
    QuotaCoordinator coordinator{ tight, { i, 16 } };
    coordinator.Start(kStart);
    granted += Demand(coordinator, kStart + 60s, table, 100).m_tokens;
  }
  CHECK(granted <= (1 * 5 + 1) * 1.1);
}
