#include "greengagehub/rollout/canary_analyzer.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace greengagehub {

namespace {

/// A kind of bad run.
struct Measure
{
  RollbackCause m_cause;
  /// Lower bound of the baseline rate, which few runs would underestimate.
  double m_minRate;
  /// Share of the otherwise good runs that a fault makes bad.
  double m_lift;
};
constexpr std::array kMeasures{
  Measure{ RollbackCause::Failures, 0.01, 0.12 },
  Measure{ RollbackCause::LostAnswers, 0.02, 0.15 },
  Measure{ RollbackCause::Slowness, 0.04, 0.15 },
};
constexpr std::size_t kFailures = 0;
constexpr std::size_t kLost = 1;
constexpr std::size_t kSlow = 2;

/// Weight kept by earlier runs at each evaluation; with one every 300 ms, runs
/// count for three seconds on average.
constexpr double kDecayFactor = 0.9;
/// Weight of the recent rate, in runs, when estimating the latest one.
constexpr double kPriorRuns = 10.0;
/// Share of the baseline runs that take longer than the reference time; a run
/// is slow from about twice that time.
constexpr double kSlowShare = 0.05;
constexpr std::size_t kSlowMargin = 2;
/// Excess over all routes, without the worst workers, that makes a version bad.
constexpr double kMaxExcess = 18.0;
/// Excess including the worst workers that makes a version bad if the rest has
/// an excess too: a fault under load affects the busiest workers most.
constexpr double kMaxExcessOfAll = 30.0;
constexpr double kMinExcessOfRest = 4.0;
/// Minimum excess of a bad version, in standard deviations.
constexpr double kExcessDeviations = 5.0;
/// One in this many workers of the canary is ignored as the worst.
constexpr std::size_t kOutlierDivisor = 4;
/// Routes with a smaller share of the baseline runs are not evaluated alone.
constexpr double kMinRouteShare = 0.1;
constexpr double kMinRouteRuns = 5.0;

const RouteCounts&
FindRoute(const WorkerCounts& aCounts, std::uint64_t aRoute)
{
  static const RouteCounts kNone{};
  const auto found =
    std::ranges::find(aCounts.m_routes, aRoute, &RouteCounts::m_route);
  return found == aCounts.m_routes.end() ? kNone : *found;
}

std::size_t
OutlierCount(std::size_t aWorkers)
{
  return aWorkers > 1 ? std::max<std::size_t>(1, aWorkers / kOutlierDivisor)
                      : 0;
}

double
SumWithoutWorst(std::vector<double> aRatios)
{
  std::ranges::sort(aRatios);
  aRatios.resize(aRatios.size() - OutlierCount(aRatios.size()));
  return std::accumulate(aRatios.begin(), aRatios.end(), 0.0);
}

double
Increase(std::uint32_t aCurrent, std::uint32_t aPrevious)
{
  return aCurrent > aPrevious ? static_cast<double>(aCurrent - aPrevious) : 0.0;
}

}

double
LikelihoodRatio(double aHits,
                double aRuns,
                double aBaselineRate,
                double aLift) noexcept
{
  constexpr double kMaxBaseline = 0.9;
  const double baseline = std::clamp(aBaselineRate, 1e-6, kMaxBaseline);
  const double raised = baseline + aLift * (1.0 - baseline);
  return aHits * std::log(raised / baseline) +
         (aRuns - aHits) * std::log((1.0 - raised) / (1.0 - baseline));
}

namespace {

template<class TallyType>
double
RatioOf(const TallyType& aTally, const Measure& aMeasure)
{
  if (aTally.m_runs <= 0.0) {
    return 0.0;
  }
  const double baseline =
    std::max(aMeasure.m_minRate, aTally.m_expected / aTally.m_runs);
  return LikelihoodRatio(
    aTally.m_badRuns, aTally.m_runs, baseline, aMeasure.m_lift);
}

}

