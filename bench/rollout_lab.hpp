#pragma once

#include "greengagehub/rollout/rollout.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <random>
#include <vector>

/// \file
/// \brief Roll-outs in virtual time: the product's decisions, driven by calls
/// to simulated workers.

namespace greengagehub::lab {

/// \brief What is wrong with the new version.
enum class VersionFault : std::uint8_t
{
  None,
  Errors,
  Slow,
  /// Fails while most slots of a worker are taken.
  UnderLoad,
  OneRoute,
  /// Fails from kLateFrom after the order on.
  Late,
};

/// \brief What goes on beside the roll-out, from 3 s after the order on.
enum class Disturbance : std::uint8_t
{
  None,
  /// A fifth of all workers fails 40 of 100 runs.
  GreyWorkers,
  /// A fifth of all workers takes four times as long.
  SlowWorkers,
  /// Half of all workers lose 30 of 100 answers.
  LostAnswers,
  /// A service that both versions call fails: so do 40 of 100 runs, for 4 s.
  FailingCallee,
  /// Calls come 1.6 times as fast.
  Burst,
};

struct RolloutScenario
{
  VersionFault m_fault{ VersionFault::None };
  Disturbance m_beside{ Disturbance::None };
  /// Of the runs that the fault harms.
  double m_share{ 0.33 };
  /// What a slow run takes, in times of a usual one.
  double m_times{ 8.0 };
  /// Calls at work from which on a worker fails under load.
  std::uint32_t m_loaded{ 3 };
  std::uint32_t m_oldWorkers{ 57 };
  std::uint32_t m_newWorkers{ 57 };
  double m_callsPerSecond{ 1865.0 };
  std::chrono::milliseconds m_duration{ 15'000 };
  /// When the daemon that leads is lost, after the order; 0: never. Another
  /// one leads after kTakeOver.
  std::chrono::milliseconds m_leaderLost{ 0 };
  /// Whether another one leads at all.
  bool m_hasSuccessor{ true };
};

struct RolloutResult
{
  RolloutState m_state{ RolloutState::Running };
  RollbackCause m_cause{ RollbackCause::None };
  /// Since the order.
  Duration m_decidedAfter{};
  /// Calls from the order to its deadline, and those that the new version got.
  std::uint64_t m_calls{ 0 };
  std::uint64_t m_exposed{ 0 };
  /// How long after the 50th harmed answer the new version last got a call.
  Duration m_usedAfterHarm{};
  /// Calls at work at the old workers when it was completed.
  std::uint64_t m_cut{ 0 };
};

/// \brief One roll-out, from its order until two seconds past its deadline.
class RolloutLab
{
public:
  static constexpr std::chrono::milliseconds kTick{ 50 };
  static constexpr std::chrono::milliseconds kLateFrom{ 4000 };
  static constexpr std::chrono::milliseconds kTakeOver{ 2000 };

  RolloutLab(RolloutScenario aScenario, std::uint64_t aSeed)
    : m_scenario(aScenario)
    , m_random(aSeed)
  {
    AddWorkers("old", m_scenario.m_oldWorkers, Clock::duration::zero());
    AddWorkers("new", m_scenario.m_newWorkers, kStart);
  }

  RolloutResult Run()
  {
    const RolloutOrder order{ kService, "new", m_scenario.m_duration };
    static_cast<void>(m_table.OnOrder(m_now, order, "old"));
    const TimePoint end = m_now + m_scenario.m_duration;
    m_holder.emplace(m_now, "new", RolloutLimits{});
    while (m_now < end + std::chrono::seconds{ 2 }) {
      m_now += kTick;
      EndRuns();
      Arrive(m_now <= end);
      Lead();
    }
    return m_result;
  }

private:
  static constexpr const char* kService = "lockers";
  static constexpr std::chrono::milliseconds kStart{ 800 };
  static constexpr std::chrono::milliseconds kCold{ 3000 };
  static constexpr std::chrono::milliseconds kTellEvery{ 300 };
  static constexpr std::uint64_t kHarmed = 50;
  static constexpr std::chrono::milliseconds kDeadline{ 2500 };
  static constexpr std::size_t kSlots = 6;

  struct Route
  {
    std::uint64_t m_id;
    double m_part;
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
    bool m_isHit{ false };
    TimePoint m_from;
    std::vector<TimePoint> m_freeAt{ std::vector<TimePoint>(kSlots) };
    std::uint32_t m_atWork{ 0 };
    RunTally m_tally;
  };
  struct Ending
  {
    TimePoint m_at;
    std::size_t m_worker{ 0 };
    std::uint64_t m_route{ 0 };
    RunTally::Result m_result{};
    Duration m_took{};
    bool m_isHarmed{ false };
    [[nodiscard]] bool operator>(const Ending& aOther) const
    {
      return m_at > aOther.m_at;
    }
  };

