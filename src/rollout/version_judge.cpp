#include "greengagehub/rollout/version_judge.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace greengagehub {

namespace {

/// What is counted, and what a fault of the version makes of it.
struct Measure
{
  RollbackCause m_cause;
  /// Least share that is taken as usual: of few runs none may have come to
  /// harm by chance.
  double m_least;
  /// Part of the other runs that the fault harms too.
  double m_lift;
};
constexpr std::array kMeasuresUsed{
  Measure{ RollbackCause::Failures, 0.01, 0.12 },
  Measure{ RollbackCause::LostAnswers, 0.02, 0.15 },
  Measure{ RollbackCause::Slowness, 0.04, 0.15 },
};
constexpr std::size_t kFailures = 0;
constexpr std::size_t kLost = 1;
constexpr std::size_t kSlow = 2;

/// What is left of earlier runs at each look; with a look every 300 ms they
/// count for three seconds on average.
constexpr double kKept = 0.9;
/// Runs lately that weigh in with those of a look.
constexpr double kLookPrior = 10.0;
/// A run is slow where at most this share of those of the version in service
/// takes half as long.
constexpr double kSlowShare = 0.05;
constexpr std::size_t kSlowMargin = 2;
/// Runs beyond what was expected that came to harm, after which a version is
/// bad whichever workers and routes they were on.
constexpr double kMostExcess = 18.0;
/// The same with the worst workers, where the others show it too: a fault under
/// load harms most where most runs are.
constexpr double kMostExcessOfAll = 30.0;
constexpr double kExcessOfRest = 4.0;
/// The same in standard deviations of what was expected.
constexpr double kExcessDeviations = 5.0;
/// One in so many of the new workers is left out as the worst.
constexpr std::size_t kLeftOutOf = 4;
/// Share of the runs from which on a route has to be found good itself.
constexpr double kRouteCounts = 0.1;
constexpr double kRouteRunsNeeded = 5.0;

const RouteCounts&
FindRoute(const WorkerCounts& aCounts, std::uint64_t aRoute)
{
  static const RouteCounts kNone{};
  const auto found =
    std::ranges::find(aCounts.m_routes, aRoute, &RouteCounts::m_route);
  return found == aCounts.m_routes.end() ? kNone : *found;
}

/// \returns How many of the new workers are left out as the worst.
std::size_t
LeftOutOf(std::size_t aWorkers)
{
  return aWorkers > 1 ? std::max<std::size_t>(1, aWorkers / kLeftOutOf) : 0;
}

double
SumWithoutWorst(std::vector<double> aRatios)
{
  std::ranges::sort(aRatios);
  aRatios.resize(aRatios.size() - LeftOutOf(aRatios.size()));
  return std::accumulate(aRatios.begin(), aRatios.end(), 0.0);
}

double
Since(std::uint32_t aNow, std::uint32_t aBefore)
{
  return aNow > aBefore ? static_cast<double>(aNow - aBefore) : 0.0;
}

}

double
LikelihoodRatio(double aHits,
                double aRuns,
                double aExpected,
                double aLift) noexcept
{
  constexpr double kMostUsual = 0.9;
  const double usual = std::clamp(aExpected, 1e-6, kMostUsual);
  const double lifted = usual + aLift * (1.0 - usual);
  return aHits * std::log(lifted / usual) +
         (aRuns - aHits) * std::log((1.0 - lifted) / (1.0 - usual));
}

namespace {

template<class TallyType>
double
RatioOf(const TallyType& aTally, const Measure& aMeasure)
{
  if (aTally.m_runs <= 0.0) {
    return 0.0;
  }
  const double usual =
    std::max(aMeasure.m_least, aTally.m_expected / aTally.m_runs);
  return LikelihoodRatio(aTally.m_hits, aTally.m_runs, usual, aMeasure.m_lift);
}

}

void
VersionJudge::Tally::Add(const Tally& aOther) noexcept
{
  m_runs += aOther.m_runs;
  m_hits += aOther.m_hits;
  m_expected += aOther.m_expected;
}

double
VersionJudge::Tally::Excess() const noexcept
{
  return m_hits - m_expected;
}

void
VersionJudge::Tally::Decay() noexcept
{
  m_runs *= kKept;
  m_hits *= kKept;
  m_expected *= kKept;
}

void
VersionJudge::Control::Add(const RouteCounts& aNow,
                           const RouteCounts& aBefore) noexcept
{
  m_runs += Since(aNow.m_runs, aBefore.m_runs);
  m_failed += Since(aNow.m_failed, aBefore.m_failed);
  m_lost += Since(aNow.m_lost, aBefore.m_lost);
  for (std::size_t i = 0; i < m_times.size(); ++i) {
    m_times.at(i) += Since(aNow.m_times.at(i), aBefore.m_times.at(i));
  }
}

