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
/// Beyond this ranks make no difference any more.
constexpr std::uint32_t kMostRanks = 20;
/// Kinds that are told apart at one worker. Services have some ten; those
/// beyond go by their target.
constexpr std::size_t kMaxKinds = 64;
/// Below this the time on the way outweighs the time in a slot.
constexpr Duration kLeastService = std::chrono::milliseconds{ 1 };

/// \returns The entry of a kind; once there are too many, the one that all
/// further kinds of its target share.
template<class Entries>
auto
EntryOf(Entries& aEntries, CallKind aKind)
{
  const auto found = aEntries.find(aKind);
  const bool isFull = aEntries.size() >= kMaxKinds;
  return found == aEntries.end() && isFull
           ? aEntries.find(CallKind{ aKind.m_target })
           : found;
}

/// \returns Under which kind an entry is added where EntryOf finds none.
template<class Entries>
CallKind
KeyOfNew(const Entries& aEntries, CallKind aKind)
{
  return aEntries.size() < kMaxKinds ? aKind : CallKind{ aKind.m_target };
}

}

std::optional<Duration>
ServiceTimes::Known(CallKind aKind) const
{
  const auto found = EntryOf(m_kinds, aKind);
  return found != m_kinds.end() ? std::optional{ found->second } : std::nullopt;
}

Duration
ServiceTimes::Of(CallKind aKind) const
{
  if (const auto known = Known(aKind)) {
    return *known;
  }
  Duration least = m_mean;
  for (const auto& [kind, mean] : m_kinds) {
    // Operators set targets by what calls take.
    const Duration scaled =
      kind.m_target > aKind.m_target
        ? mean * aKind.m_target.count() / kind.m_target.count()
        : mean;
    least = std::min(least, scaled);
  }
  return least;
}

void
ServiceTimes::Note(CallKind aKind, Duration aTook)
{
  if (m_kinds.empty()) {
    m_mean = aTook;
  }
  m_mean += (aTook - m_mean) / (1 << kMeanShift);
  const auto found = EntryOf(m_kinds, aKind);
  if (found == m_kinds.end()) {
    m_kinds.emplace(KeyOfNew(m_kinds, aKind), aTook);
    return;
  }
  found->second += (aTook - found->second) / (1 << kMeanShift);
}

double
GainOf(const DecisionSettings& aDecisions,
       Duration aService,
       std::uint32_t aPriority,
       bool aIsLate) noexcept
{
  const std::chrono::duration<double> service =
    std::max<Duration>(aService, kLeastService);
  const double credit =
    std::pow(aDecisions.m_nextRankCredit, std::min(aPriority, kMostRanks)) *
    (aIsLate ? aDecisions.m_lateCredit : 1.0);
  return aDecisions.m_countsTime ? credit / service.count() : credit;
}

WorkRank
RankOf(const DecisionSettings& aDecisions,
       TimePoint aNow,
       Duration aService,
       std::uint32_t aPriority,
       TimePoint aTarget,
       TimePoint aDeadline) noexcept
{
  const auto needed =
    std::chrono::duration_cast<Duration>(aService * kServiceMargin);
  const bool late = aNow + needed > aTarget;
  return { GainOf(aDecisions, aService, aPriority, late),
           late ? aDeadline : aTarget,
           late };
}

double
OnTimeLoad::DecayedTo(const Load& aLoad, TimePoint aNow)
{
  const std::chrono::duration<double> age = aNow - aLoad.m_since;
  return aLoad.m_seconds * std::exp(-(age / kLoadMemory));
}

void
OnTimeLoad::Add(TimePoint aNow, CallKind aKind, double aGain, Duration aService)
{
  const auto found = EntryOf(m_loads, aKind);
  Load& kind =
    found != m_loads.end() ? found->second : m_loads[KeyOfNew(m_loads, aKind)];
  kind.m_seconds =
    DecayedTo(kind, aNow) + std::chrono::duration<double>(aService).count();
  kind.m_gain = aGain;
  kind.m_since = aNow;
}

double
OnTimeLoad::ShareAbove(TimePoint aNow, double aGain, std::uint32_t aSlots) const
{
  double seconds = 0.0;
  for (const auto& [kind, load] : m_loads) {
    seconds += load.m_gain > aGain ? DecayedTo(load, aNow) : 0.0;
  }
  return seconds / (kLoadMemory.count() * std::max(1U, aSlots));
}

}
