#include "greengagehub/calls/worker_presence.hpp"

#include <algorithm>
#include <utility>

namespace greengagehub {

namespace {

/// A single heartbeat may be lost or delayed.
constexpr int kMaxMissedHeartbeats = 3;
/// Heartbeat periods without a report after which the current incarnation is
/// overdue. Below 2, so that another one is accepted at its second report.
constexpr double kOverduePeriods = 1.25;
/// Past incarnations kept. Reports are late by seconds, in which there are few
/// restarts.
constexpr std::size_t kMaxPastIncarnations = 16;
/// Restarts of a daemon whose workers its peers may know.
constexpr std::size_t kMaxPreviousWorkers = 8;
/// How long a past incarnation without a start time is matched by its ID; a
/// backend server may restart under the same ID.
constexpr auto kIdMatchLife = std::chrono::seconds{ 30 };

}

bool
WorkerPresence::IsSilent(TimePoint aNow) const noexcept
{
  return m_current &&
         aNow - m_lastReportAt > kMaxMissedHeartbeats * m_heartbeatInterval;
}

IncarnationTag
WorkerPresence::CurrentTag() const
{
  const bool isConfirmed = m_current && m_current->m_sequence > 0;
  return isConfirmed ? TagOf(m_current->m_incarnation) : 0;
}

IncarnationTag
WorkerPresence::CurrentIdTag() const
{
  return m_current ? IdTagOf(m_current->m_incarnation.m_id) : 0;
}

bool
WorkerPresence::AwaitsHealthCheck() const noexcept
{
  return !m_current &&
         std::ranges::any_of(m_previousWorkers, [](const auto& aEach) {
           return !aEach.m_isLeaving;
         });
}

bool
WorkerPresence::HasLeftBefore(const WorkerIncarnation& aIncarnation) const
{
  return std::ranges::any_of(m_previousWorkers, [&](const auto& aEach) {
    return aEach.m_isLeaving && aEach.m_incarnation == TagOf(aIncarnation);
  });
}

const WorkerPresence::PastIncarnation*
WorkerPresence::FindPast(TimePoint aNow,
                         const WorkerIncarnation& aIncarnation) const
{
  const auto found = std::find_if(
    m_pastIncarnations.begin(),
    m_pastIncarnations.end(),
    [&](const PastIncarnation& aEach) {
      const bool isExpired = !aEach.m_incarnation.m_startedAt &&
                             aNow - aEach.m_addedAt > kIdMatchLife;
      return !isExpired && MayBeSame(aEach.m_incarnation, aIncarnation);
    });
  return found == m_pastIncarnations.end() ? nullptr : &*found;
}

bool
WorkerPresence::SupersedesCurrent(const WorkerReport& aReport) const
{
  return m_current && m_current->m_sequence > 0 &&
         !m_current->m_incarnation.m_startedAt &&
         aReport.m_incarnation.m_startedAt;
}

bool
WorkerPresence::IsSuccessor(TimePoint aNow, const WorkerReport& aReport) const
{
  if (FindPast(aNow, aReport.m_incarnation) != nullptr) {
    return false;
  }
  if (!m_current || m_isReplaced || IsSilent(aNow)) {
    return true;
  }
  const WorkerIncarnation& known = m_current->m_incarnation;
  if (known.m_startedAt && aReport.m_incarnation.m_startedAt) {
    return *aReport.m_incarnation.m_startedAt > *known.m_startedAt;
  }
  if (SupersedesCurrent(aReport)) {
    return true;
  }
  // Without start times: a delayed report of an earlier incarnation has a
  // higher sequence number than one of a new process.
  return aReport.m_sequence <= m_current->m_sequence;
}

bool
WorkerPresence::IsConfirmed(TimePoint aNow, const WorkerReport& aReport)
{
  const PastIncarnation* past = FindPast(aNow, aReport.m_incarnation);
  const bool isOld =
    past != nullptr && (!past->m_incarnation.m_startedAt ||
                        aReport.m_sequence <= past->m_sequence);
  if (!m_current || !aReport.m_incarnation.m_startedAt || isOld) {
    return false;
  }
  const bool isRepeated =
    m_candidate && MayBeSame(m_candidate->m_incarnation, aReport.m_incarnation);
  if (isRepeated && aReport.m_sequence <= m_candidate->m_sequence) {
    return false;
  }
  m_candidate = aReport;
  return isRepeated &&
         aNow - m_lastReportAt > kOverduePeriods * m_heartbeatInterval;
}

WorkerPresence::Change
WorkerPresence::UpdateCurrent(TimePoint aNow, const WorkerReport& aReport)
{
  const bool supersedes = SupersedesCurrent(aReport);
  if (aReport.m_sequence <= m_current->m_sequence && !supersedes) {
    return Change::None;
  }
  const bool wasReplaced = std::exchange(m_isReplaced, false);
  const bool wasLeaving = m_hasLeft || (m_current->m_isDraining && !supersedes);
  const bool wasConfirmed = m_current->m_sequence > 0;
  const bool isUnchanged = wasConfirmed &&
                           m_current->m_slots == aReport.m_slots &&
                           m_current->m_incarnation == aReport.m_incarnation;
  m_candidate.reset();
  m_lastReportAt = aNow;
  m_current = aReport;
  // An incarnation that is draining never accepts calls again.
  m_current->m_isDraining = aReport.m_isDraining || wasLeaving;
  if (m_current->m_isDraining) {
    return wasLeaving ? Change::None : Change::Leaving;
  }
  return isUnchanged && !wasReplaced ? Change::None : Change::Updated;
}

WorkerPresence::Change
WorkerPresence::Replace(TimePoint aNow, const WorkerReport& aReport)
{
  if (m_current) {
    AddPast({ m_current->m_incarnation, m_current->m_sequence, aNow });
    m_previousLastReportAt = m_lastReportAt;
  }
  std::erase_if(m_pastIncarnations, [&](const PastIncarnation& aEach) {
    return aEach.m_incarnation == aReport.m_incarnation;
  });
  m_candidate.reset();
  m_isReplaced = false;
  m_hasLeft = false;
  m_lastReportAt = aNow;
  m_current = aReport;
  return aReport.m_isDraining ? Change::Leaving : Change::Arrived;
}

void
WorkerPresence::AddPast(PastIncarnation aPast)
{
  m_pastIncarnations.push_back(std::move(aPast));
  if (m_pastIncarnations.size() > kMaxPastIncarnations) {
    m_pastIncarnations.pop_front();
  }
}

WorkerPresence::Change
WorkerPresence::OnReport(TimePoint aNow, const WorkerReport& aReport)
{
  if (m_reportsStartTime && !aReport.m_incarnation.m_startedAt) {
    return Change::None;
  }
  m_reportsStartTime = aReport.m_incarnation.m_startedAt.has_value();
  if (HasLeftBefore(aReport.m_incarnation)) {
    return Change::None;
  }
  if (m_current && MayBeSame(m_current->m_incarnation, aReport.m_incarnation)) {
    return UpdateCurrent(aNow, aReport);
  }
  const bool isAccepted =
    IsSuccessor(aNow, aReport) || IsConfirmed(aNow, aReport);
  return isAccepted ? Replace(aNow, aReport) : Change::None;
}

WorkerPresence::Change
WorkerPresence::OnPrevious(PreviousWorker aWorker)
{
  const auto known =
    std::ranges::find_if(m_previousWorkers, [&](const auto& aEach) {
      return aEach.m_idTag == aWorker.m_idTag &&
             aEach.m_incarnation == aWorker.m_incarnation;
    });
  if (known != m_previousWorkers.end()) {
    known->m_isLeaving = known->m_isLeaving || aWorker.m_isLeaving;
  } else if (m_previousWorkers.size() < kMaxPreviousWorkers) {
    m_previousWorkers.push_back(std::move(aWorker));
  }
  const bool hasLeft = m_current && HasLeftBefore(m_current->m_incarnation);
  return hasLeft ? OnLeaving() : Change::None;
}

WorkerPresence::Change
WorkerPresence::OnProbed(TimePoint aNow,
                         const std::string& aId,
                         std::string aService)
{
  if (m_current) {
    return aId == m_current->m_incarnation.m_id ? Change::None : OnReplaced();
  }
  const auto hasId = [tag = IdTagOf(aId)](const PreviousWorker& aEach) {
    return aEach.m_idTag == tag;
  };
  const auto previous = std::ranges::find_if(m_previousWorkers, hasId);
  const bool hasLeft =
    std::ranges::any_of(m_previousWorkers, [&](const PreviousWorker& aEach) {
      return hasId(aEach) && aEach.m_isLeaving;
    });
  const WorkerIncarnation incarnation{ aId, std::nullopt };
  if (previous == m_previousWorkers.end() || hasLeft ||
      FindPast(aNow, incarnation) != nullptr) {
    return Change::None;
  }
  // The sequence number is lower than in any heartbeat.
  return Replace(aNow,
                 { .m_incarnation = incarnation,
                   .m_service = std::move(aService),
                   .m_version = previous->m_version,
                   .m_slots = previous->m_slots });
}

WorkerPresence::Change
WorkerPresence::OnReplaced()
{
  if (!TakesCalls()) {
    return Change::None;
  }
  m_isReplaced = true;
  return Change::Replaced;
}

WorkerPresence::Change
WorkerPresence::OnLeaving()
{
  if (!m_current) {
    return Change::None;
  }
  m_hasLeft = true;
  if (std::exchange(m_current->m_isDraining, true)) {
    return Change::None;
  }
  return Change::Leaving;
}

WorkerPresence::Change
WorkerPresence::OnDeregistered(TimePoint aNow,
                               const WorkerIncarnation& aIncarnation)
{
  if (!m_current || !MayBeSame(m_current->m_incarnation, aIncarnation)) {
    AddPast({ aIncarnation, 0, aNow });
    return Change::None;
  }
  return OnLeaving();
}

}
