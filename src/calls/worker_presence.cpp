#include "greengagehub/calls/worker_presence.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Heartbeats that may be missed before the backend server counts as silent:
/// one may be late by seconds or lost on the way.
constexpr int kMissedBeats = 3;
/// A start that reports again while the known one is overdue by a quarter of a
/// period is believed: its second report comes one period after its first, so
/// that it takes calls after one heartbeat.
constexpr double kOverdueBeats = 1.25;
/// Former starts remembered; reports are late by seconds, in which a backend
/// server starts a few times at most.
constexpr std::size_t kMaxFormer = 16;
/// A leave whose start was never known here keeps that id away for so long. A
/// backend server ends some seconds after it, and may start again under its id.
constexpr auto kUnknownLeaveLife = std::chrono::seconds{ 30 };

}

bool
WorkerPresence::IsSilent(TimePoint aNow) const noexcept
{
  return m_current && aNow - m_heardAt > kMissedBeats * m_period;
}

const WorkerPresence::Former*
WorkerPresence::FindFormer(TimePoint aNow, const WorkerStart& aStart) const
{
  const auto found =
    std::find_if(m_former.begin(), m_former.end(), [&](const Former& aEach) {
      const bool lapsed =
        !aEach.m_start.m_born && aNow - aEach.m_since > kUnknownLeaveLife;
      return !lapsed && MayBeSame(aEach.m_start, aStart);
    });
  return found == m_former.end() ? nullptr : &*found;
}

bool
WorkerPresence::IsSuccessor(TimePoint aNow, const WorkerReport& aReport) const
{
  if (FindFormer(aNow, aReport.m_start) != nullptr) {
    return false;
  }
  if (!m_current || IsSilent(aNow)) {
    return true;
  }
  const WorkerStart& known = m_current->m_start;
  if (known.m_born && aReport.m_start.m_born) {
    return *aReport.m_start.m_born > *known.m_born;
  }
  // Without times of start: a report of an earlier start that was held up on
  // the way has a higher sequence than a process that has just started.
  return aReport.m_sequence <= m_current->m_sequence;
}

bool
WorkerPresence::HasProved(TimePoint aNow, const WorkerReport& aReport)
{
  const Former* former = FindFormer(aNow, aReport.m_start);
  const bool isOld =
    former != nullptr &&
    (!former->m_start.m_born || aReport.m_sequence <= former->m_sequence);
  if (!m_current || !aReport.m_start.m_born || isOld) {
    return false;
  }
  const bool again =
    m_contender && MayBeSame(m_contender->m_start, aReport.m_start);
  if (again && aReport.m_sequence <= m_contender->m_sequence) {
    return false;
  }
  m_contender = aReport;
  return again && aNow - m_heardAt > kOverdueBeats * m_period;
}

WorkerPresence::Change
WorkerPresence::TakeOwn(TimePoint aNow, const WorkerReport& aReport)
{
  if (aReport.m_sequence <= m_current->m_sequence) {
    return Change::None;
  }
  const bool wasLeaving = m_current->m_leaving;
  const bool sameFigures = m_current->m_slots == aReport.m_slots &&
                           m_current->m_start == aReport.m_start;
  m_contender.reset();
  m_heardAt = aNow;
  m_current = aReport;
  // Once it leaves, this start never comes back.
  m_current->m_leaving = aReport.m_leaving || wasLeaving;
  if (m_current->m_leaving) {
    return wasLeaving ? Change::None : Change::Leaving;
  }
  return sameFigures ? Change::None : Change::Updated;
}

WorkerPresence::Change
WorkerPresence::Replace(TimePoint aNow, const WorkerReport& aReport)
{
  if (m_current) {
    AddFormer({ m_current->m_start, m_current->m_sequence, aNow });
    m_formerHeardAt = m_heardAt;
  }
  std::erase_if(m_former, [&](const Former& aEach) {
    return aEach.m_start == aReport.m_start;
  });
  m_contender.reset();
  m_heardAt = aNow;
  m_current = aReport;
  return aReport.m_leaving ? Change::Leaving : Change::Arrived;
}

void
WorkerPresence::AddFormer(Former aFormer)
{
  m_former.push_back(std::move(aFormer));
  if (m_former.size() > kMaxFormer) {
    m_former.pop_front();
  }
}

WorkerPresence::Change
WorkerPresence::OnReport(TimePoint aNow, const WorkerReport& aReport)
{
  if (m_tellsBorn && !aReport.m_start.m_born) {
    return Change::None;
  }
  m_tellsBorn = aReport.m_start.m_born.has_value();
  if (m_current && MayBeSame(m_current->m_start, aReport.m_start)) {
    return TakeOwn(aNow, aReport);
  }
  const bool believed = IsSuccessor(aNow, aReport) || HasProved(aNow, aReport);
  return believed ? Replace(aNow, aReport) : Change::None;
}

WorkerPresence::Change
WorkerPresence::OnProbed(TimePoint aNow, WorkerReport aReport)
{
  if (m_current || FindFormer(aNow, aReport.m_start) != nullptr) {
    return Change::None;
  }
  // Any report of its own is newer.
  aReport.m_sequence = 0;
  return Replace(aNow, aReport);
}

WorkerPresence::Change
WorkerPresence::OnLeft(TimePoint aNow, const WorkerStart& aStart)
{
  if (!m_current || !MayBeSame(m_current->m_start, aStart)) {
    AddFormer({ aStart, 0, aNow });
    return Change::None;
  }
  const bool wasLeaving = m_current->m_leaving;
  m_current->m_leaving = true;
  return wasLeaving ? Change::None : Change::Leaving;
}

}
