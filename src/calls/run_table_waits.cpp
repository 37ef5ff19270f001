#include "greengagehub/calls/run_table.hpp"

#include <algorithm>

// Estimates of the run table, and refusals based on them.

namespace greengagehub {

namespace {

std::chrono::milliseconds
RoundUp(Duration aSpan)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aSpan);
}

}

Duration
RunTable::ServiceTime(TimePoint aNow, CallKind aKind) const
{
  return std::chrono::duration_cast<Duration>(m_serviceTimes.Estimate(aKind) *
                                              SlownessAt(aNow));
}

double
RunTable::SlownessAt(TimePoint aNow) const
{
  return m_settings.m_decisions.m_detectsSlowness ? m_slowness.SlownessAt(aNow)
                                                  : 1.0;
}

std::uint32_t
RunTable::OpenSlots(TimePoint aNow) const
{
  if (m_limiter.IsUnknown(aNow)) {
    return std::max(1U, m_settings.m_slots / 2);
  }
  const Duration warmUp = m_settings.m_warmUp;
  const Duration age = aNow - m_firstCall;
  if (warmUp <= Duration::zero() || age >= warmUp) {
    return m_settings.m_slots;
  }
  const double share =
    std::chrono::duration<double>(age) / std::chrono::duration<double>(warmUp);
  return std::max(1U, static_cast<std::uint32_t>(share * m_settings.m_slots));
}

bool
RunTable::StartsAtOnce(TimePoint aNow) const
{
  if (m_running >= OpenSlots(aNow)) {
    return false;
  }
  return !m_limiter.IsLimiting(aNow) ||
         (m_queued == 0 && m_limiter.NextSendAt(aNow) <= aNow);
}

const DecisionSettings&
RunTable::OrderSettings(TimePoint aNow) const
{
  return m_limiter.IsLimiting(aNow) ? m_limitedOrder : m_settings.m_decisions;
}

std::uint32_t
RunTable::QueueLimit(CallClass aClass) const noexcept
{
  // Lower classes are shed first.
  switch (aClass) {
    case CallClass::Critical:
      return m_settings.m_queue;
    case CallClass::Lookup:
      return m_settings.m_queue * 3 / 4;
    case CallClass::Export:
      return m_settings.m_queue / 4;
  }
  return 0;
}

std::uint32_t
RunTable::CountAgainstLimit(CallClass aClass) const noexcept
{
  // A class's limit covers the calls of higher classes as well.
  std::uint32_t queued = 0;
  for (const Run& each : m_queuedRuns) {
    queued += each.m_class <= aClass ? 1 : 0;
  }
  return queued;
}

WorkRank
RunTable::Rank(TimePoint aNow, const Run& aRun) const
{
  return RankOf(OrderSettings(aNow),
                aNow,
                m_serviceTimes.Estimate(aRun.m_kind),
                aRun.m_priority,
                aRun.m_target,
                aRun.m_deadline);
}

Duration
RunTable::WorkAhead(TimePoint aNow, const WorkRank& aRank) const
{
  Duration work = Duration::zero();
  for (const Run& each : m_queuedRuns) {
    if (!aRank.IsBefore(Rank(aNow, each))) {
      work += m_serviceTimes.Estimate(each.m_kind);
    }
  }
  return work;
}

Duration
RunTable::SlotWait(TimePoint aNow, const WorkRank& aRank) const
{
  const std::uint32_t slots = OpenSlots(aNow);
  if (m_running < slots) {
    return Duration::zero();
  }
  // A slot becomes free once per mean service time divided by their number.
  const Duration work = m_serviceTimes.Mean() + WorkAhead(aNow, aRank);
  return std::chrono::duration_cast<Duration>(work * SlownessAt(aNow)) / slots;
}

Duration
RunTable::LimitWait(TimePoint aNow, const WorkRank& aRank) const
{
  if (!m_limiter.IsLimiting(aNow)) {
    return Duration::zero();
  }
  const auto ahead = std::ranges::count_if(m_queuedRuns, [&](const Run& aRun) {
    return !aRank.IsBefore(Rank(aNow, aRun));
  });
  return m_limiter.DelayAfter(aNow, static_cast<std::size_t>(ahead));
}

Duration
RunTable::EstimateWait(TimePoint aNow, const WorkRank& aRank) const
{
  return std::max(SlotWait(aNow, aRank), LimitWait(aNow, aRank));
}

RefusalReason
RunTable::CauseOf(TimePoint aNow, const Run& aRun, RefusalReason aReason) const
{
  const WorkRank rank = Rank(aNow, aRun);
  return LimitWait(aNow, rank) > SlotWait(aNow, rank)
           ? RefusalReason::RateLimited
           : aReason;
}

Duration
RunTable::ExpectedWaitOfKind(TimePoint aNow,
                             std::uint32_t aPriority,
                             CallKind aKind) const
{
  const double gain = GainOf(
    OrderSettings(aNow), m_serviceTimes.Estimate(aKind), aPriority, false);
  return EstimateWait(aNow, { gain, aNow + aKind.m_target, false });
}

std::optional<Duration>
RunTable::PredictedWait(TimePoint aNow, const WorkRank& aRank) const
{
  if (m_limiter.IsLimiting(aNow)) {
    return EstimateWait(aNow, aRank);
  }
  const double share =
    m_onTimeLoad.ShareAbove(aNow, aRank.m_gain, m_settings.m_slots);
  if (share >= m_settings.m_decisions.m_saturatedShare) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(EstimateWait(aNow, aRank) /
                                              (1.0 - share));
}

std::chrono::milliseconds
RunTable::ExpectedWait(TimePoint aNow) const
{
  return RoundUp(EstimateWait(aNow, { 0.0, TimePoint::max(), true }));
}

bool
RunTable::IsBusyFor(TimePoint aNow, const Run& aRun) const
{
  const Duration left = std::max<Duration>(aRun.m_target - aNow, {});
  return EstimateWait(aNow, Rank(aNow, aRun)) >
         left / m_settings.m_decisions.m_busyWaitDivisor;
}

std::optional<RefusalReason>
RunTable::ReasonToRefuse(TimePoint aNow, const Run& aRun) const
{
  const WorkRank rank = Rank(aNow, aRun);
  const Duration service = ServiceTime(aNow, aRun.m_kind);
  const Duration wait = EstimateWait(aNow, rank);
  if (aNow + wait + service + m_settings.m_margin > aRun.m_deadline) {
    return RefusalReason::DeadlineTooShort;
  }
  const bool isLate = rank.m_late || aNow + wait + service > aRun.m_target;
  const DecisionSettings& decisions = OrderSettings(aNow);
  if (!decisions.m_refusesEarly || !isLate ||
      aRun.m_target >= aRun.m_deadline) {
    return std::nullopt;
  }
  const WorkRank lateRank{ GainOf(decisions, service, aRun.m_priority, true),
                           aRun.m_deadline,
                           true };
  const auto lateWait = PredictedWait(aNow, lateRank);
  const Duration left = aRun.m_deadline - aNow;
  const bool waitsTooLong =
    !lateWait || *lateWait > left / decisions.m_lateWaitDivisor;
  return waitsTooLong ? std::optional{ RefusalReason::Overloaded }
                      : std::nullopt;
}

}
