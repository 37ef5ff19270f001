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
  record.m_leave = { 500, 0, 0, RolloutTable::kLeaveTime };
  return record;
}

/// Versions that a call may go to, in turn.
std::vector<std::string>
Allowed(const RolloutTable& aTable, TimePoint aNow, bool aTrial)
{
  std::vector<std::string> versions;
  for (const VersionRule& rule : aTable.RulesFor(aNow, "lockers", aTrial)) {
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

TEST_CASE("a version on trial gets calls only while leave lasts")
{
  // A daemon is cut off from the others right after it was lent leave. It must
  // not go on trying a version that is found bad meanwhile.
  RolloutTable table;
  CHECK(table.RulesFor(kNow, "lockers", true).IsEmpty());
  CHECK(table.OnOrder(kNow, kOrder, "v1") == Change::State);
  CHECK(Allowed(table, kNow, true) == Versions{ "v1" });
  CHECK_FALSE(table.MayRun(kNow, "lockers", "v2"));

  CHECK(table.Take(kNow, Record(RolloutState::Running)) == Change::Leave);
  CHECK(Allowed(table, kNow, true) == Versions{ "v2", "v1" });
  CHECK(Allowed(table, kNow, false) == Versions{ "v1" });
  CHECK(table.MayRun(kNow, "lockers", "v2"));

  const TimePoint later = kNow + RolloutTable::kLeaveTime;
  CHECK(Allowed(table, later, true) == Versions{ "v1" });
  CHECK_FALSE(table.MayRun(later, "lockers", "v2"));
  CHECK(table.MayRun(later, "lockers", "v1"));

  CHECK(table.Take(later, Record(RolloutState::Running, 2)) == Change::Leave);
  table.DropLeaves();
  CHECK(Allowed(table, later, true) == Versions{ "v1" });
}

TEST_CASE("a version that was rolled back gets nothing any more")
{
  RolloutTable table;
  CHECK(table.Take(kNow, Record(RolloutState::RolledBack)) == Change::State);
  CHECK(Allowed(table, kNow, true) == Versions{ "v1" });
  CHECK_FALSE(table.MayRun(kNow, "lockers", "v2"));
  // A leave that was lent before comes late.
  CHECK(table.Take(kNow, Record(RolloutState::Running, 9)) == Change::None);
  CHECK_FALSE(table.MayRun(kNow, "lockers", "v2"));
  // Once the others have left, a worker that has not told its version yet is
  // one of those in service.
  CHECK(Allowed(table, kNow + RolloutTable::kOthersGone, true) ==
        Versions{ "v1", "" });
}

TEST_CASE("a completed version gets all, also before the old workers are gone")
{
  RolloutTable table;
  CHECK(table.Take(kNow, Record(RolloutState::Completing)) == Change::State);
  CHECK(Allowed(table, kNow, false) == Versions{ "v2" });
  CHECK(table.OnStatus(kNow, "lockers", "v2", RolloutState::Completed) ==
        Change::State);
  CHECK(Allowed(table, kNow, false) == Versions{ "v2" });
  CHECK(table.Find(kNow, "lockers")->m_isWritten);
}

TEST_CASE("the store's word on how it ended is kept, and never changed")
{
  // Two daemons lead at once: one rolls back, the other one's "completed"
  // comes to the store first.
  RolloutTable table;
  CHECK(table.Take(kNow, Record(RolloutState::RolledBack)) == Change::State);
  CHECK(table.OnStatus(kNow, "lockers", "v2", RolloutState::Completed) ==
        Change::State);
  CHECK(table.Take(kNow, Record(RolloutState::RolledBack, 99)) == Change::None);
  CHECK(table.OnStatus(kNow, "lockers", "v2", RolloutState::RolledBack) ==
        Change::None);
  CHECK(Allowed(table, kNow, false) == Versions{ "v2" });
}

TEST_CASE("an order that was decided is not tried again")
{
  // The store comes back from an older copy, and tells the order anew.
  RolloutTable table;
  CHECK(table.OnOrder(kNow, kOrder, "v1") == Change::State);
  CHECK(table.Take(kNow, Record(RolloutState::RolledBack)) == Change::State);
  CHECK(table.OnOrder(kNow, kOrder, "v1") == Change::None);
  const RolloutOrder next{ "lockers", "v3", 12s };
  CHECK(table.OnOrder(kNow, next, "v1") == Change::State);
  CHECK(table.OnOrder(kNow, kOrder, "v1") == Change::None);
  const auto record = table.Find(kNow, "lockers");
  CHECK(record->m_order.m_target == "v3");
  // Workers of the version that failed may still be there.
  CHECK(record->m_base == "v1");
  CHECK(Allowed(table, kNow, true) == Versions{ "v1" });
}

TEST_CASE("the next order starts from the version that the last one brought")
{
  RolloutTable table;
  CHECK(table.Take(kNow, Record(RolloutState::Completing)) == Change::State);
  CHECK(table.OnStatus(kNow, "lockers", "v2", RolloutState::Completed) ==
        Change::State);
  CHECK(table.OnOrder(kNow, { "lockers", "v3", 12s }, "v1") == Change::State);
  CHECK(table.Find(kNow, "lockers")->m_base == "v2");
}

TEST_CASE("daemons that know the same have the same digest")
{
  RolloutTable one;
  RolloutTable two;
  CHECK(one.Summary() == 0);
  CHECK(one.OnOrder(kNow, kOrder, "v1") == Change::State);
  CHECK(two.Take(kNow + 1s, *one.Find(kNow + 1s, "lockers")) == Change::State);
  CHECK(one.Summary() == two.Summary());
  // A leave that is renewed changes nothing that has to be compared.
  CHECK(one.Take(kNow, Record(RolloutState::Running)) == Change::Leave);
  CHECK(one.Summary() == two.Summary());
  CHECK(one.Take(kNow, Record(RolloutState::RolledBack)) == Change::State);
  CHECK(one.Summary() != two.Summary());
  CHECK(two.Find(kNow + 3s, "lockers")->m_age == 3s);
}
