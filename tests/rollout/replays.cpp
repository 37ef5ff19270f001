#include "rollout_lab.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::lab;
using namespace std::chrono_literals;

namespace {

constexpr int kPlays = 12;
constexpr double kMaxShare = 0.1;
constexpr std::uint64_t kSlack = 50;
constexpr auto kRollBackWithin = 5s;

std::vector<RolloutResult>
Play(const RolloutScenario& aScenario)
{
  std::vector<RolloutResult> results;
  for (std::uint64_t seed = 1; seed <= kPlays; ++seed) {
    results.push_back(RolloutLab{ aScenario, seed }.Run());
  }
  return results;
}

void
CheckBounded(const RolloutScenario& aScenario)
{
  for (const RolloutResult& each : Play(aScenario)) {
    CHECK(each.m_state == RolloutState::RolledBack);
    CHECK(static_cast<double>(each.m_exposed) <=
          kMaxShare * static_cast<double>(each.m_calls) + kSlack);
    CHECK(each.m_usedAfterHarm <= kRollBackWithin);
  }
}

}

TEST_CASE("a bad version of each kind is rolled back within its allowance")
{
  // A version fails, is slow, fails under load, on one route or late. Taken
  // for workers like all others, its workers got a third of all calls.
  using Fault = VersionFault;
  for (const Fault fault : { Fault::Errors,
                             Fault::Slow,
                             Fault::UnderLoad,
                             Fault::OneRoute,
                             Fault::Late }) {
    CAPTURE(static_cast<int>(fault));
    CheckBounded({ .m_fault = fault });
    CheckBounded({ .m_fault = fault, .m_share = 0.5, .m_duration = 12s });
    CheckBounded({ .m_fault = fault,
                   .m_oldWorkers = 6,
                   .m_newWorkers = 6,
                   .m_callsPerSecond = 150.0 });
  }
}

TEST_CASE("a bad version is found beside each other trouble")
{
  for (const Disturbance beside : { Disturbance::GreyWorkers,
                                    Disturbance::SlowWorkers,
                                    Disturbance::LostAnswers,
                                    Disturbance::FailingCallee,
                                    Disturbance::Burst }) {
    CAPTURE(static_cast<int>(beside));
    CheckBounded({ .m_fault = VersionFault::Errors, .m_beside = beside });
    CheckBounded({ .m_fault = VersionFault::Slow, .m_beside = beside });
  }
}

TEST_CASE("a fault that shows at the busiest workers only is found")
{
  // A version fails where most slots are taken. The workers that were tried
  // first had most of it, and were left out as the worst; the version was kept
  // in use for five seconds after the fiftieth answer that came to harm.
  for (const Disturbance beside : { Disturbance::None,
                                    Disturbance::GreyWorkers,
                                    Disturbance::FailingCallee }) {
    CAPTURE(static_cast<int>(beside));
    CheckBounded({ .m_fault = VersionFault::UnderLoad,
                   .m_beside = beside,
                   .m_loaded = 5 });
  }
}

TEST_CASE("a good version is completed in time, whatever else goes on")
{
  // Workers fail, are slow, lose answers, or a service that they call fails:
  // that hits both versions, and is no fault of the new one.
  for (const Disturbance beside : { Disturbance::None,
                                    Disturbance::GreyWorkers,
                                    Disturbance::SlowWorkers,
                                    Disturbance::LostAnswers,
                                    Disturbance::FailingCallee,
                                    Disturbance::Burst }) {
    CAPTURE(static_cast<int>(beside));
    const RolloutScenario scenario{ .m_beside = beside };
    for (const RolloutResult& each : Play(scenario)) {
      CHECK(each.m_state == RolloutState::Completed);
      CHECK(each.m_decidedAfter < scenario.m_duration);
      CHECK(each.m_cut == 0);
    }
  }
}

TEST_CASE("a daemon that takes over goes on with the roll-out")
{
  // The daemon that leads is lost while the version is tried, or while it has
  // all calls.
  for (const auto lost : { 2000ms, 6000ms, 9000ms }) {
    CAPTURE(lost.count());
    for (const RolloutResult& each : Play({ .m_leaderLost = lost })) {
      CHECK(each.m_state == RolloutState::Completed);
    }
    CheckBounded({ .m_fault = VersionFault::Late, .m_leaderLost = lost });
  }
}

TEST_CASE("where nobody leads any more, the version on trial gets nothing")
{
  // All that led are lost: leave runs out by itself.
  for (const RolloutResult& each : Play({ .m_fault = VersionFault::Late,
                                          .m_leaderLost = 3s,
                                          .m_hasSuccessor = false })) {
    CHECK(static_cast<double>(each.m_exposed) <=
          kMaxShare * static_cast<double>(each.m_calls) + kSlack);
    CHECK(each.m_usedAfterHarm <= kRollBackWithin);
  }
}
