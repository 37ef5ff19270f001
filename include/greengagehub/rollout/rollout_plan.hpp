#pragma once

#include "greengagehub/rollout/rollout_record.hpp"
#include "greengagehub/rollout/version_judge.hpp"

#include <optional>

namespace greengagehub {

/// \brief Bounds that the operators lay down for versions on trial.
struct RolloutLimits
{
  /// Most of a service's calls, from the order to its deadline, that a bad
  /// version may get: a share, and some.
  double m_maxShare{ 0.1 };
  double m_slack{ 50.0 };
};

/// \brief What a step is decided by.
struct RolloutView
{
  /// Since the order.
  Duration m_age{};
  /// Within which it has to be completed or rolled back.
  std::chrono::milliseconds m_duration{ 0 };
  VersionJudge::Verdict m_verdict{ VersionJudge::Verdict::Unsure };
  /// Workers that take calls, of the version in service and of the new one.
  std::uint32_t m_oldWorkers{ 0 };
  std::uint32_t m_newWorkers{ 0 };
  /// Calls to the service a second; 0: not known yet.
  double m_callsPerSecond{ 0.0 };
  /// Share of the calls that the new version has now, in thousandths, and for
  /// how long it has had it.
  std::uint32_t m_permille{ 0 };
  Duration m_hasShareFor{};
  /// Nothing runs or waits at workers of the version in service, and nothing
  /// came for them lately.
  bool m_oldIdle{ false };
};

/// \brief What is to be done now.
struct RolloutStep
{
  RolloutState m_state{ RolloutState::Running };
  RollbackCause m_cause{ RollbackCause::None };
  /// How long it is lent is the lender's.
  TrialLeave m_leave{};
};

/// \brief The next step of a roll-out.
///
/// Answers the load pattern of a version that fails from the start, late, or
/// only under load. A small share of the calls, on few workers, for more than
/// half of the time: a fault that begins late shows there, at the price of a
/// few calls in a hundred. Then larger shares for a moment each, on as many
/// workers as have the load of the old ones, so that a fault under load shows
/// while most calls go elsewhere. Then all, soon enough that what runs at the
/// old workers has ended before they are stopped. Where time is up and nobody
/// can be sure, it is rolled back.
[[nodiscard]] RolloutStep
NextStep(const RolloutLimits& aLimits, const RolloutView& aView);

/// \returns Share of the calls that the new version gets at first.
[[nodiscard]] std::uint32_t
TrialPermille(const RolloutLimits& aLimits, const RolloutView& aView) noexcept;

}