  [[nodiscard]] Duration Age() const { return m_now - kOrdered; }
  [[nodiscard]] bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>{}(m_random) < aShare;
  }
  [[nodiscard]] bool IsDisturbed(Disturbance aKind) const
  {
    const bool isCallee = aKind == Disturbance::FailingCallee;
    const Duration until =
      isCallee ? std::chrono::seconds{ 7 } : std::chrono::seconds{ 9 };
    return m_scenario.m_beside == aKind && Age() > std::chrono::seconds{ 3 } &&
           Age() < until;
  }

  void AddWorkers(const std::string& aVersion,
                  std::uint32_t aCount,
                  Duration aFrom)
  {
    constexpr std::array kSpeeds{ 0.7, 0.7, 1.6 };
    const double hit =
      m_scenario.m_beside == Disturbance::LostAnswers ? 0.5 : 0.2;
    for (std::uint32_t i = 0; i < aCount; ++i) {
      Worker worker;
      worker.m_slot = aVersion + std::to_string(i);
      worker.m_isNew = aVersion == "new";
      worker.m_speed = kSpeeds.at(Below(m_random, kSpeeds.size()));
      worker.m_isHit = Chance(hit);
      worker.m_from = kOrdered + aFrom;
      m_workers.push_back(std::move(worker));
    }
  }

  void EndRuns()
  {
    while (!m_endings.empty() && m_endings.top().m_at <= m_now) {
      const Ending ending = m_endings.top();
      m_endings.pop();
      Worker& worker = m_workers[ending.m_worker];
      --worker.m_atWork;
      const bool isCold = worker.m_isNew && ending.m_at < worker.m_from + kCold;
      worker.m_tally.Ended(
        ending.m_route, ending.m_result, ending.m_took, isCold);
      m_harmed += ending.m_isHarmed ? 1 : 0;
      if (m_harmed == kHarmed && !m_harmedAt) {
        m_harmedAt = ending.m_at;
      }
    }
  }

  void Arrive(bool aCounts)
  {
    const double burst = IsDisturbed(Disturbance::Burst) ? 1.6 : 1.0;
    m_due += burst * m_scenario.m_callsPerSecond *
             std::chrono::duration<double>(kTick).count();
    for (; m_due >= 1.0; m_due -= 1.0) {
      m_result.m_calls += aCounts ? 1 : 0;
      const auto chosen = Choose();
      if (!chosen) {
        continue;
      }
      const bool isNew = m_workers[*chosen].m_isNew;
      m_result.m_exposed += isNew && aCounts ? 1 : 0;
      if (isNew && m_harmedAt) {
        m_result.m_usedAfterHarm = m_now - *m_harmedAt;
      }
      Begin(*chosen);
    }
  }

  [[nodiscard]] std::optional<std::size_t> Choose()
  {
    const bool trial = m_table.DrawsTrial(m_now, kService, m_random);
    for (const VersionRule& rule : m_table.RulesFor(m_now, kService, trial)) {
      std::vector<std::size_t> allowed;
      for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const Worker& worker = m_workers[i];
        const bool fits =
          rule.Allows(worker.m_isNew ? "new" : "old") && m_now >= worker.m_from;
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
        return m_workers[one].m_atWork <= m_workers[two].m_atWork ? one : two;
      }
    }
    return std::nullopt;
  }

