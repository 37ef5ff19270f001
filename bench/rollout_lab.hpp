#pragma once

#include "greengagehub/rollout/rollout.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <vector>

/// \file
/// \brief Simulation of roll-outs in virtual time: the real decisions with
/// calls to simulated workers.

namespace greengagehub::lab {

enum class VersionFault : std::uint8_t
{
  None,
  Errors,
  Slow,
  /// Fails at workers with at least m_loadThreshold pending calls.
  UnderLoad,
  OneRoute,
  /// Fails from kLateFaultDelay after the order.
  Late,
};

/// \brief A disturbance that starts 3 s after the order and does not depend on
/// the version.
enum class Disturbance : std::uint8_t
{
  None,
  /// A fifth of the workers fails 40% of its runs.
  GreyWorkers,
  /// A fifth of the workers takes four times as long.
  SlowWorkers,
  /// Half of the workers lose 30% of their answers.
  LostAnswers,
  /// A service that both versions call fails 40% of their runs for 4 s.
  FailingCallee,
  /// The call rate grows by a factor of 1.6.
  Burst,
};

struct RolloutScenario
{
  VersionFault m_fault{ VersionFault::None };
  Disturbance m_disturbance{ Disturbance::None };
  /// Share of the new version's runs that the fault affects.
  double m_faultShare{ 0.33 };
  double m_slowFactor{ 8.0 };
  std::uint32_t m_loadThreshold{ 3 };
  std::uint32_t m_oldWorkers{ 57 };
  std::uint32_t m_newWorkers{ 57 };
  double m_callsPerSecond{ 1865.0 };
  std::chrono::milliseconds m_duration{ 15'000 };
  /// Time from the order to the loss of the leader; 0 for no loss. A successor
  /// leads kTakeoverDelay later.
  std::chrono::milliseconds m_leaderLost{ 0 };
  bool m_hasSuccessor{ true };
};

struct RolloutResult
{
  RolloutState m_state{ RolloutState::Running };
  RollbackCause m_cause{ RollbackCause::None };
  /// Time from the order to the final state.
  Duration m_decidedAfter{};
  /// Calls from the order to its deadline: all, and those at the new version.
  std::uint64_t m_calls{ 0 };
  std::uint64_t m_newVersionCalls{ 0 };
  /// Time from the 50th bad run to the last call to the new version.
  Duration m_usedAfterBadRuns{};
  /// Pending calls at the old workers when the roll-out completed.
  std::uint64_t m_pendingAtCompletion{ 0 };
};

/// \brief Simulates a roll-out from its order until two seconds after its
/// deadline.
class RolloutLab
{
public:
  static constexpr std::chrono::milliseconds kTick{ 50 };
  static constexpr std::chrono::milliseconds kLateFaultDelay{ 4000 };
  static constexpr std::chrono::milliseconds kTakeoverDelay{ 2000 };

  RolloutLab(RolloutScenario aScenario, std::uint64_t aSeed)
    : m_scenario(aScenario)
    , m_random(aSeed)
  {
    AddWorkers("old", m_scenario.m_oldWorkers, Clock::duration::zero());
    AddWorkers("new", m_scenario.m_newWorkers, kNewWorkersDelay);
  }

  RolloutResult Run()
  {
    const RolloutOrder order{ kService, "new", m_scenario.m_duration };
    static_cast<void>(m_table.OnOrder(m_now, order, "old"));
    const TimePoint end = m_now + m_scenario.m_duration;
    m_leader.emplace(m_now, "new", RolloutLimits{});
    while (m_now < end + std::chrono::seconds{ 2 }) {
      m_now += kTick;
      FinishRuns();
      GenerateCalls(m_now <= end);
      RunLeader();
    }
    return m_result;
  }

private:
  static constexpr const char* kService = "lockers";
  static constexpr std::chrono::milliseconds kNewWorkersDelay{ 800 };
  static constexpr std::chrono::milliseconds kColdStart{ 3000 };
  static constexpr std::chrono::milliseconds kReportInterval{ 300 };
  static constexpr std::uint64_t kBadRunLimit = 50;
  static constexpr std::chrono::milliseconds kDeadline{ 2500 };
  static constexpr std::size_t kSlots = 6;

