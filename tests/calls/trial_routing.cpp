#include "greengagehub/calls/dispatcher.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

RolloutRecord
Trial(std::uint32_t aPermille, std::uint32_t aWorkers, std::uint32_t aFirst)
{
  RolloutRecord record;
  record.m_order = { "lockers", "v2", 15s };
  record.m_generation = 1;
  record.m_base = "v1";
  record.m_step = 1;
  record.m_leave = { aPermille, aWorkers, aFirst, 1500ms };
  return record;
}

/// Four workers in service and four of another version.
class TwoVersions
{
public:
  TwoVersions()
  {
    for (const char* version : { "v1", "v2" }) {
      for (int i = 0; i < 4; ++i) {
        WorkerRow row;
        row.m_slot = version + std::to_string(i);
        row.m_service = "lockers";
        row.m_version = version;
        m_dispatcher.Workers().Put(std::move(row));
      }
    }
    m_dispatcher.SetRollouts(m_rollouts);
  }

  /// \returns Slot of the first try.
  std::string Send()
  {
    CallPlan plan;
    plan.m_service = "lockers";
    plan.m_idempotent = true;
    plan.m_deadline = kStart + 1s;
    plan.m_target = kStart + 1s;
    return SlotIn(m_dispatcher.Begin(kStart, ++m_calls, std::move(plan)));
  }

  /// The last try's worker fails.
  /// \returns Slot of the next try.
  std::string Fail()
  {
    CallAnswer answer;
    answer.m_call = m_attempt;
    answer.m_outcome = CallOutcome::Answered;
    answer.m_response.m_status = 500;
    answer.m_reachedWorker = true;
    return SlotIn(m_dispatcher.OnAnswer(kStart + 1ms, std::move(answer)));
  }

  /// \returns How many of 400 calls begin at each version.
  std::map<std::string, int> Spread(std::set<std::string>* aSlots = nullptr)
  {
    std::map<std::string, int> sent;
    for (int i = 0; i < 400; ++i) {
      const std::string slot = Send();
      ++sent[slot.substr(0, 2)];
      if (aSlots != nullptr && slot.starts_with("v2")) {
        aSlots->insert(slot);
      }
    }
    return sent;
  }

  RolloutTable m_rollouts;
  Dispatcher m_dispatcher{ 1 };

private:
  std::string SlotIn(const DispatchActions& aActions)
  {
    for (const DispatchAction& each : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&each)) {
        m_attempt = send->m_attempt;
        return send->m_slot;
      }
    }
    return {};
  }

  std::uint64_t m_calls{ 0 };
  std::uint64_t m_attempt{ 0 };
};

}

TEST_CASE("workers of a version that has just come get nothing without order")
{
  // They are started at the moment of the order, and a daemon may see them
  // before it hears of it.
  TwoVersions fleet;
  CHECK(fleet.Spread()["v2"] == 0);
}

TEST_CASE("a trial gets its share, on the workers whose turn it is")
{
  TwoVersions fleet;
  REQUIRE(fleet.m_rollouts.Take(kStart, Trial(100, 1, 0)) ==
          RolloutTable::Change::State);
  std::set<std::string> first;
  const int tried = fleet.Spread(&first)["v2"];
  CHECK(tried > 20);
  CHECK(tried < 70);
  CHECK(first.size() == 1);

  RolloutRecord next = Trial(100, 1, 1);
  next.m_step = 2;
  REQUIRE(fleet.m_rollouts.Take(kStart, next) == RolloutTable::Change::Leave);
  std::set<std::string> second;
  static_cast<void>(fleet.Spread(&second));
  CHECK(second.size() == 1);
  CHECK(first != second);
}

TEST_CASE("a call that fails at the version on trial goes back to the other")
{
  // And one that did not draw the trial never goes there, whatever fails.
  TwoVersions fleet;
  REQUIRE(fleet.m_rollouts.Take(kStart, Trial(300, 0, 0)) ==
          RolloutTable::Change::State);
  int triedBoth = 0;
  for (int i = 0; i < 400; ++i) {
    const bool trial = fleet.Send().starts_with("v2");
    const std::string again = fleet.Fail();
    CHECK_FALSE(again.starts_with("v2"));
    triedBoth += trial && again.starts_with("v1") ? 1 : 0;
  }
  CHECK(triedBoth > 0);
}

TEST_CASE("after a roll-back nothing goes to that version, not even last")
{
  TwoVersions fleet;
  RolloutRecord record = Trial(1000, 0, 0);
  record.m_state = RolloutState::RolledBack;
  REQUIRE(fleet.m_rollouts.Take(kStart, record) == RolloutTable::Change::State);
  CHECK(fleet.Spread()["v2"] == 0);
  for (int i = 0; i < 4; ++i) {
    fleet.m_dispatcher.Workers().Remove("v1" + std::to_string(i));
  }
  CHECK(fleet.Send().empty());
}