  void Begin(std::size_t aWorker)
  {
    Worker& worker = m_workers[aWorker];
    const double drawn = std::uniform_real_distribution<>{}(m_random);
    const Route& route =
      kRoutes.at(drawn < 0.55 ? 0U : (drawn < 0.95 ? 1U : 2U));
    constexpr double kSpread = 0.6;
    std::lognormal_distribution<> work{ std::log(route.m_mean) - 0.18,
                                        kSpread };
    double took = work(m_random) * worker.m_speed;
    const bool isCold = worker.m_isNew && m_now < worker.m_from + kCold;
    took *= isCold ? 2.0 : 1.0;
    took *= IsDisturbed(Disturbance::SlowWorkers) && worker.m_isHit ? 4.0 : 1.0;
    Ending ending;
    ending.m_worker = aWorker;
    ending.m_route = route.m_id;
    ending.m_isHarmed = worker.m_isNew && IsHarmed(worker, route);
    const bool slow =
      ending.m_isHarmed && m_scenario.m_fault == VersionFault::Slow;
    took *= slow ? m_scenario.m_times : 1.0;
    ending.m_result = ResultOf(worker, ending.m_isHarmed && !slow);
    const auto whole = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>{ took });
    const Duration span = std::min<Duration>(whole, kDeadline);
    if (whole > kDeadline) {
      ending.m_result = RunTally::Result::Expired;
    }
    const auto slot = std::ranges::min_element(worker.m_freeAt);
    const TimePoint start = std::max(*slot, m_now);
    *slot = start + span;
    ending.m_took = span;
    ending.m_at = *slot;
    ++worker.m_atWork;
    worker.m_tally.Arrived();
    m_endings.push(ending);
  }

  [[nodiscard]] bool IsHarmed(const Worker& aWorker, const Route& aRoute)
  {
    switch (m_scenario.m_fault) {
      case VersionFault::None:
        return false;
      case VersionFault::UnderLoad:
        return aWorker.m_atWork >= m_scenario.m_loaded &&
               Chance(m_scenario.m_share);
      case VersionFault::OneRoute:
        return aRoute.m_id == kRoutes[1].m_id && Chance(m_scenario.m_share);
      case VersionFault::Late:
        return Age() > kLateFrom && Chance(m_scenario.m_share);
      default:
        return Chance(m_scenario.m_share);
    }
  }

  [[nodiscard]] RunTally::Result ResultOf(const Worker& aWorker, bool aFails)
  {
    constexpr double kUsual = 0.004;
    const bool grey = IsDisturbed(Disturbance::GreyWorkers) && aWorker.m_isHit;
    const bool callee = IsDisturbed(Disturbance::FailingCallee);
    const bool lost = IsDisturbed(Disturbance::LostAnswers) && aWorker.m_isHit;
    if (aFails || Chance(grey || callee ? 0.4 : kUsual)) {
      return RunTally::Result::Failed;
    }
    return lost && Chance(0.3) ? RunTally::Result::Lost
                               : RunTally::Result::Good;
  }

  void Lead()
  {
    const auto lost = m_scenario.m_leaderLost;
    if (lost.count() > 0 && Age() >= lost && !m_wasLost) {
      m_wasLost = true;
      m_holder.reset();
    }
    const bool takesOver = m_wasLost && !m_holder &&
                           m_scenario.m_hasSuccessor &&
                           Age() >= lost + kTakeOver;
    if (takesOver) {
      m_holder.emplace(m_now, "new", RolloutLimits{});
    }
    const auto record = m_table.Find(m_now, kService);
    if (!m_holder || IsFinal(record->m_state)) {
      return;
    }
    if (m_now >= m_nextTell) {
      m_nextTell = m_now + kTellEvery;
      TellCounts();
    }
    const auto lead = m_holder->OnTick(
      m_now, *record, { m_scenario.m_oldWorkers, StartedNew() });
    if (lead) {
      Take(lead->m_record);
    }
  }

  [[nodiscard]] std::uint32_t StartedNew() const
  {
    return m_now >= kOrdered + kStart ? m_scenario.m_newWorkers : 0;
  }

  void TellCounts()
  {
    for (const Worker& each : m_workers) {
      WorkerCounts counts;
      counts.m_slot = each.m_slot;
      counts.m_process = 1;
      counts.m_service = kService;
      counts.m_version = each.m_isNew ? "new" : "old";
      counts.m_atWork = each.m_atWork;
      counts.m_arrived = each.m_tally.CountArrived();
      counts.m_routes = each.m_tally.Routes();
      m_holder->OnCounts(counts);
    }
  }

  void Take(RolloutRecord aRecord)
  {
    if (aRecord.m_state == RolloutState::Completing) {
      // The store takes it at once.
      aRecord.m_state = RolloutState::Completed;
      for (const Worker& each : m_workers) {
        m_result.m_cut += each.m_isNew ? 0 : each.m_atWork;
      }
    }
    aRecord.m_isWritten = IsFinal(aRecord.m_state);
    static_cast<void>(m_table.Take(m_now, aRecord));
    m_result.m_state = aRecord.m_state;
    m_result.m_cause = aRecord.m_cause;
    if (IsFinal(aRecord.m_state)) {
      m_result.m_decidedAfter = Age();
    }
  }

  static constexpr TimePoint kOrdered{ std::chrono::hours{ 1 } };

  RolloutScenario m_scenario;
  Random m_random;
  TimePoint m_now{ kOrdered };
  RolloutTable m_table;
  std::optional<RolloutHolder> m_holder;
  std::vector<Worker> m_workers;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
  double m_due{ 0.0 };
  std::uint64_t m_harmed{ 0 };
  std::optional<TimePoint> m_harmedAt;
  TimePoint m_nextTell{};
  bool m_wasLost{ false };
  RolloutResult m_result;
};

}
