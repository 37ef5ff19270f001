#include "greengagehub/calls/work_order.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

/// Weight of one sample in a moving mean, as a shift.
constexpr int kMeanShift = 4;
/// A call may take somewhat longer than the mean: with the spread of service
/// times seen on lookups (half of the mean), a fifth more covers two in three.
constexpr double kServiceMargin = 1.2;
/// Over which the load is taken: long enough to hold some hundred calls at a
/// busy worker, short beside the seconds that a burst lasts.
constexpr std::chrono::duration<double> kLoadMemory{ 1.0 };

}

Duration
ServiceTimes::Of(std::chrono::milliseconds aProfile) const
{
  const auto found = m_profiles.find(aProfile);
  return found == m_profiles.end() ? m_mean : found->second;
}

void
ServiceTimes::Note(std::chrono::milliseconds aProfile, Duration aTook)
{
  if (m_profiles.empty()) {
    m_mean = aTook;
  }
  m_mean += (aTook - m_mean) / (1 << kMeanShift);
  const auto [found, isNew] = m_profiles.emplace(aProfile, aTook);
  if (!isNew) {
    found->second += (aTook - found->second) / (1 << kMeanShift);
  }
}

WorkRank
RankOf(TimePoint aNow,
       Duration aService,
       std::uint32_t aPriority,
       TimePoint aTarget,
       TimePoint aDeadline) noexcept
{
  const auto needed =
    std::chrono::duration_cast<Duration>(aService * kServiceMargin);
  const bool late = aNow + needed > aTarget;
  return { late, aPriority, late ? aDeadline : aTarget };
}

double
OnTimeLoad::DecayedTo(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - m_since;
  return m_seconds * std::exp(-(age / kLoadMemory));
}

void
OnTimeLoad::Add(TimePoint aNow, Duration aService)
{
  m_seconds = DecayedTo(aNow) + std::chrono::duration<double>(aService).count();
  m_since = aNow;
}

double
OnTimeLoad::Share(TimePoint aNow, std::uint32_t aSlots) const
{
  return DecayedTo(aNow) / (kLoadMemory.count() * std::max(1U, aSlots));
}

}