void
CanaryAnalyzer::Tally::Add(const Tally& aOther) noexcept
{
  m_runs += aOther.m_runs;
  m_badRuns += aOther.m_badRuns;
  m_expected += aOther.m_expected;
}

double
CanaryAnalyzer::Tally::Excess() const noexcept
{
  return m_badRuns - m_expected;
}

void
CanaryAnalyzer::Tally::Decay() noexcept
{
  m_runs *= kDecayFactor;
  m_badRuns *= kDecayFactor;
  m_expected *= kDecayFactor;
}

void
CanaryAnalyzer::Baseline::Add(const RouteCounts& aCurrent,
                              const RouteCounts& aPrevious) noexcept
{
  m_runs += Increase(aCurrent.m_runs, aPrevious.m_runs);
  m_failed += Increase(aCurrent.m_failed, aPrevious.m_failed);
  m_lost += Increase(aCurrent.m_lost, aPrevious.m_lost);
  for (std::size_t i = 0; i < m_times.size(); ++i) {
    m_times.at(i) += Increase(aCurrent.m_times.at(i), aPrevious.m_times.at(i));
  }
}

void
CanaryAnalyzer::Baseline::Decay() noexcept
{
  m_runs *= kDecayFactor;
  m_failed *= kDecayFactor;
  m_lost *= kDecayFactor;
  for (double& each : m_times) {
    each *= kDecayFactor;
  }
}

double
CanaryAnalyzer::Baseline::CountFromBucket(std::size_t aBucket) const noexcept
{
  double sum = 0.0;
  for (std::size_t i = aBucket; i < m_times.size(); ++i) {
    sum += m_times.at(i);
  }
  return sum;
}

void
CanaryAnalyzer::OnCounts(const WorkerCounts& aCounts)
{
  Worker& worker = m_workers[aCounts.m_slot];
  if (worker.m_current.m_process != aCounts.m_process) {
    worker = {};
  } else if (aCounts.m_arrived < worker.m_current.m_arrived) {
    return;
  }
  worker.m_current = aCounts;
}

std::size_t
CanaryAnalyzer::FirstSlowBucket(const Route& aRoute) noexcept
{
  const Baseline& all = aRoute.m_all;
  const double total = all.CountFromBucket(0);
  std::size_t bucket = 0;
  while (bucket < RunTimeHistogram::kBuckets &&
         all.CountFromBucket(bucket) > kSlowShare * total) {
    ++bucket;
  }
  return std::min(bucket + kSlowMargin - 1, RunTimeHistogram::kBuckets - 1);
}

void
CanaryAnalyzer::UpdateBaseline()
{
  for (auto& [id, route] : m_routes) {
    route.m_recent.Decay();
    route.m_latest = {};
  }
  for (const auto& [slot, worker] : m_workers) {
    if (IsCanary(worker.m_current)) {
      continue;
    }
    for (const RouteCounts& each : worker.m_current.m_routes) {
      const RouteCounts& previous = FindRoute(worker.m_previous, each.m_route);
      Route& route = m_routes[each.m_route];
      route.m_latest.Add(each, previous);
      route.m_recent.Add(each, previous);
      route.m_all.Add(each, previous);
    }
  }
}

template<class Count, class Total>
double
CanaryAnalyzer::BaselineRate(const Route& aRoute,
                             double aMinRate,
                             Count aCount,
                             Total aTotal)
{
  const double recentRate =
    (aCount(aRoute.m_recent) + aMinRate) / (aTotal(aRoute.m_recent) + 1.0);
  // Combined with the recent rate, as the latest runs are too few for a
  // reliable one.
  const double latestRate =
    (aCount(aRoute.m_latest) + kPriorRuns * recentRate) /
    (aTotal(aRoute.m_latest) + kPriorRuns);
  return std::max(latestRate, recentRate);
}

