#include "greengagehub/rollout/rollout.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow{ 1h };
const RolloutOrder kOrder{ "lockers", "v2", 15s };
using Change = RolloutTable::Change;

RolloutRecord
Record(RolloutState aState, std::uint64_t aStep = 1)
{
  RolloutRecord record;
  record.m_order = kOrder;
  record.m_generation = 1;
  record.m_base = "v1";
  record.m_state = aState;
  record.m_step = aStep;
  record.m_permit = { 500, 0, 0, RolloutTable::kPermitTime };
  return record;
}

/// Versions that a call may go to, in order of preference.
std::vector<std::string>
Allowed(const RolloutTable& aTable, TimePoint aNow, bool aIsCanary)
{
  std::vector<std::string> versions;
  for (const VersionRule& rule : aTable.RulesFor(aNow, "lockers", aIsCanary)) {
    for (const char* each : { "v1", "v2", "" }) {
      if (rule.Allows(each)) {
        versions.emplace_back(each);
      }
    }
  }
  return versions;
}

using Versions = std::vector<std::string>;

}

TEST_CASE("a canary receives calls only under a valid permit")
{
  // A daemon may be cut off from its peers during the roll-out.
  RolloutTable table;
  CHECK(table.RulesFor(kNow, "lockers", true).IsEmpty());
  CHECK(table.OnOrder(kNow, kOrder, "v1") == Change::State);
  CHECK(Allowed(table, kNow, true) == Versions{ "v1" });
  CHECK_FALSE(table.MayRun(kNow, "lockers", "v2"));

  CHECK(table.ApplyRecord(kNow, Record(RolloutState::Running)) ==
        Change::Permit);
  CHECK(Allowed(table, kNow, true) == Versions{ "v2", "v1" });
  CHECK(Allowed(table, kNow, false) == Versions{ "v1" });
  CHECK(table.MayRun(kNow, "lockers", "v2"));

  const TimePoint later = kNow + RolloutTable::kPermitTime;
  CHECK(Allowed(table, later, true) == Versions{ "v1" });
  CHECK_FALSE(table.MayRun(later, "lockers", "v2"));
  CHECK(table.MayRun(later, "lockers", "v1"));

  CHECK(table.ApplyRecord(later, Record(RolloutState::Running, 2)) ==
        Change::Permit);
  table.RevokePermits();
  CHECK(Allowed(table, later, true) == Versions{ "v1" });
}

TEST_CASE("a version that was rolled back receives no calls")
{
  RolloutTable table;
  CHECK(table.ApplyRecord(kNow, Record(RolloutState::RolledBack)) ==
        Change::State);
  CHECK(Allowed(table, kNow, true) == Versions{ "v1" });
  CHECK_FALSE(table.MayRun(kNow, "lockers", "v2"));
  // A permit that was granted earlier arrives late.
  CHECK(table.ApplyRecord(kNow, Record(RolloutState::Running, 9)) ==
        Change::None);
  CHECK_FALSE(table.MayRun(kNow, "lockers", "v2"));
  // Workers without a reported version are then assumed to be in service.
  CHECK(Allowed(table, kNow + RolloutTable::kOldWorkersStoppedAfter, true) ==
        Versions{ "v1", "" });
}

TEST_CASE("a completed version receives all calls, even beside old workers")
{
  RolloutTable table;
  CHECK(table.ApplyRecord(kNow, Record(RolloutState::Completing)) ==
        Change::State);
  CHECK(Allowed(table, kNow, false) == Versions{ "v2" });
  CHECK(table.OnStatus(kNow, "lockers", "v2", RolloutState::Completed) ==
        Change::State);
  CHECK(Allowed(table, kNow, false) == Versions{ "v2" });
  CHECK(table.Find(kNow, "lockers")->m_isWritten);
}

TEST_CASE("a final state accepted by the store never changes")
{
  // Two leaders decide differently, and the store accepts the completion first.
  RolloutTable table;
  CHECK(table.ApplyRecord(kNow, Record(RolloutState::RolledBack)) ==
        Change::State);
  CHECK(table.OnStatus(kNow, "lockers", "v2", RolloutState::Completed) ==
        Change::State);
  CHECK(table.ApplyRecord(kNow, Record(RolloutState::RolledBack, 99)) ==
        Change::None);
  CHECK(table.OnStatus(kNow, "lockers", "v2", RolloutState::RolledBack) ==
        Change::None);
  CHECK(Allowed(table, kNow, false) == Versions{ "v2" });
}

TEST_CASE("a decided order is not run again")
{
  // The store is restored from an older copy that still contains the order.
  RolloutTable table;
  CHECK(table.OnOrder(kNow, kOrder, "v1") == Change::State);
  CHECK(table.ApplyRecord(kNow, Record(RolloutState::RolledBack)) ==
        Change::State);
  CHECK(table.OnOrder(kNow, kOrder, "v1") == Change::None);
  const RolloutOrder next{ "lockers", "v3", 12s };
  CHECK(table.OnOrder(kNow, next, "v1") == Change::State);
  CHECK(table.OnOrder(kNow, kOrder, "v1") == Change::None);
  const auto record = table.Find(kNow, "lockers");
  CHECK(record->m_order.m_target == "v3");
  // The rolled-back version does not become the base.
  CHECK(record->m_base == "v1");
  CHECK(Allowed(table, kNow, true) == Versions{ "v1" });
}

TEST_CASE("the next order starts from the completed version")
{
  RolloutTable table;
  CHECK(table.ApplyRecord(kNow, Record(RolloutState::Completing)) ==
        Change::State);
  CHECK(table.OnStatus(kNow, "lockers", "v2", RolloutState::Completed) ==
        Change::State);
  CHECK(table.OnOrder(kNow, { "lockers", "v3", 12s }, "v1") == Change::State);
  CHECK(table.Find(kNow, "lockers")->m_base == "v2");
}

TEST_CASE("equal tables have equal digests")
{
  RolloutTable first;
  RolloutTable second;
  CHECK(first.Summary() == 0);
  CHECK(first.OnOrder(kNow, kOrder, "v1") == Change::State);
  CHECK(second.ApplyRecord(kNow + 1s, *first.Find(kNow + 1s, "lockers")) ==
        Change::State);
  CHECK(first.Summary() == second.Summary());
  // A renewed permit does not change the digest.
  CHECK(first.ApplyRecord(kNow, Record(RolloutState::Running)) ==
        Change::Permit);
  CHECK(first.Summary() == second.Summary());
  CHECK(first.ApplyRecord(kNow, Record(RolloutState::RolledBack)) ==
        Change::State);
  CHECK(first.Summary() != second.Summary());
  CHECK(second.Find(kNow + 3s, "lockers")->m_age == 3s);
}