  struct Route
  {
    std::uint64_t m_id;
    double m_weight;
    double m_mean;
  };
  static constexpr std::array kRoutes{ Route{ 11, 0.55, 120.0 },
                                       Route{ 12, 0.40, 160.0 },
                                       Route{ 13, 0.05, 60.0 } };

  struct Worker
  {
    std::string m_slot;
    bool m_isNew{ false };
    double m_speed{ 1.0 };
    bool m_isDisturbed{ false };
    TimePoint m_startsAt;
    std::vector<TimePoint> m_freeAt{ std::vector<TimePoint>(kSlots) };
    std::uint32_t m_pendingCalls{ 0 };
    RunCounter m_runCounter;
  };
  struct RunEnd
  {
    TimePoint m_at;
    std::size_t m_worker{ 0 };
    std::uint64_t m_route{ 0 };
    RunCounter::Result m_result{};
    Duration m_took{};
    bool m_isBad{ false };
    [[nodiscard]] bool operator>(const RunEnd& aOther) const
    {
      return m_at > aOther.m_at;
    }
  };

  [[nodiscard]] Duration SinceOrder() const { return m_now - kOrderedAt; }
  [[nodiscard]] bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>{}(m_random) < aShare;
  }
  [[nodiscard]] bool IsDisturbed(Disturbance aKind) const
  {
    const bool isCallee = aKind == Disturbance::FailingCallee;
    const Duration until =
      isCallee ? std::chrono::seconds{ 7 } : std::chrono::seconds{ 9 };
    return m_scenario.m_disturbance == aKind &&
           SinceOrder() > std::chrono::seconds{ 3 } && SinceOrder() < until;
  }

  void AddWorkers(const std::string& aVersion,
                  std::uint32_t aCount,
                  Duration aStartDelay)
  {
    constexpr std::array kSpeeds{ 0.7, 0.7, 1.6 };
    const double disturbedShare =
      m_scenario.m_disturbance == Disturbance::LostAnswers ? 0.5 : 0.2;
    for (std::uint32_t i = 0; i < aCount; ++i) {
      Worker worker;
      worker.m_slot = aVersion + std::to_string(i);
      worker.m_isNew = aVersion == "new";
      worker.m_speed = kSpeeds.at(Below(m_random, kSpeeds.size()));
      worker.m_isDisturbed = Chance(disturbedShare);
      worker.m_startsAt = kOrderedAt + aStartDelay;
      m_workers.push_back(std::move(worker));
    }
  }

  void FinishRuns()
  {
    while (!m_runEnds.empty() && m_runEnds.top().m_at <= m_now) {
      const RunEnd runEnd = m_runEnds.top();
      m_runEnds.pop();
      Worker& worker = m_workers[runEnd.m_worker];
      --worker.m_pendingCalls;
      const bool isCold =
        worker.m_isNew && runEnd.m_at < worker.m_startsAt + kColdStart;
      worker.m_runCounter.Ended(
        runEnd.m_route, runEnd.m_result, runEnd.m_took, isCold);
      m_badRuns += runEnd.m_isBad ? 1 : 0;
      if (m_badRuns == kBadRunLimit && !m_badRunsAt) {
        m_badRunsAt = runEnd.m_at;
      }
    }
  }

  void GenerateCalls(bool aCountsCalls)
  {
    const double burst = IsDisturbed(Disturbance::Burst) ? 1.6 : 1.0;
    m_dueCalls += burst * m_scenario.m_callsPerSecond *
                  std::chrono::duration<double>(kTick).count();
    for (; m_dueCalls >= 1.0; m_dueCalls -= 1.0) {
      m_result.m_calls += aCountsCalls ? 1 : 0;
      const auto chosen = ChooseWorker();
      if (!chosen) {
        continue;
      }
      const bool isNew = m_workers[*chosen].m_isNew;
      m_result.m_newVersionCalls += isNew && aCountsCalls ? 1 : 0;
      if (isNew && m_badRunsAt) {
        m_result.m_usedAfterBadRuns = m_now - *m_badRunsAt;
      }
      StartRun(*chosen);
    }
  }