void
CanaryAnalyzer::UpdateCanary(const std::string& aSlot,
                             Route& aRoute,
                             const RouteCounts& aCurrent,
                             const RouteCounts& aPrevious)
{
  const double runs = Increase(aCurrent.m_runs, aPrevious.m_runs);
  const std::size_t firstSlow = FirstSlowBucket(aRoute);
  const double timed = RunTimeHistogram::SumFrom(aCurrent.m_times, 0) -
                       RunTimeHistogram::SumFrom(aPrevious.m_times, 0);
  const double slow = RunTimeHistogram::SumFrom(aCurrent.m_times, firstSlow) -
                      RunTimeHistogram::SumFrom(aPrevious.m_times, firstSlow);
  const auto allRuns = [](const Baseline& aBaseline) {
    return aBaseline.m_runs;
  };
  const auto allTimes = [](const Baseline& aBaseline) {
    return aBaseline.CountFromBucket(0);
  };
  const double failureRate = BaselineRate(
    aRoute,
    kMeasures.at(kFailures).m_minRate,
    [](const Baseline& aBaseline) { return aBaseline.m_failed; },
    allRuns);
  const double lossRate = BaselineRate(
    aRoute,
    kMeasures.at(kLost).m_minRate,
    [](const Baseline& aBaseline) { return aBaseline.m_lost; },
    allRuns);
  Tallies fresh;
  fresh.at(kFailures) = { runs,
                          Increase(aCurrent.m_failed, aPrevious.m_failed),
                          runs * failureRate };
  fresh.at(kLost) = { runs,
                      Increase(aCurrent.m_lost, aPrevious.m_lost),
                      runs * lossRate };
  // Without baseline times there is no threshold for slow runs.
  if (aRoute.m_all.CountFromBucket(0) > 0.0) {
    const double slowRate = BaselineRate(
      aRoute,
      kMeasures.at(kSlow).m_minRate,
      [firstSlow](const Baseline& aBaseline) {
        return aBaseline.CountFromBucket(firstSlow);
      },
      allTimes);
    fresh.at(kSlow) = { timed, slow, timed * slowRate };
  }
  Tallies& worker = aRoute.m_recentByWorker[aSlot];
  Tallies& total = m_totalsByWorker[aSlot];
  for (std::size_t i = 0; i < kMeasureCount; ++i) {
    worker.at(i).Add(fresh.at(i));
    total.at(i).Add(fresh.at(i));
    aRoute.m_canaryTotals.at(i).Add(fresh.at(i));
  }
}

void
CanaryAnalyzer::UpdateCanary()
{
  for (auto& [id, route] : m_routes) {
    for (auto& [slot, tallies] : route.m_recentByWorker) {
      for (Tally& each : tallies) {
        each.Decay();
      }
    }
  }
  for (const auto& [slot, worker] : m_workers) {
    if (!IsCanary(worker.m_current)) {
      continue;
    }
    for (const RouteCounts& each : worker.m_current.m_routes) {
      UpdateCanary(slot,
                   m_routes[each.m_route],
                   each,
                   FindRoute(worker.m_previous, each.m_route));
    }
  }
}

double
CanaryAnalyzer::RecentRatio(const Route& aRoute, std::size_t aMeasure)
{
  std::vector<double> ratios;
  for (const auto& [slot, tallies] : aRoute.m_recentByWorker) {
    const Tally& tally = tallies.at(aMeasure);
    if (tally.m_runs > 0.0) {
      ratios.push_back(RatioOf(tally, kMeasures.at(aMeasure)));
    }
  }
  return SumWithoutWorst(std::move(ratios));
}

CanaryAnalyzer::Judgement
CanaryAnalyzer::FindBadRoute() const
{
  const auto comparisons = static_cast<double>(
    std::max<std::size_t>(1, m_routes.size()) * kMeasureCount);
  const double bound = std::log(comparisons / kFalseBadRate);
  Judgement worst;
  double highest = bound;
  for (const auto& [id, route] : m_routes) {
    for (std::size_t i = 0; i < kMeasureCount; ++i) {
      const double ratio = RecentRatio(route, i);
      if (ratio > highest) {
        highest = ratio;
        Tally sum;
        for (const auto& [slot, tallies] : route.m_recentByWorker) {
          sum.Add(tallies.at(i));
        }
        worst = { Verdict::Bad, kMeasures.at(i).m_cause, id,
                  sum.m_runs,   sum.m_badRuns,           sum.m_expected };
      }
    }
  }
  return worst;
}

