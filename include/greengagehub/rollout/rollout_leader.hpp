#pragma once

#include "greengagehub/rollout/rollout_plan.hpp"

#include <optional>

namespace greengagehub {

/// \brief Leads one roll-out: collects run counts, evaluates them and grants
/// permits step by step.
///
/// Every daemon receives the record and the counts, so any of them can continue
/// at the current step. Two concurrent leaders grant the same permits or
/// smaller ones, and the store accepts the result of one of them.
class RolloutLeader
{
public:
  /// Workers that accept calls, by version.
  struct Workers
  {
    std::uint32_t m_old{ 0 };
    std::uint32_t m_new{ 0 };
  };

  /// \brief The decision to publish to all daemons.
  struct Decision
  {
    RolloutRecord m_record;
    /// Whether the state or the canary share changes.
    bool m_isStep{ false };
    CanaryAnalyzer::Judgement m_judgement{};
    StepInputs m_inputs{};
  };

  RolloutLeader(TimePoint aNow, std::string aTarget, RolloutLimits aLimits);

  [[nodiscard]] const std::string& Target() const noexcept { return m_target; }
  void OnCounts(const WorkerCounts& aCounts) { m_analyzer.OnCounts(aCounts); }
  [[nodiscard]] std::optional<Decision> OnTick(TimePoint aNow,
                                               const RolloutRecord& aRecord,
                                               const Workers& aWorkers);

private:
  void Evaluate(TimePoint aNow);
  [[nodiscard]] StepInputs MakeInputs(TimePoint aNow,
                                      const RolloutRecord& aRecord,
                                      const Workers& aWorkers) const;

  std::string m_target;
  RolloutLimits m_limits;
  CanaryAnalyzer m_analyzer;
  CanaryAnalyzer::Judgement m_judgement;
  TimePoint m_startedAt;
  TimePoint m_evaluatedAt{};
  TimePoint m_publishedAt{};
  /// Current canary share, in thousandths.
  std::uint32_t m_permille{ 0 };
  TimePoint m_permilleSince{};
  std::uint32_t m_idleEvaluations{ 0 };
  double m_callsPerSecond{ 0.0 };
};

}
