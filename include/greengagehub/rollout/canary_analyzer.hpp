#pragma once

#include "greengagehub/rollout/rollout_record.hpp"
#include "greengagehub/rollout/run_counts.hpp"

#include <map>
#include <string>

namespace greengagehub {

/// \returns The log-likelihood ratio of `aHits` in `aRuns` for the rate
/// r + aLift * (1 - r) against r, the baseline rate (Wald's sequential test).
/// Above ln(1/a) the rate has risen, below ln(b) it has not, with error rates
/// of at most a and b.
[[nodiscard]] double
LikelihoodRatio(double aHits,
                double aRuns,
                double aBaselineRate,
                double aLift) noexcept;

/// \brief Compares the runs of a canary with concurrent runs of the version in
/// service: failures, lost answers and slow runs.
///
/// The worst quarter of the canary's workers is ignored, to exclude faults of
/// single workers. Each route is evaluated by itself, since a fault may affect
/// only one. Recent runs, of about three seconds, reveal a fault that begins
/// late.
class CanaryAnalyzer
{
public:
  enum class Verdict : std::uint8_t
  {
    Inconclusive,
    Good,
    Bad,
  };

  struct Judgement
  {
    Verdict m_verdict{ Verdict::Inconclusive };
    RollbackCause m_cause{ RollbackCause::None };
    /// Route with the fault; 0 for all routes together.
    std::uint64_t m_route{ 0 };
    /// Runs of the canary.
    double m_runs{ 0.0 };
    double m_badRuns{ 0.0 };
    /// Bad runs expected at the rates of the baseline.
    double m_expected{ 0.0 };
  };

  /// \brief Calls to the canary (new) and the version in service (old).
  struct Traffic
  {
    /// Since the order.
    std::uint64_t m_newRuns{ 0 };
    /// Since the previous evaluation.
    std::uint32_t m_oldArrived{ 0 };
    std::uint32_t m_newArrived{ 0 };
    /// Running and queued.
    std::uint32_t m_oldPendingCalls{ 0 };
  };

  explicit CanaryAnalyzer(std::string aTarget)
    : m_target(std::move(aTarget))
  {
  }

  void OnCounts(const WorkerCounts& aCounts);
  [[nodiscard]] Judgement Evaluate();
  [[nodiscard]] const Traffic& LastTraffic() const noexcept
  {
    return m_traffic;
  }

  /// Probability of a bad verdict on a good version, over routes and measures.
  static constexpr double kFalseBadRate = 1e-4;
  /// Probability of a good verdict on a version whose rates have risen by the
  /// lift of their measure.
  static constexpr double kFalseGoodRate = 1e-3;

private:
  static constexpr std::size_t kMeasureCount = 3;
  /// Runs of the canary by one measure; the fields are as in Judgement.
  struct Tally
  {
    double m_runs{ 0.0 };
    double m_badRuns{ 0.0 };
    double m_expected{ 0.0 };

    void Add(const Tally& aOther) noexcept;
    void Decay() noexcept;
    [[nodiscard]] double Excess() const noexcept;
  };
  /// Indexed by measure: failures, lost answers, slowness.
  using Tallies = std::array<Tally, kMeasureCount>;

  struct Worker
  {
    WorkerCounts m_current;
    /// Counts at the previous evaluation.
    WorkerCounts m_previous;
  };
  /// Counts of the version in service.
  struct Baseline
  {
    double m_runs{ 0.0 };
    double m_failed{ 0.0 };
    double m_lost{ 0.0 };
    std::array<double, RunTimeHistogram::kBuckets> m_times{};

    void Add(const RouteCounts& aCurrent,
             const RouteCounts& aPrevious) noexcept;
    void Decay() noexcept;
    [[nodiscard]] double CountFromBucket(std::size_t aBucket) const noexcept;
  };
  struct Route
  {
    /// Since the previous evaluation.
    Baseline m_latest;
    /// Over about three seconds.
    Baseline m_recent;
    /// Since the order.
    Baseline m_all;
    /// Recent counts of the canary, by worker.
    std::map<std::string, Tallies> m_recentByWorker;
    /// Counts of the canary since the order.
    Tallies m_canaryTotals;
  };

  [[nodiscard]] bool IsCanary(const WorkerCounts& aCounts) const
  {
    return aCounts.m_version == m_target;
  }
  void UpdateBaseline();
  void UpdateCanary();
  void UpdateCanary(const std::string& aSlot,
                    Route& aRoute,
                    const RouteCounts& aCurrent,
                    const RouteCounts& aPrevious);
  /// \returns The higher of the latest and the recent rate, since workers see a
  /// fault begin and end at slightly different times.
  template<class Count, class Total>
  [[nodiscard]] static double BaselineRate(const Route& aRoute,
                                           double aMinRate,
                                           Count aCount,
                                           Total aTotal);
  [[nodiscard]] static std::size_t FirstSlowBucket(
    const Route& aRoute) noexcept;
  /// \returns The log-likelihood ratio without the worst workers.
  [[nodiscard]] static double RecentRatio(const Route& aRoute,
                                          std::size_t aMeasure);
  [[nodiscard]] Judgement FindBadRoute() const;
  [[nodiscard]] Judgement FindExcess() const;
  /// \returns Whether each frequent route has enough runs and recently few
  /// failures.
  [[nodiscard]] bool IsProbablyGood() const;
  [[nodiscard]] bool IsGood() const;

  std::string m_target;
  std::map<std::string, Worker> m_workers;
  std::map<std::uint64_t, Route> m_routes;
  /// Counts of the canary since the order, by worker.
  std::map<std::string, Tallies> m_totalsByWorker;
  Traffic m_traffic;
};

}
