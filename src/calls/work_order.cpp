#include "greengagehub/calls/work_order.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

/// Weight of one sample in a moving average: 2^-4.
constexpr int kMeanShift = 4;
/// Allowance for service times above the average. It covers two in three calls
/// whose standard deviation is half of the mean.
constexpr double kServiceMargin = 1.2;
/// Decay time of the load average: it covers some hundred calls of a busy
/// worker and is shorter than a burst of calls.
constexpr std::chrono::duration<double> kLoadDecay{ 1.0 };
/// Lower ranks are all treated as this one.
constexpr std::uint32_t kLowestRank = 20;
/// Kinds tracked at one worker; further ones are grouped by target latency.
constexpr std::size_t kMaxKinds = 64;
/// For shorter calls the transmission takes longer than the execution.
constexpr Duration kMinService = std::chrono::milliseconds{ 1 };

/// \returns The entry of a kind; if it has none and the map is full, the entry
/// shared by all further kinds with its target.
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

template<class Entries>
CallKind
KeyForNewEntry(const Entries& aEntries, CallKind aKind)
{
  return aEntries.size() < kMaxKinds ? aKind : CallKind{ aKind.m_target };
}

}

std::optional<Duration>
ServiceTimes::FindMean(CallKind aKind) const
{
  const auto found = EntryOf(m_kinds, aKind);
  return found != m_kinds.end() ? std::optional{ found->second } : std::nullopt;
}

Duration
ServiceTimes::Estimate(CallKind aKind) const
{
  if (const auto known = FindMean(aKind)) {
    return *known;
  }
  Duration least = m_mean;
  for (const auto& [kind, mean] : m_kinds) {
    // Targets are roughly proportional to service times.
    const Duration scaled =
      kind.m_target > aKind.m_target
        ? mean * aKind.m_target.count() / kind.m_target.count()
        : mean;
    least = std::min(least, scaled);
  }
  return least;
}

void
ServiceTimes::Record(CallKind aKind, Duration aTook)
{
  if (m_kinds.empty()) {
    m_mean = aTook;
  }
  m_mean += (aTook - m_mean) / (1 << kMeanShift);
  const auto found = EntryOf(m_kinds, aKind);
  if (found == m_kinds.end()) {
    m_kinds.emplace(KeyForNewEntry(m_kinds, aKind), aTook);
    return;
  }
  found->second += (aTook - found->second) / (1 << kMeanShift);
}

double
GainOf(const DecisionSettings& aDecisions,
       Duration aServiceTime,
       std::uint32_t aPriority,
       bool aIsLate) noexcept
{
  const std::chrono::duration<double> service =
    std::max<Duration>(aServiceTime, kMinService);
  const double credit =
    std::pow(aDecisions.m_nextRankCredit, std::min(aPriority, kLowestRank)) *
    (aIsLate ? aDecisions.m_lateCredit : 1.0);
  return aDecisions.m_ranksPerSlotTime ? credit / service.count() : credit;
}

WorkRank
RankOf(const DecisionSettings& aDecisions,
       TimePoint aNow,
       Duration aServiceTime,
       std::uint32_t aPriority,
       TimePoint aTarget,
       TimePoint aDeadline) noexcept
{
  const auto needed =
    std::chrono::duration_cast<Duration>(aServiceTime * kServiceMargin);
  const bool late = aNow + needed > aTarget;
  return { GainOf(aDecisions, aServiceTime, aPriority, late),
           late ? aDeadline : aTarget,
           late };
}

double
OnTimeLoad::DecayedTo(const Load& aLoad, TimePoint aNow)
{
  const std::chrono::duration<double> age = aNow - aLoad.m_updatedAt;
  return aLoad.m_seconds * std::exp(-(age / kLoadDecay));
}

void
OnTimeLoad::Add(TimePoint aNow,
                CallKind aKind,
                double aGain,
                Duration aServiceTime)
{
  const auto found = EntryOf(m_loads, aKind);
  Load& kind = found != m_loads.end() ? found->second
                                      : m_loads[KeyForNewEntry(m_loads, aKind)];
  kind.m_seconds =
    DecayedTo(kind, aNow) + std::chrono::duration<double>(aServiceTime).count();
  kind.m_gain = aGain;
  kind.m_updatedAt = aNow;
}

double
OnTimeLoad::ShareAbove(TimePoint aNow, double aGain, std::uint32_t aSlots) const
{
  double seconds = 0.0;
  for (const auto& [kind, load] : m_loads) {
    seconds += load.m_gain > aGain ? DecayedTo(load, aNow) : 0.0;
  }
  return seconds / (kLoadDecay.count() * std::max(1U, aSlots));
}

}