void
VersionJudge::Control::Decay() noexcept
{
  m_runs *= kKept;
  m_failed *= kKept;
  m_lost *= kKept;
  for (double& each : m_times) {
    each *= kKept;
  }
}

double
VersionJudge::Control::TimesFrom(std::size_t aBucket) const noexcept
{
  double sum = 0.0;
  for (std::size_t i = aBucket; i < m_times.size(); ++i) {
    sum += m_times.at(i);
  }
  return sum;
}

void
VersionJudge::OnCounts(const WorkerCounts& aCounts)
{
  Worker& worker = m_workers[aCounts.m_slot];
  if (worker.m_now.m_process != aCounts.m_process) {
    worker = {};
  } else if (aCounts.m_arrived < worker.m_now.m_arrived) {
    return;
  }
  worker.m_now = aCounts;
}

std::size_t
VersionJudge::SlowFrom(const Route& aRoute) noexcept
{
  const Control& all = aRoute.m_all;
  const double total = all.TimesFrom(0);
  std::size_t bucket = 0;
  while (bucket < TimeCounts::kBuckets &&
         all.TimesFrom(bucket) > kSlowShare * total) {
    ++bucket;
  }
  return std::min(bucket + kSlowMargin - 1, TimeCounts::kBuckets - 1);
}

void
VersionJudge::TakeControl()
{
  for (auto& [id, route] : m_routes) {
    route.m_recent.Decay();
    route.m_look = {};
  }
  for (const auto& [slot, worker] : m_workers) {
    if (IsNew(worker.m_now)) {
      continue;
    }
    for (const RouteCounts& each : worker.m_now.m_routes) {
      const RouteCounts& before = FindRoute(worker.m_before, each.m_route);
      Route& route = m_routes[each.m_route];
      route.m_look.Add(each, before);
      route.m_recent.Add(each, before);
      route.m_all.Add(each, before);
    }
  }
}

template<class Count, class Of>
double
VersionJudge::Usual(const Route& aRoute, double aLeast, Count aCount, Of aOf)
{
  const double lately =
    (aCount(aRoute.m_recent) + aLeast) / (aOf(aRoute.m_recent) + 1.0);
  // A look of few runs says little by itself.
  const double now = (aCount(aRoute.m_look) + kLookPrior * lately) /
                     (aOf(aRoute.m_look) + kLookPrior);
  return std::max(now, lately);
}

void
VersionJudge::TakeNew(const std::string& aSlot,
                      Route& aRoute,
                      const RouteCounts& aNow,
                      const RouteCounts& aBefore)
{
  const double runs = Since(aNow.m_runs, aBefore.m_runs);
  const std::size_t slowFrom = SlowFrom(aRoute);
  const double timed = TimeCounts::SumFrom(aNow.m_times, 0) -
                       TimeCounts::SumFrom(aBefore.m_times, 0);
  const double slow = TimeCounts::SumFrom(aNow.m_times, slowFrom) -
                      TimeCounts::SumFrom(aBefore.m_times, slowFrom);
  const auto allRuns = [](const Control& aControl) { return aControl.m_runs; };
  const auto allTimes = [](const Control& aControl) {
    return aControl.TimesFrom(0);
  };
  const double failing = Usual(
    aRoute,
    kMeasuresUsed.at(kFailures).m_least,
    [](const Control& aControl) { return aControl.m_failed; },
    allRuns);
  const double losing = Usual(
    aRoute,
    kMeasuresUsed.at(kLost).m_least,
    [](const Control& aControl) { return aControl.m_lost; },
    allRuns);
  Tallies fresh;
  fresh.at(kFailures) = { runs,
                          Since(aNow.m_failed, aBefore.m_failed),
                          runs * failing };
  fresh.at(kLost) = { runs, Since(aNow.m_lost, aBefore.m_lost), runs * losing };
  // With no time of the other version there is no measure of slow.
  if (aRoute.m_all.TimesFrom(0) > 0.0) {
    const double slowing = Usual(
      aRoute,
      kMeasuresUsed.at(kSlow).m_least,
      [slowFrom](const Control& aControl) {
        return aControl.TimesFrom(slowFrom);
      },
      allTimes);
    fresh.at(kSlow) = { timed, slow, timed * slowing };
  }
  Tallies& worker = aRoute.m_workers[aSlot];
  Tallies& total = m_totals[aSlot];
  for (std::size_t i = 0; i < kMeasures; ++i) {
    worker.at(i).Add(fresh.at(i));
    total.at(i).Add(fresh.at(i));
    aRoute.m_sum.at(i).Add(fresh.at(i));
  }
}

void
VersionJudge::TakeNew()
{
  for (auto& [id, route] : m_routes) {
    for (auto& [slot, tallies] : route.m_workers) {
      for (Tally& each : tallies) {
        each.Decay();
      }
    }
  }
  for (const auto& [slot, worker] : m_workers) {
    if (!IsNew(worker.m_now)) {
      continue;
    }
    for (const RouteCounts& each : worker.m_now.m_routes) {
      TakeNew(slot,
              m_routes[each.m_route],
              each,
              FindRoute(worker.m_before, each.m_route));
    }
  }
}

