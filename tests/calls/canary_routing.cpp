#include "greengagehub/calls/dispatcher.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

RolloutRecord
CanaryRecord(std::uint32_t aPermille,
             std::uint32_t aWorkers,
             std::uint32_t aFirst)
{
  RolloutRecord record;
  record.m_order = { "lockers", "v2", 15s };
  record.m_generation = 1;
  record.m_base = "v1";
  record.m_step = 1;
  record.m_permit = { aPermille, aWorkers, aFirst, 1500ms };
  return record;
}

/// A dispatcher with four workers of the version in service and four of
/// another.
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

  /// \returns Slot of the first attempt.
  std::string Send()
  {
    CallPlan plan;
    plan.m_service = "lockers";
    plan.m_idempotent = true;
    plan.m_deadline = kStart + 1s;
    plan.m_target = kStart + 1s;
    return SlotOf(m_dispatcher.Begin(kStart, ++m_calls, std::move(plan)));
  }

  /// The worker of the last attempt fails.
  std::string Fail()
  {
    CallAnswer answer;
    answer.m_call = m_attempt;
    answer.m_outcome = CallOutcome::Answered;
    answer.m_response.m_status = 500;
    answer.m_reachedWorker = true;
    return SlotOf(m_dispatcher.OnAnswer(kStart + 1ms, std::move(answer)));
  }

  /// \returns Number of first attempts at each version, of 400 calls.
  std::map<std::string, int> CountByVersion(
    std::set<std::string>* aCanarySlots = nullptr)
  {
    std::map<std::string, int> sent;
    for (int i = 0; i < 400; ++i) {
      const std::string slot = Send();
      ++sent[slot.substr(0, 2)];
      if (aCanarySlots != nullptr && slot.starts_with("v2")) {
        aCanarySlots->insert(slot);
      }
    }
    return sent;
  }

  RolloutTable m_rollouts;
  Dispatcher m_dispatcher{ 1 };

private:
  std::string SlotOf(const DispatchActions& aActions)
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

TEST_CASE("workers of a new version get no calls without a roll-out")
{
  // A daemon may see the new workers before it receives the roll-out.
  TwoVersions fleet;
  CHECK(fleet.CountByVersion()["v2"] == 0);
}

TEST_CASE(
  "a canary gets its share of calls, at the workers permitted in a step")
{
  TwoVersions fleet;
  REQUIRE(fleet.m_rollouts.ApplyRecord(kStart, CanaryRecord(100, 1, 0)) ==
          RolloutTable::Change::State);
  std::set<std::string> first;
  const int canaryCalls = fleet.CountByVersion(&first)["v2"];
  CHECK(canaryCalls > 20);
  CHECK(canaryCalls < 70);
  CHECK(first.size() == 1);

  RolloutRecord next = CanaryRecord(100, 1, 1);
  next.m_step = 2;
  REQUIRE(fleet.m_rollouts.ApplyRecord(kStart, next) ==
          RolloutTable::Change::Permit);
  std::set<std::string> second;
  static_cast<void>(fleet.CountByVersion(&second));
  CHECK(second.size() == 1);
  CHECK(first != second);
}

TEST_CASE(
  "a call that fails at the canary is retried at the version in service")
{
  // A call assigned to the version in service is never retried at the canary.
  TwoVersions fleet;
  REQUIRE(fleet.m_rollouts.ApplyRecord(kStart, CanaryRecord(300, 0, 0)) ==
          RolloutTable::Change::State);
  int movedToBase = 0;
  for (int i = 0; i < 400; ++i) {
    const bool wasCanary = fleet.Send().starts_with("v2");
    const std::string retrySlot = fleet.Fail();
    CHECK_FALSE(retrySlot.starts_with("v2"));
    movedToBase += wasCanary && retrySlot.starts_with("v1") ? 1 : 0;
  }
  CHECK(movedToBase > 0);
}

TEST_CASE(
  "a version gets no calls after its roll-back, even without alternatives")
{
  TwoVersions fleet;
  RolloutRecord record = CanaryRecord(1000, 0, 0);
  record.m_state = RolloutState::RolledBack;
  REQUIRE(fleet.m_rollouts.ApplyRecord(kStart, record) ==
          RolloutTable::Change::State);
  CHECK(fleet.CountByVersion()["v2"] == 0);
  for (int i = 0; i < 4; ++i) {
    fleet.m_dispatcher.Workers().Remove("v1" + std::to_string(i));
  }
  CHECK(fleet.Send().empty());
}
