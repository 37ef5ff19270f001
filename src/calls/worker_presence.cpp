#include "greengagehub/calls/worker_presence.hpp"

namespace greengagehub {

namespace {

/// Heartbeats that may be missed before the backend server counts as silent:
/// one may be late by seconds or lost on the way.
constexpr int kMissedBeats = 3;

}

bool
WorkerPresence::IsSilent(TimePoint aNow) const noexcept
{
  return m_current && aNow - m_heardAt > kMissedBeats * m_period;
}

bool
WorkerPresence::IsOutdated(TimePoint aNow, const WorkerReport& aReport) const
{
  if (m_former.contains(aReport.m_id)) {
    return true;
  }
  if (!m_current) {
    return false;
  }
  if (m_current->m_id == aReport.m_id) {
    return aReport.m_sequence <= m_current->m_sequence;
  }
  // A report of an earlier start can come after the first one of its
  // successor, when it was held up on the way. Its sequence is then higher
  // than that of a process that has just started, while the successor goes on
  // reporting.
  return aReport.m_sequence > m_current->m_sequence && !IsSilent(aNow);
}

WorkerPresence::Change
WorkerPresence::OnReport(TimePoint aNow, const WorkerReport& aReport)
{
  if (IsOutdated(aNow, aReport)) {
    return Change::None;
  }
  const bool arrived = !m_current || m_current->m_id != aReport.m_id;
  const bool wasLeaving = !arrived && m_current->m_leaving;
  const bool sameFigures = !arrived && m_current->m_slots == aReport.m_slots;
  if (arrived && m_current) {
    m_former.insert(m_current->m_id);
  }
  m_heardAt = aNow;
  m_current = aReport;
  // Once it leaves it never comes back under the same id.
  m_current->m_leaving = aReport.m_leaving || wasLeaving;
  if (m_current->m_leaving) {
    return wasLeaving ? Change::None : Change::Leaving;
  }
  if (arrived) {
    return Change::Arrived;
  }
  return sameFigures ? Change::None : Change::Updated;
}

WorkerPresence::Change
WorkerPresence::OnProbed(TimePoint aNow, WorkerReport aReport)
{
  if (m_current || m_former.contains(aReport.m_id)) {
    return Change::None;
  }
  // Any report of its own is newer.
  aReport.m_sequence = 0;
  return OnReport(aNow, aReport);
}

WorkerPresence::Change
WorkerPresence::OnLeft(const std::string& aId)
{
  if (!m_current || m_current->m_id != aId) {
    m_former.insert(aId);
    return Change::None;
  }
  const bool wasLeaving = m_current->m_leaving;
  m_current->m_leaving = true;
  return wasLeaving ? Change::None : Change::Leaving;
}

}
