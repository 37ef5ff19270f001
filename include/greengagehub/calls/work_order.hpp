#pragma once

#include "greengagehub/calls/call_kind.hpp"
#include "greengagehub/calls/decision_settings.hpp"
#include "greengagehub/config/content.hpp"
#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace greengagehub {

/// \brief What a call asks of a worker, as far as its turn depends on it.
struct WorkDemand
{
  /// How much of a full queue it may use.
  CallClass m_class{ CallClass::Critical };
  /// Rank among those that wait, 0 first.
  std::uint32_t m_priority{ 0 };
  CallKind m_kind{};
  std::chrono::microseconds m_timeLeft{ 0 };
  /// Until an answer stops being as good as an immediate one; never above
  /// m_timeLeft.
  std::chrono::microseconds m_targetLeft{ 0 };
  /// To be refused rather than to wait.
  bool m_refuseIfBusy{ false };
};

/// \brief Moving means of how long calls run at one worker, by kind.
class ServiceTimes
{
public:
  /// \returns The mean of the kind. While it is unknown, the least of those
  /// that are known, less where its target is nearer: a kind that never ran
  /// must not be refused for the time that others take, or it would never run
  /// and stay unknown.
  [[nodiscard]] Duration Of(CallKind aKind) const;
  /// \returns The mean of the kind, if calls of it have ended.
  [[nodiscard]] std::optional<Duration> Known(CallKind aKind) const;
  /// \returns The mean over all calls.
  [[nodiscard]] Duration Mean() const noexcept { return m_mean; }

  void Note(CallKind aKind, Duration aTook);

private:
  std::map<CallKind, Duration> m_kinds;
  Duration m_mean{ std::chrono::milliseconds{ 1 } };
};

/// \brief Turn of a waiting call; the greatest gain goes first, then the one
/// that is due first.
///
/// Answers the load pattern where more is asked than workers can do, by calls
/// of unlike length: what a worker earns is bounded by the time of its slots,
/// so that the call goes first which earns most for each second of one. A brief
/// call whose loss would throw away the run that waits for it passes reads that
/// take ten times as long; a call that is late passes only those that take more
/// than its part of their time.
struct WorkRank
{
  /// Part of a call's credit that each second of a slot earns.
  double m_gain{ 0.0 };
  TimePoint m_due{};
  /// Its target will be missed, whenever it starts.
  bool m_late{ false };

  /// \returns Whether it goes before the other one.
  [[nodiscard]] bool IsBefore(const WorkRank& aOther) const noexcept
  {
    return m_gain != aOther.m_gain ? m_gain > aOther.m_gain
                                   : m_due < aOther.m_due;
  }
};

/// \returns What a call earns for each second of a slot, on time or late.
[[nodiscard]] double
GainOf(const DecisionSettings& aDecisions,
       Duration aService,
       std::uint32_t aPriority,
       bool aIsLate) noexcept;

/// \param aService how long the call is expected to run.
/// \param aTarget when an answer stops being as good as an immediate one.
[[nodiscard]] WorkRank
RankOf(const DecisionSettings& aDecisions,
       TimePoint aNow,
       Duration aService,
       std::uint32_t aPriority,
       TimePoint aTarget,
       TimePoint aDeadline) noexcept;

/// \brief Work that comes to a worker and is admitted on time, by what it
/// gains. Whoever gains less gets what that leaves; where nothing is left,
/// waiting would be in vain and it is refused at once.
class OnTimeLoad
{
public:
  /// \param aGain of such calls while they are on time.
  void Add(TimePoint aNow, CallKind aKind, double aGain, Duration aService);
  /// \returns The share of a worker's slots that calls of more gain take, above
  /// 1 when more comes than fits.
  [[nodiscard]] double ShareAbove(TimePoint aNow,
                                  double aGain,
                                  std::uint32_t aSlots) const;

private:
  struct Load
  {
    double m_gain{ 0.0 };
    double m_seconds{ 0.0 };
    TimePoint m_since{};
  };

  [[nodiscard]] static double DecayedTo(const Load& aLoad, TimePoint aNow);

  std::map<CallKind, Load> m_loads;
};

}