  [[nodiscard]] std::optional<std::size_t> ChooseWorker()
  {
    const bool isCanary = m_table.DrawsCanary(m_now, kService, m_random);
    for (const VersionRule& rule :
         m_table.RulesFor(m_now, kService, isCanary)) {
      std::vector<std::size_t> allowed;
      for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const Worker& worker = m_workers[i];
        const bool fits = rule.Allows(worker.m_isNew ? "new" : "old") &&
                          m_now >= worker.m_startsAt;
        if (fits) {
          allowed.push_back(i);
        }
      }
      if (rule.m_workers > 0 && rule.m_workers < allowed.size()) {
        const auto first = allowed.begin() + static_cast<std::ptrdiff_t>(
                                               rule.m_first % allowed.size());
        std::rotate(allowed.begin(), first, allowed.end());
        allowed.resize(rule.m_workers);
      }
      if (!allowed.empty()) {
        const std::size_t one = allowed[Below(m_random, allowed.size())];
        const std::size_t two = allowed[Below(m_random, allowed.size())];
        return m_workers[one].m_pendingCalls <= m_workers[two].m_pendingCalls
                 ? one
                 : two;
      }
    }
    return std::nullopt;
  }

  void StartRun(std::size_t aWorker)
  {
    Worker& worker = m_workers[aWorker];
    const double drawn = std::uniform_real_distribution<>{}(m_random);
    const Route& route =
      kRoutes.at(drawn < 0.55 ? 0U : (drawn < 0.95 ? 1U : 2U));
    constexpr double kSpread = 0.6;
    std::lognormal_distribution<> work{ std::log(route.m_mean) - 0.18,
                                        kSpread };
    double runMs = work(m_random) * worker.m_speed;
    const bool isCold =
      worker.m_isNew && m_now < worker.m_startsAt + kColdStart;
    runMs *= isCold ? 2.0 : 1.0;
    runMs *=
      IsDisturbed(Disturbance::SlowWorkers) && worker.m_isDisturbed ? 4.0 : 1.0;
    RunEnd runEnd;
    runEnd.m_worker = aWorker;
    runEnd.m_route = route.m_id;
    runEnd.m_isBad = worker.m_isNew && IsBadRun(worker, route);
    const bool slow =
      runEnd.m_isBad && m_scenario.m_fault == VersionFault::Slow;
    runMs *= slow ? m_scenario.m_slowFactor : 1.0;
    runEnd.m_result = DrawResult(worker, runEnd.m_isBad && !slow);
    const auto whole = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>{ runMs });
    const Duration span = std::min<Duration>(whole, kDeadline);
    if (whole > kDeadline) {
      runEnd.m_result = RunCounter::Result::Expired;
    }
    const auto slot = std::ranges::min_element(worker.m_freeAt);
    const TimePoint start = std::max(*slot, m_now);
    *slot = start + span;
    runEnd.m_took = span;
    runEnd.m_at = *slot;
    ++worker.m_pendingCalls;
    worker.m_runCounter.Arrived();
    m_runEnds.push(runEnd);
  }

  [[nodiscard]] bool IsBadRun(const Worker& aWorker, const Route& aRoute)
  {
    switch (m_scenario.m_fault) {
      case VersionFault::None:
        return false;
      case VersionFault::UnderLoad:
        return aWorker.m_pendingCalls >= m_scenario.m_loadThreshold &&
               Chance(m_scenario.m_faultShare);
      case VersionFault::OneRoute:
        return aRoute.m_id == kRoutes[1].m_id &&
               Chance(m_scenario.m_faultShare);
      case VersionFault::Late:
        return SinceOrder() > kLateFaultDelay &&
               Chance(m_scenario.m_faultShare);
      default:
        return Chance(m_scenario.m_faultShare);
    }
  }

  [[nodiscard]] RunCounter::Result DrawResult(const Worker& aWorker,
                                              bool aFails)
  {
    constexpr double kBaseFailureShare = 0.004;
    const bool grey =
      IsDisturbed(Disturbance::GreyWorkers) && aWorker.m_isDisturbed;
    const bool callee = IsDisturbed(Disturbance::FailingCallee);
    const bool lost =
      IsDisturbed(Disturbance::LostAnswers) && aWorker.m_isDisturbed;
    if (aFails || Chance(grey || callee ? 0.4 : kBaseFailureShare)) {
      return RunCounter::Result::Failed;
    }
    return lost && Chance(0.3) ? RunCounter::Result::Lost
                               : RunCounter::Result::Good;
  }

  void RunLeader()
  {
    const auto lost = m_scenario.m_leaderLost;
    if (lost.count() > 0 && SinceOrder() >= lost && !m_wasLost) {
      m_wasLost = true;
      m_leader.reset();
    }
    const bool takesOver = m_wasLost && !m_leader &&
                           m_scenario.m_hasSuccessor &&
                           SinceOrder() >= lost + kTakeoverDelay;
    if (takesOver) {
      m_leader.emplace(m_now, "new", RolloutLimits{});
    }
    const auto record = m_table.Find(m_now, kService);
    if (!m_leader || IsFinal(record->m_state)) {
      return;
    }
    if (m_now >= m_nextReport) {
      m_nextReport = m_now + kReportInterval;
      ReportCounts();
    }
    const auto decision = m_leader->OnTick(
      m_now, *record, { m_scenario.m_oldWorkers, StartedNew() });
    if (decision) {
      ApplyDecision(decision->m_record);
    }
  }

  [[nodiscard]] std::uint32_t StartedNew() const
  {
    return m_now >= kOrderedAt + kNewWorkersDelay ? m_scenario.m_newWorkers : 0;
  }

  void ReportCounts()
  {
    for (const Worker& each : m_workers) {
      WorkerCounts counts;
      counts.m_slot = each.m_slot;
      counts.m_process = 1;
      counts.m_service = kService;
      counts.m_version = each.m_isNew ? "new" : "old";
      counts.m_pendingCalls = each.m_pendingCalls;
      counts.m_arrived = each.m_runCounter.CountArrived();
      counts.m_routes = each.m_runCounter.Routes();
      m_leader->OnCounts(counts);
    }
  }

  void ApplyDecision(RolloutRecord aRecord)
  {
    if (aRecord.m_state == RolloutState::Completing) {
      // The simulated store confirms the write at once.
      aRecord.m_state = RolloutState::Completed;
      for (const Worker& each : m_workers) {
        m_result.m_pendingAtCompletion +=
          each.m_isNew ? 0 : each.m_pendingCalls;
      }
    }
    aRecord.m_isWritten = IsFinal(aRecord.m_state);
    static_cast<void>(m_table.ApplyRecord(m_now, aRecord));
    m_result.m_state = aRecord.m_state;
    m_result.m_cause = aRecord.m_cause;
    if (IsFinal(aRecord.m_state)) {
      m_result.m_decidedAfter = SinceOrder();
    }
  }

  static constexpr TimePoint kOrderedAt{ std::chrono::hours{ 1 } };

  RolloutScenario m_scenario;
  Random m_random;
  TimePoint m_now{ kOrderedAt };
  RolloutTable m_table;
  std::optional<RolloutLeader> m_leader;
  std::vector<Worker> m_workers;
  std::priority_queue<RunEnd, std::vector<RunEnd>, std::greater<>> m_runEnds;
  double m_dueCalls{ 0.0 };
  std::uint64_t m_badRuns{ 0 };
  std::optional<TimePoint> m_badRunsAt;
  TimePoint m_nextReport{};
  bool m_wasLost{ false };
  RolloutResult m_result;
};

}
