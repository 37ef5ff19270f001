#include "greengagehub/calls/run_table.hpp"

#include <algorithm>

// What a run table expects: turns, waits, service times, and which calls would
// wait in vain.

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
  return std::chrono::duration_cast<Duration>(m_services.Of(aKind) *
                                              SlownessAt(aNow));
}

double
RunTable::SlownessAt(TimePoint aNow) const
{
  return m_settings.m_decisions.m_seesSlowness ? m_runningAge.SlownessAt(aNow)
                                               : 1.0;
}

std::uint32_t
RunTable::OpenSlots(TimePoint aNow) const
{
  const Duration warmUp = m_settings.m_warmUp;
  const Duration age = aNow - m_firstCall;
  if (warmUp <= Duration::zero() || age >= warmUp) {
    return m_settings.m_slots;
  }
  const double share =
    std::chrono::duration<double>(age) / std::chrono::duration<double>(warmUp);
  return std::max(1U, static_cast<std::uint32_t>(share * m_settings.m_slots));
}

std::uint32_t
RunTable::QueueLimit(CallClass aClass) const noexcept
{
  // Lower classes may fill only a part, so that overload sheds them first.
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
RunTable::QueuedOf(CallClass aClass) const noexcept
{
  // Those of higher classes count too: a class may fill only its part of the
  // queue, and not on top of what is before it.
  std::uint32_t queued = 0;
  for (const Run& each : m_waiting) {
    queued += each.m_class <= aClass ? 1 : 0;
  }
  return queued;
}

WorkRank
RunTable::Rank(TimePoint aNow, const Run& aRun) const
{
  return RankOf(m_settings.m_decisions,
                aNow,
                m_services.Of(aRun.m_kind),
                aRun.m_priority,
                aRun.m_target,
                aRun.m_deadline);
}

Duration
RunTable::WorkBefore(TimePoint aNow, const WorkRank& aRank) const
{
  Duration work = Duration::zero();
  for (const Run& each : m_waiting) {
    if (!aRank.IsBefore(Rank(aNow, each))) {
      work += m_services.Of(each.m_kind);
    }
  }
  return work;
}

Duration
RunTable::WaitFor(TimePoint aNow, const WorkRank& aRank) const
{
  const std::uint32_t slots = OpenSlots(aNow);
  if (m_running < slots) {
    return Duration::zero();
  }
  // A slot comes free after a part of a mean run, and one for each call before
  // it after that.
  const Duration work = m_services.Mean() + WorkBefore(aNow, aRank);
  return std::chrono::duration_cast<Duration>(work * SlownessAt(aNow)) / slots;
}

Duration
RunTable::WaitOf(TimePoint aNow, std::uint32_t aPriority, CallKind aKind) const
{
  const double gain =
    GainOf(m_settings.m_decisions, m_services.Of(aKind), aPriority, false);
  return WaitFor(aNow, { gain, aNow + aKind.m_target, false });
}

std::optional<Duration>
RunTable::ForeseenWait(TimePoint aNow, const WorkRank& aRank) const
{
  const double share =
    m_onTime.ShareAbove(aNow, aRank.m_gain, m_settings.m_slots);
  if (share >= m_settings.m_decisions.m_nothingLeft) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(WaitFor(aNow, aRank) /
                                              (1.0 - share));
}

std::chrono::milliseconds
RunTable::ExpectedWait(TimePoint aNow) const
{
  return RoundUp(WaitFor(aNow, { 0.0, TimePoint::max(), true }));
}

bool
RunTable::IsBusyFor(TimePoint aNow, const Run& aRun) const
{
  const Duration left = std::max<Duration>(aRun.m_target - aNow, {});
  return WaitFor(aNow, Rank(aNow, aRun)) >
         left / m_settings.m_decisions.m_busyPart;
}

std::optional<RefusalReason>
RunTable::ReasonToRefuse(TimePoint aNow, const Run& aRun) const
{
  const WorkRank rank = Rank(aNow, aRun);
  const Duration service = ServiceTime(aNow, aRun.m_kind);
  const Duration wait = WaitFor(aNow, rank);
  if (aNow + wait + service + m_settings.m_margin > aRun.m_deadline) {
    return RefusalReason::DeadlineTooShort;
  }
  const bool late = rank.m_late || aNow + wait + service > aRun.m_target;
  const DecisionSettings& decisions = m_settings.m_decisions;
  if (!decisions.m_refusesEarly || !late || aRun.m_target >= aRun.m_deadline) {
    return std::nullopt;
  }
  const WorkRank asLate{ GainOf(decisions, service, aRun.m_priority, true),
                         aRun.m_deadline,
                         true };
  const auto lateWait = ForeseenWait(aNow, asLate);
  const Duration left = aRun.m_deadline - aNow;
  const bool inVain = !lateWait || *lateWait > left / decisions.m_latePart;
  return inVain ? std::optional{ RefusalReason::Overloaded } : std::nullopt;
}

}