double
VersionJudge::RecentRatio(const Route& aRoute, std::size_t aMeasure)
{
  std::vector<double> ratios;
  for (const auto& [slot, tallies] : aRoute.m_workers) {
    const Tally& tally = tallies.at(aMeasure);
    if (tally.m_runs > 0.0) {
      ratios.push_back(RatioOf(tally, kMeasuresUsed.at(aMeasure)));
    }
  }
  return SumWithoutWorst(std::move(ratios));
}

VersionJudge::Judgement
VersionJudge::BadRoute() const
{
  const auto questions =
    static_cast<double>(std::max<std::size_t>(1, m_routes.size()) * kMeasures);
  const double bound = std::log(questions / kWrongBad);
  Judgement worst;
  double highest = bound;
  for (const auto& [id, route] : m_routes) {
    for (std::size_t i = 0; i < kMeasures; ++i) {
      const double ratio = RecentRatio(route, i);
      if (ratio > highest) {
        highest = ratio;
        Tally sum;
        for (const auto& [slot, tallies] : route.m_workers) {
          sum.Add(tallies.at(i));
        }
        worst = { Verdict::Bad, kMeasuresUsed.at(i).m_cause,
                  id,           sum.m_runs,
                  sum.m_hits,   sum.m_expected };
      }
    }
  }
  return worst;
}

VersionJudge::Judgement
VersionJudge::Excess() const
{
  for (std::size_t i = 0; i < kMeasures; ++i) {
    std::vector<Tally> workers;
    for (const auto& [slot, tallies] : m_totals) {
      if (tallies.at(i).m_runs > 0.0) {
        workers.push_back(tallies.at(i));
      }
    }
    std::ranges::sort(workers, {}, &Tally::Excess);
    Tally all;
    for (const Tally& each : workers) {
      all.Add(each);
    }
    workers.resize(workers.size() - LeftOutOf(workers.size()));
    Tally rest;
    for (const Tally& each : workers) {
      rest.Add(each);
    }
    const double most =
      std::max(kMostExcess, kExcessDeviations * std::sqrt(rest.m_expected));
    const bool isMostHarmed =
      all.Excess() >= kMostExcessOfAll && rest.Excess() >= kExcessOfRest;
    if (rest.Excess() >= most || isMostHarmed) {
      return {
        Verdict::Bad,  kMeasuresUsed.at(i).m_cause, 0, all.m_runs, all.m_hits,
        all.m_expected
      };
    }
  }
  return {};
}

bool
VersionJudge::LeansToGood() const
{
  double oldRuns = 0.0;
  for (const auto& [id, route] : m_routes) {
    oldRuns += route.m_all.m_runs;
  }
  return oldRuns > 0.0 &&
         std::ranges::all_of(m_routes, [oldRuns](const auto& aEach) {
           const Route& route = aEach.second;
           const bool isRare = route.m_all.m_runs < kRouteCounts * oldRuns;
           return isRare ||
                  (route.m_sum.at(kFailures).m_runs >= kRouteRunsNeeded &&
                   RecentRatio(route, kFailures) <= 0.0);
         });
}

bool
VersionJudge::IsGood() const
{
  if (!LeansToGood()) {
    return false;
  }
  return std::ranges::all_of(
    std::array{ kFailures, kSlow }, [&](auto aMeasure) {
      std::vector<double> ratios;
      for (const auto& [slot, tallies] : m_totals) {
        const Tally& tally = tallies.at(aMeasure);
        if (tally.m_runs > 0.0) {
          ratios.push_back(RatioOf(tally, kMeasuresUsed.at(aMeasure)));
        }
      }
      return SumWithoutWorst(std::move(ratios)) <= std::log(kWrongGood);
    });
}

VersionJudge::Judgement
VersionJudge::Look()
{
  m_work = { .m_newRuns = m_work.m_newRuns };
  for (const auto& [slot, worker] : m_workers) {
    const std::uint32_t arrived =
      worker.m_now.m_arrived - worker.m_before.m_arrived;
    if (IsNew(worker.m_now)) {
      m_work.m_newRuns += arrived;
      m_work.m_newArrived += arrived;
    } else {
      m_work.m_oldArrived += arrived;
      m_work.m_oldAtWork += worker.m_now.m_atWork;
    }
  }
  TakeControl();
  TakeNew();
  for (auto& [slot, worker] : m_workers) {
    worker.m_before = worker.m_now;
  }
  Judgement found = BadRoute();
  if (found.m_verdict != Verdict::Bad) {
    found = Excess();
  }
  if (found.m_verdict == Verdict::Unsure && IsGood()) {
    found.m_verdict = Verdict::Good;
  }
  return found;
}

}
