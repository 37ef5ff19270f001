#pragma once

#include "greengagehub/rollout/rollout_record.hpp"
#include "greengagehub/rollout/run_counts.hpp"

#include <map>
#include <string>

namespace greengagehub {

/// \returns Log of how much likelier `aHits` of `aRuns` are where a share that
/// is expected to be `aExpected` has risen by `aLift` of what is left to one
/// (Wald, "Sequential Tests of Statistical Hypotheses", 1945). Above ln(1/a) it
/// has, below ln(b) it has not, with at most a and b of such verdicts wrong.
[[nodiscard]] double
LikelihoodRatio(double aHits,
                double aRuns,
                double aExpected,
                double aLift) noexcept;

/// \brief Whether a version's runs come to worse than those of the version in
/// service at the same time: more failures, more lost answers, or more runs
/// that are slow by the other's measure.
///
/// Answers the load pattern of two versions side by side in a fleet that has
/// other troubles too. Those hit both alike, so that each run of the new
/// version is held against what the version in service does at that moment. A
/// trouble of single workers (one that fails, is slow or crashes) is told from
/// one of the version by leaving the worst quarter of the workers out; each
/// route is judged by itself, as a fault may show on one only. Runs count for
/// about three seconds, so that a fault that begins late is not hidden by the
/// good runs before it.
class VersionJudge
{
public:
  enum class Verdict : std::uint8_t
  {
    Unsure,
    Good,
    Bad,
  };

  /// \brief What a verdict rests on.
  struct Judgement
  {
    Verdict m_verdict{ Verdict::Unsure };
    RollbackCause m_cause{ RollbackCause::None };
    /// Route that it was seen on; 0: all together.
    std::uint64_t m_route{ 0 };
    /// Runs of the new version that count, how many came to harm, and how many
    /// would have in the version in service.
    double m_runs{ 0.0 };
    double m_hits{ 0.0 };
    double m_expected{ 0.0 };
  };

  /// \brief What both versions had to do since the look before.
  struct Work
  {
    std::uint64_t m_newRuns{ 0 };
    std::uint32_t m_oldArrived{ 0 };
    std::uint32_t m_newArrived{ 0 };
    /// Calls at work at or waiting for workers of the version in service.
    std::uint32_t m_oldAtWork{ 0 };
  };

  explicit VersionJudge(std::string aTarget)
    : m_target(std::move(aTarget))
  {
  }

  void OnCounts(const WorkerCounts& aCounts);
  /// \brief Weighs what has come since the look before.
  [[nodiscard]] Judgement Look();
  [[nodiscard]] const Work& LastWork() const noexcept { return m_work; }

  /// Of all verdicts "bad" on a good version; shared out over routes and
  /// measures.
  static constexpr double kWrongBad = 1e-4;
  /// Of verdicts "good" on a version with the lifts below.
  static constexpr double kWrongGood = 1e-3;

private:
  static constexpr std::size_t kMeasures = 3;
  /// Runs, of which so many came to harm, where so many were expected to.
  struct Tally
  {
    double m_runs{ 0.0 };
    double m_hits{ 0.0 };
    double m_expected{ 0.0 };

    void Add(const Tally& aOther) noexcept;
    void Decay() noexcept;
    /// \returns Runs that came to harm beyond those expected to.
    [[nodiscard]] double Excess() const noexcept;
  };
  /// By measure: failures, lost answers, slowness.
  using Tallies = std::array<Tally, kMeasures>;

  struct Worker
  {
    WorkerCounts m_now;
    /// As of the last look.
    WorkerCounts m_before;
  };
  /// Runs of the version in service.
  struct Control
  {
    double m_runs{ 0.0 };
    double m_failed{ 0.0 };
    double m_lost{ 0.0 };
    std::array<double, TimeCounts::kBuckets> m_times{};

    void Add(const RouteCounts& aNow, const RouteCounts& aBefore) noexcept;
    void Decay() noexcept;
    [[nodiscard]] double TimesFrom(std::size_t aBucket) const noexcept;
  };
  struct Route
  {
    /// Since the look before, for about three seconds, and since the order.
    Control m_look;
    Control m_recent;
    Control m_all;
    /// Of the new version, by worker, lately.
    std::map<std::string, Tallies> m_workers;
    Tallies m_sum;
  };

  [[nodiscard]] bool IsNew(const WorkerCounts& aCounts) const
  {
    return aCounts.m_version == m_target;
  }
  void TakeControl();
  void TakeNew();
  void TakeNew(const std::string& aSlot,
               Route& aRoute,
               const RouteCounts& aNow,
               const RouteCounts& aBefore);
  /// \returns Share of runs of the version in service that a count stands for.
  /// The higher one of this look and of those lately: a trouble that has just
  /// begun, or just ended, is seen at one worker a moment before the other.
  template<class Count, class Of>
  [[nodiscard]] static double Usual(const Route& aRoute,
                                    double aLeast,
                                    Count aCount,
                                    Of aOf);
  /// \returns First bucket of times that count as slow.
  [[nodiscard]] static std::size_t SlowFrom(const Route& aRoute) noexcept;
  /// \returns Of what came lately on a route, without the worst workers.
  [[nodiscard]] static double RecentRatio(const Route& aRoute,
                                          std::size_t aMeasure);
  [[nodiscard]] Judgement BadRoute() const;
  [[nodiscard]] Judgement Excess() const;
  /// \returns Whether each route that matters has been run, and rather well.
  [[nodiscard]] bool LeansToGood() const;
  [[nodiscard]] bool IsGood() const;

  std::string m_target;
  std::map<std::string, Worker> m_workers;
  std::map<std::uint64_t, Route> m_routes;
  /// Of the new version, by worker, since the order.
  std::map<std::string, Tallies> m_totals;
  Work m_work;
};

}