CanaryAnalyzer::Judgement
CanaryAnalyzer::FindExcess() const
{
  for (std::size_t i = 0; i < kMeasureCount; ++i) {
    std::vector<Tally> workers;
    for (const auto& [slot, tallies] : m_totalsByWorker) {
      if (tallies.at(i).m_runs > 0.0) {
        workers.push_back(tallies.at(i));
      }
    }
    std::ranges::sort(workers, {}, &Tally::Excess);
    Tally all;
    for (const Tally& each : workers) {
      all.Add(each);
    }
    workers.resize(workers.size() - OutlierCount(workers.size()));
    Tally rest;
    for (const Tally& each : workers) {
      rest.Add(each);
    }
    const double maxExcess =
      std::max(kMaxExcess, kExcessDeviations * std::sqrt(rest.m_expected));
    const bool isLoadRelated =
      all.Excess() >= kMaxExcessOfAll && rest.Excess() >= kMinExcessOfRest;
    if (rest.Excess() >= maxExcess || isLoadRelated) {
      return { Verdict::Bad, kMeasures.at(i).m_cause, 0,
               all.m_runs,   all.m_badRuns,           all.m_expected };
    }
  }
  return {};
}

bool
CanaryAnalyzer::IsProbablyGood() const
{
  double oldRuns = 0.0;
  for (const auto& [id, route] : m_routes) {
    oldRuns += route.m_all.m_runs;
  }
  return oldRuns > 0.0 &&
         std::ranges::all_of(m_routes, [oldRuns](const auto& aEach) {
           const Route& route = aEach.second;
           const bool isRare = route.m_all.m_runs < kMinRouteShare * oldRuns;
           return isRare ||
                  (route.m_canaryTotals.at(kFailures).m_runs >= kMinRouteRuns &&
                   RecentRatio(route, kFailures) <= 0.0);
         });
}

bool
CanaryAnalyzer::IsGood() const
{
  if (!IsProbablyGood()) {
    return false;
  }
  return std::ranges::all_of(
    std::array{ kFailures, kSlow }, [&](auto aMeasure) {
      std::vector<double> ratios;
      for (const auto& [slot, tallies] : m_totalsByWorker) {
        const Tally& tally = tallies.at(aMeasure);
        if (tally.m_runs > 0.0) {
          ratios.push_back(RatioOf(tally, kMeasures.at(aMeasure)));
        }
      }
      return SumWithoutWorst(std::move(ratios)) <= std::log(kFalseGoodRate);
    });
}

CanaryAnalyzer::Judgement
CanaryAnalyzer::Evaluate()
{
  m_traffic = { .m_newRuns = m_traffic.m_newRuns };
  for (const auto& [slot, worker] : m_workers) {
    const std::uint32_t arrived =
      worker.m_current.m_arrived - worker.m_previous.m_arrived;
    if (IsCanary(worker.m_current)) {
      m_traffic.m_newRuns += arrived;
      m_traffic.m_newArrived += arrived;
    } else {
      m_traffic.m_oldArrived += arrived;
      m_traffic.m_oldPendingCalls += worker.m_current.m_pendingCalls;
    }
  }
  UpdateBaseline();
  UpdateCanary();
  for (auto& [slot, worker] : m_workers) {
    worker.m_previous = worker.m_current;
  }
  Judgement found = FindBadRoute();
  if (found.m_verdict != Verdict::Bad) {
    found = FindExcess();
  }
  if (found.m_verdict == Verdict::Inconclusive && IsGood()) {
    found.m_verdict = Verdict::Good;
  }
  return found;
}

}
