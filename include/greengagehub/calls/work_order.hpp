#pragma once

#include "greengagehub/calls/call_kind.hpp"
#include "greengagehub/calls/decision_settings.hpp"
#include "greengagehub/calls/fair_shares.hpp"
#include "greengagehub/config/content.hpp"
#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace greengagehub {

/// \brief Properties of a call that admission and queue order depend on.
struct WorkDemand
{
  /// Determines the part of the queue that the call may use.
  CallClass m_class{ CallClass::Critical };
  /// Rank in the queue; 0 is served first.
  std::uint32_t m_priority{ 0 };
  CallKind m_kind{};
  std::chrono::microseconds m_timeLeft{ 0 };
  /// Time left to the target latency; at most m_timeLeft.
  std::chrono::microseconds m_targetLeft{ 0 };
  bool m_refuseIfBusy{ false };
  CallShare m_share{};
};

/// \brief Moving average of the service time at one worker, for each kind.
class ServiceTimes
{
public:
  /// \returns The average of the kind. Before its first sample, the smallest
  /// average of all kinds, scaled down for a shorter target: an overestimate
  /// would refuse every call of the kind and no sample would ever be taken.
  [[nodiscard]] Duration Estimate(CallKind aKind) const;
  /// \returns Nothing before the first sample of the kind.
  [[nodiscard]] std::optional<Duration> FindMean(CallKind aKind) const;
  [[nodiscard]] Duration Mean() const noexcept { return m_mean; }

  void Record(CallKind aKind, Duration aTook);

private:
  std::map<CallKind, Duration> m_kinds;
  Duration m_mean{ std::chrono::milliseconds{ 1 } };
};

/// \brief Queue position of a call: highest gain first, then earliest due time.
/// Among calls of one rank, those of workspaces ahead of their shares come
/// last.
///
/// Under overload slot time is scarce: short calls pass long ones, and late
/// calls count less.
struct WorkRank
{
  /// Value of the call for each second of a slot.
  double m_gain{ 0.0 };
  TimePoint m_due{};
  /// Whether the target is missed even if the call starts now.
  bool m_late{ false };
  /// nullptr: without a share.
  const ShareTicket* m_share{ nullptr };
  /// Virtual time by which its workspace is ahead of its share.
  double m_lead{ 0.0 };

  /// \brief Not transitive for calls of several ranks, unless none is ahead.
  [[nodiscard]] bool IsBefore(const WorkRank& aOther) const noexcept
  {
    if (m_lead != aOther.m_lead && IsOfSameRank(m_share, aOther.m_share)) {
      return m_lead < aOther.m_lead;
    }
    return IsWorthMore(aOther);
  }
  /// \returns Whether the call comes first regardless of shares.
  [[nodiscard]] bool IsWorthMore(const WorkRank& aOther) const noexcept
  {
    return m_gain != aOther.m_gain ? m_gain > aOther.m_gain
                                   : m_due < aOther.m_due;
  }
};

/// \returns Value of a call, on time or late, for each second of a slot.
[[nodiscard]] double
GainOf(const DecisionSettings& aDecisions,
       Duration aServiceTime,
       std::uint32_t aPriority,
       bool aIsLate) noexcept;

[[nodiscard]] WorkRank
RankOf(const DecisionSettings& aDecisions,
       TimePoint aNow,
       Duration aServiceTime,
       std::uint32_t aPriority,
       TimePoint aTarget,
       TimePoint aDeadline) noexcept;

/// \brief Recent load of calls that were admitted on time, by gain. Calls of
/// lower gain get only the capacity that this load leaves; with none left they
/// are refused without queueing.
class OnTimeLoad
{
public:
  /// \param aGain gain of such calls when on time.
  void Add(TimePoint aNow, CallKind aKind, double aGain, Duration aServiceTime);
  /// \returns Share of the slots used; above 1 under overload.
  [[nodiscard]] double ShareAbove(TimePoint aNow,
                                  double aGain,
                                  std::uint32_t aSlots) const;

private:
  struct Load
  {
    double m_gain{ 0.0 };
    double m_seconds{ 0.0 };
    TimePoint m_updatedAt{};
  };

  [[nodiscard]] static double DecayedTo(const Load& aLoad, TimePoint aNow);

  std::map<CallKind, Load> m_loads;
};

}
