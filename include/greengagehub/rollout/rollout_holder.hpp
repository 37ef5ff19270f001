#pragma once

#include "greengagehub/rollout/rollout_plan.hpp"

#include <optional>

namespace greengagehub {

/// \brief Leads one roll-out: collects counts, has them judged, and lends leave
/// to try step by step.
///
/// Every daemon can: all it needs is the record, which tells how far it came,
/// and counts, which daemons tell from the order on. One that takes over goes
/// on at the step that was reached. Two that lead at once lend the same leaves
/// or smaller ones, and the store takes the word of one of them.
class RolloutHolder
{
public:
  /// Workers that take calls, by version.
  struct Workers
  {
    std::uint32_t m_old{ 0 };
    std::uint32_t m_new{ 0 };
  };

  /// \brief What is to be told to all.
  struct Lead
  {
    RolloutRecord m_record;
    /// It differs from the record by more than a renewed leave.
    bool m_isStep{ false };
    VersionJudge::Judgement m_judgement{};
    RolloutView m_view{};
  };

  RolloutHolder(TimePoint aNow, std::string aTarget, RolloutLimits aLimits);

  [[nodiscard]] const std::string& Target() const noexcept { return m_target; }
  void OnCounts(const WorkerCounts& aCounts) { m_judge.OnCounts(aCounts); }
  /// \param aRecord as known now.
  /// \returns The record to be told, if one is due.
  [[nodiscard]] std::optional<Lead> OnTick(TimePoint aNow,
                                           const RolloutRecord& aRecord,
                                           const Workers& aWorkers);

private:
  void Look(TimePoint aNow);
  [[nodiscard]] RolloutView ViewOf(TimePoint aNow,
                                   const RolloutRecord& aRecord,
                                   const Workers& aWorkers) const;

  std::string m_target;
  RolloutLimits m_limits;
  VersionJudge m_judge;
  VersionJudge::Judgement m_judgement;
  TimePoint m_began;
  TimePoint m_lookedAt{};
  TimePoint m_toldAt{};
  /// The share that calls have had, and since when.
  std::uint32_t m_permille{ 0 };
  TimePoint m_permilleSince{};
  std::uint32_t m_idleLooks{ 0 };
  double m_callsPerSecond{ 0.0 };
};

}
