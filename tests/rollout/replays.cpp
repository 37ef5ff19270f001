#include "rollout_lab.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::lab;
using namespace std::chrono_literals;

namespace {

constexpr int kReplays = 12;
constexpr double kMaxShare = 0.1;
constexpr std::uint64_t kSlack = 50;
constexpr auto kRollBackWithin = 5s;

std::vector<RolloutResult>
RunReplays(const RolloutScenario& aScenario)
{
  std::vector<RolloutResult> results;
  for (std::uint64_t seed = 1; seed <= kReplays; ++seed) {
    results.push_back(RolloutLab{ aScenario, seed }.Run());
  }
  return results;
}

void
CheckBounded(const RolloutScenario& aScenario)
{
  for (const RolloutResult& each : RunReplays(aScenario)) {
    CHECK(each.m_state == RolloutState::RolledBack);
    CHECK(static_cast<double>(each.m_newVersionCalls) <=
          kMaxShare * static_cast<double>(each.m_calls) + kSlack);
    CHECK(each.m_usedAfterBadRuns <= kRollBackWithin);
  }
}

}

TEST_CASE("a version with any kind of fault is rolled back within its limits")
{
  // Guards against a bad version that gets as many calls as one in service.
  using Fault = VersionFault;
  for (const Fault fault : { Fault::Errors,
                             Fault::Slow,
                             Fault::UnderLoad,
                             Fault::OneRoute,
                             Fault::Late }) {
    CAPTURE(static_cast<int>(fault));
    CheckBounded({ .m_fault = fault });
    CheckBounded({ .m_fault = fault, .m_faultShare = 0.5, .m_duration = 12s });
    CheckBounded({ .m_fault = fault,
                   .m_oldWorkers = 6,
                   .m_newWorkers = 6,
                   .m_callsPerSecond = 150.0 });
  }
}

TEST_CASE("a bad version is detected during any other disturbance")
{
  for (const Disturbance disturbance : { Disturbance::GreyWorkers,
                                         Disturbance::SlowWorkers,
                                         Disturbance::LostAnswers,
                                         Disturbance::FailingCallee,
                                         Disturbance::Burst }) {
    CAPTURE(static_cast<int>(disturbance));
    CheckBounded(
      { .m_fault = VersionFault::Errors, .m_disturbance = disturbance });
    CheckBounded(
      { .m_fault = VersionFault::Slow, .m_disturbance = disturbance });
  }
}

TEST_CASE("a fault that affects only the busiest workers is detected")
{
  // Guards against ignoring the affected workers as the worst ones.
  for (const Disturbance disturbance : { Disturbance::None,
                                         Disturbance::GreyWorkers,
                                         Disturbance::FailingCallee }) {
    CAPTURE(static_cast<int>(disturbance));
    CheckBounded({ .m_fault = VersionFault::UnderLoad,
                   .m_disturbance = disturbance,
                   .m_loadThreshold = 5 });
  }
}

TEST_CASE("a good version is completed in time despite other disturbances")
{
  // The disturbances affect both versions.
  for (const Disturbance disturbance : { Disturbance::None,
                                         Disturbance::GreyWorkers,
                                         Disturbance::SlowWorkers,
                                         Disturbance::LostAnswers,
                                         Disturbance::FailingCallee,
                                         Disturbance::Burst }) {
    CAPTURE(static_cast<int>(disturbance));
    const RolloutScenario scenario{ .m_disturbance = disturbance };
    for (const RolloutResult& each : RunReplays(scenario)) {
      CHECK(each.m_state == RolloutState::Completed);
      CHECK(each.m_decidedAfter < scenario.m_duration);
      CHECK(each.m_pendingAtCompletion == 0);
    }
  }
}

TEST_CASE("a roll-out continues after its leader is lost")
{
  // The leader is lost during the canary phase, or after all calls have moved.
  for (const auto leaderLost : { 2000ms, 6000ms, 9000ms }) {
    CAPTURE(leaderLost.count());
    for (const RolloutResult& each :
         RunReplays({ .m_leaderLost = leaderLost })) {
      CHECK(each.m_state == RolloutState::Completed);
    }
    CheckBounded({ .m_fault = VersionFault::Late, .m_leaderLost = leaderLost });
  }
}

TEST_CASE("a canary without a leader receives no calls")
{
  // Permits must expire when no leader renews them.
  for (const RolloutResult& each : RunReplays({ .m_fault = VersionFault::Late,
                                                .m_leaderLost = 3s,
                                                .m_hasSuccessor = false })) {
    CHECK(static_cast<double>(each.m_newVersionCalls) <=
          kMaxShare * static_cast<double>(each.m_calls) + kSlack);
    CHECK(each.m_usedAfterBadRuns <= kRollBackWithin);
  }
}
