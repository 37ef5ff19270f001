#pragma once

#include "greengagehub/config/content.hpp"
#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>

namespace greengagehub {

/// \brief What a call asks of a worker, as far as its turn depends on it.
struct WorkDemand
{
  /// How much of a full queue it may use.
  CallClass m_class{ CallClass::Critical };
  /// Rank among those that wait, 0 first.
  std::uint32_t m_priority{ 0 };
  /// Target latency of its route: calls of the same route take alike.
  std::chrono::milliseconds m_profile{ 0 };
  std::chrono::microseconds m_timeLeft{ 0 };
  /// Until an answer stops being as good as an immediate one; never above
  /// m_timeLeft.
  std::chrono::microseconds m_targetLeft{ 0 };
  /// To be refused rather than to wait.
  bool m_refuseIfBusy{ false };
};

/// \brief Moving means of how long calls run at one worker, by profile.
class ServiceTimes
{
public:
  /// \returns The mean of the profile; of all calls while it is unknown.
  [[nodiscard]] Duration Of(std::chrono::milliseconds aProfile) const;
  /// \returns The mean over all calls.
  [[nodiscard]] Duration Mean() const noexcept { return m_mean; }

  void Note(std::chrono::milliseconds aProfile, Duration aTook);

private:
  std::map<std::chrono::milliseconds, Duration> m_profiles;
  Duration m_mean{ std::chrono::milliseconds{ 1 } };
};

/// \brief Turn of a waiting call; the least goes first.
///
/// Answers the load pattern where more is asked than workers can do: a call
/// that can still meet its target is worth more than one that cannot, whatever
/// its priority, and takes the slot for as long. Among those that can, the
/// higher priority goes first, then the one with the least time to spare; first
/// come, first served would let each wait until all are late.
struct WorkRank
{
  bool m_late{ false };
  std::uint32_t m_priority{ 0 };
  TimePoint m_due{};

  [[nodiscard]] auto operator<=>(const WorkRank&) const noexcept = default;
};

/// \param aService how long the call is expected to run.
/// \param aTarget when an answer stops being as good as an immediate one.
[[nodiscard]] WorkRank
RankOf(TimePoint aNow,
       Duration aService,
       std::uint32_t aPriority,
       TimePoint aTarget,
       TimePoint aDeadline) noexcept;

/// \brief Share of a worker's capacity that calls use which can meet their
/// target. Those that cannot get what is left; where nothing is left, waiting
/// would be in vain and they are refused at once.
class OnTimeLoad
{
public:
  void Add(TimePoint aNow, Duration aService);
  /// \returns The share, above 1 when more comes than fits.
  [[nodiscard]] double Share(TimePoint aNow, std::uint32_t aSlots) const;

private:
  [[nodiscard]] double DecayedTo(TimePoint aNow) const;

  double m_seconds{ 0.0 };
  TimePoint m_since{};
};

}
