#include "greengagehub/calls/worker_table.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace greengagehub {

namespace {

/// The weight of a reported load falls linearly to zero over this time.
constexpr auto kReportLifetime = std::chrono::milliseconds{ 500 };
constexpr double kOutcomeWeight = 0.125;
/// Load per slot added to the score of a worker that fails every call.
constexpr double kFailurePenalty = 4.0;
constexpr double kRefusalPenalty = 4.0;
/// Share of failures, above the lowest of the service, that ejects a worker.
constexpr double kEjectionThreshold = 0.55;
constexpr std::size_t kMaxKindsPerWorker = 16;
/// Divisor of a new sample in the moving average of the transit time.
constexpr int kTransitTimeDivisor = 8;
constexpr auto kFirstEjectionTime = std::chrono::milliseconds{ 1000 };
constexpr std::uint32_t kMaxEjectionDoublings = 5;

}

double
LoadScore(const WorkerRow& aRow, TimePoint aNow) noexcept
{
  const double age =
    std::chrono::duration<double>(aNow - aRow.m_reportedAt) / kReportLifetime;
  const double freshness = std::clamp(1.0 - age, 0.0, 1.0);
  const double reported = freshness * aRow.m_reportedLoad;
  const double own = aRow.m_inFlight;
  const double slots = std::max(1U, aRow.m_slots);
  return std::max(own, reported) / slots +
         aRow.m_failureShare * kFailurePenalty +
         aRow.m_refusalShare * kRefusalPenalty;
}

std::size_t
RandomChoice::Choose(const std::vector<const WorkerRow*>& aRows,
                     const RoutingContext& /*aContext*/,
                     Random& aRandom) const
{
  return Below(aRandom, aRows.size());
}

std::size_t
TwoChoices::Choose(const std::vector<const WorkerRow*>& aRows,
                   const RoutingContext& aContext,
                   Random& aRandom) const
{
  const std::size_t first = Below(aRandom, aRows.size());
  if (aRows.size() == 1) {
    return first;
  }
  std::size_t second = Below(aRandom, aRows.size() - 1);
  second += second >= first ? 1 : 0;
  const bool firstBetter = LoadScore(*aRows[first], aContext.m_now) <=
                           LoadScore(*aRows[second], aContext.m_now);
  return firstBetter ? first : second;
}

std::size_t
ShortestQueue::Choose(const std::vector<const WorkerRow*>& aRows,
                      const RoutingContext& aContext,
                      Random& aRandom) const
{
  std::size_t best = Below(aRandom, aRows.size());
  for (std::size_t i = 0; i < aRows.size(); ++i) {
    if (LoadScore(*aRows[i], aContext.m_now) <
        LoadScore(*aRows[best], aContext.m_now)) {
      best = i;
    }
  }
  return best;
}

void
JoinWithTagging::Drain(VirtualQueue& aQueue,
                       double aSlots,
                       TimePoint aNow) const
{
  // A time slot of the paper corresponds to the mean service time of a call.
  constexpr double kTradeOff = 100.0;
  constexpr double kAlpha = 100.0;
  constexpr std::chrono::duration<double> kSlotTime{ 0.01 };
  const double slots =
    std::chrono::duration<double>(aNow - aQueue.m_updated) / kSlotTime;
  const double rate =
    aSlots * std::pow(aQueue.m_length * aSlots / kTradeOff, 1.0 / kAlpha);
  aQueue.m_length = std::max(0.0, aQueue.m_length - rate * slots);
  aQueue.m_updated = aNow;
}

std::size_t
JoinWithTagging::Choose(const std::vector<const WorkerRow*>& aRows,
                        const RoutingContext& aContext,
                        Random& aRandom)
{
  std::size_t best = 0;
  double least = std::numeric_limits<double>::infinity();
  double bestQueue = 0;
  const std::size_t offset = Below(aRandom, aRows.size());
  for (std::size_t i = 0; i < aRows.size(); ++i) {
    const std::size_t at = (i + offset) % aRows.size();
    const WorkerRow& row = *aRows[at];
    VirtualQueue& tagged = m_virtual[row.m_slot];
    Drain(tagged, row.m_slots, aContext.m_now);
    const double queue = LoadScore(row, aContext.m_now) * row.m_slots;
    const double key = std::min(queue, tagged.m_length);
    if (key < least) {
      least = key;
      best = at;
      bestQueue = queue;
    }
  }
  VirtualQueue& chosen = m_virtual[aRows[best]->m_slot];
  if (bestQueue > chosen.m_length) {
    chosen.m_length += 1.0;
  }
  return best;
}

std::optional<WorkerTable::Index>
WorkerTable::Find(const std::string& aSlot) const
{
  const auto found = m_bySlot.find(aSlot);
  if (found == m_bySlot.end()) {
    return std::nullopt;
  }
  return found->second;
}

bool
WorkerTable::HasAvailableWorker(const std::string& aService) const
{
  const auto group = m_byService.find(aService);
  return group != m_byService.end() &&
         std::any_of(
           group->second.begin(), group->second.end(), [this](Index aIndex) {
             return !m_rows.At(aIndex).m_isUnavailable;
           });
}

void
WorkerTable::UpdateIncarnation(WorkerRow& aRow, IncarnationTag aIncarnation)
{
  const bool isNewIncarnation =
    aRow.m_incarnation != 0 && aRow.m_incarnation != aIncarnation;
  aRow.m_incarnation = aIncarnation;
  if (!isNewIncarnation) {
    return;
  }
  aRow.m_reportedLoad = 0;
  aRow.m_reportedAt = TimePoint{};
  aRow.m_kindStats.clear();
  aRow.m_failureShare = 0.0;
  aRow.m_refusalShare = 0.0;
  aRow.m_ejectedUntil = TimePoint{};
  aRow.m_ejections = 0;
  aRow.m_limitedUntil = TimePoint{};
  aRow.m_limitBackoff = std::chrono::milliseconds{ 0 };
}

void
WorkerTable::Put(WorkerRow aRow)
{
  if (const auto known = Find(aRow.m_slot)) {
    WorkerRow& row = m_rows.At(*known);
    if (row.m_service == aRow.m_service) {
      row.m_domain = std::move(aRow.m_domain);
      row.m_slots = aRow.m_slots;
      row.m_isUnavailable = aRow.m_isUnavailable;
      if (row.m_version != aRow.m_version) {
        row.m_version = std::move(aRow.m_version);
        UpdateMainVersion(row.m_service);
      }
      if (aRow.m_incarnation != 0) {
        UpdateIncarnation(row, aRow.m_incarnation);
      }
      row.m_isUnavailable = row.m_isUnavailable ||
                            m_signals.IsLeaving(row.m_slot, row.m_incarnation);
      return;
    }
    Remove(aRow.m_slot);
  }
  const std::string slot = aRow.m_slot;
  const std::string service = aRow.m_service;
  aRow.m_slotHash = ShortHash(slot);
  aRow.m_isUnavailable =
    aRow.m_isUnavailable || m_signals.IsLeaving(slot, aRow.m_incarnation);
  const Index index = m_rows.Insert(std::move(aRow));
  m_bySlot.emplace(slot, index);
  m_byService[service].push_back(index);
  UpdateMainVersion(service);
}

void
WorkerTable::Remove(const std::string& aSlot)
{
  const auto known = Find(aSlot);
  if (!known) {
    return;
  }
  const std::string service = m_rows.At(*known).m_service;
  const auto group = m_byService.find(service);
  std::erase(group->second, *known);
  if (group->second.empty()) {
    m_byService.erase(group);
  }
  m_bySlot.erase(aSlot);
  m_rows.Erase(*known);
  UpdateMainVersion(service);
}

std::string
WorkerTable::MainVersion(const std::string& aService) const
{
  const auto group = m_byService.find(aService);
  if (group == m_byService.end()) {
    return {};
  }
  // In order of first appearance, which breaks ties.
  std::vector<std::pair<std::string_view, std::size_t>> counts;
  for (const Index index : group->second) {
    const std::string& version = m_rows.At(index).m_version;
    const auto known = std::ranges::find(
      counts, version, [](const auto& aEach) { return aEach.first; });
    if (known != counts.end()) {
      ++known->second;
    } else if (!version.empty()) {
      counts.emplace_back(version, 1);
    }
  }
  const auto most = std::ranges::max_element(
    counts, {}, [](const auto& aEach) { return aEach.second; });
  return most == counts.end() ? std::string{} : std::string{ most->first };
}

void
WorkerTable::UpdateMainVersion(const std::string& aService)
{
  m_mainVersions.erase(aService);
  const auto group = m_byService.find(aService);
  if (group == m_byService.end()) {
    return;
  }
  const std::string_view first = m_rows.At(group->second.front()).m_version;
  const bool isUniform = std::ranges::all_of(group->second, [&](Index aIndex) {
    return m_rows.At(aIndex).m_version == first;
  });
  if (!isUniform) {
    m_mainVersions.emplace(aService, MainVersion(aService));
  }
}

void
WorkerTable::KeepAllowed(std::vector<Index>& aGroup,
                         const VersionRule& aRule) const
{
  std::erase_if(aGroup, [&](Index aIndex) {
    return !aRule.Allows(m_rows.At(aIndex).m_version);
  });
  if (aRule.m_workers == 0 || aGroup.size() <= aRule.m_workers) {
    return;
  }
  std::ranges::sort(
    aGroup, {}, [this](Index aIndex) { return m_rows.At(aIndex).m_slotHash; });
  const auto first =
    aGroup.begin() + static_cast<std::ptrdiff_t>(aRule.m_first % aGroup.size());
  std::rotate(aGroup.begin(), first, aGroup.end());
  aGroup.resize(aRule.m_workers);
}

void
WorkerTable::MarkUnavailable(const std::string& aSlot)
{
  if (const auto known = Find(aSlot)) {
    m_rows.At(*known).m_isUnavailable = true;
  }
}

std::vector<WorkerTable::Index>
WorkerTable::AvailableWorkers(const std::string& aService,
                              const std::vector<std::string>& aExclude,
                              TimePoint aNow,
                              const VersionRule* aRule) const
{
  std::vector<Index> available;
  std::vector<Index> ejected;
  std::size_t limited = 0;
  const auto group = m_byService.find(aService);
  if (group == m_byService.end()) {
    return available;
  }
  std::vector<Index> allowed;
  allowed.reserve(group->second.size());
  std::ranges::copy_if(
    group->second, std::back_inserter(allowed), [this](Index aIndex) {
      return !m_rows.At(aIndex).m_isUnavailable;
    });
  const auto mainVersion = m_mainVersions.find(aService);
  if (aRule != nullptr) {
    KeepAllowed(allowed, *aRule);
  } else if (mainVersion != m_mainVersions.end() &&
             !mainVersion->second.empty()) {
    // Without a roll-out a new version gets no calls.
    KeepAllowed(allowed,
                { VersionRule::Kind::Only, mainVersion->second, 0, 0, true });
  }
  for (const Index index : allowed) {
    const WorkerRow& row = m_rows.At(index);
    const bool isExcluded =
      std::find(aExclude.begin(), aExclude.end(), row.m_slot) != aExclude.end();
    if (isExcluded) {
      continue;
    }
    if (row.m_limitedUntil > aNow) {
      ++limited;
      continue;
    }
    (row.m_ejectedUntil > aNow ? ejected : available).push_back(index);
  }
  // At most half of the workers are ejected: if most fail, the cause is
  // probably shared, and the remaining ones would be overloaded.
  if (available.size() + limited < ejected.size()) {
    available.insert(available.end(), ejected.begin(), ejected.end());
  }
  return available;
}

void
WorkerTable::RecordSent(Index aIndex)
{
  ++m_rows.At(aIndex).m_inFlight;
}

void
WorkerTable::RecordTransit(
  TimePoint aNow,
  const std::string& aSlot,
  Duration aTook,
  std::optional<std::chrono::microseconds> aTimeAtWorker)
{
  const auto known = Find(aSlot);
  if (!known || !aTimeAtWorker) {
    return;
  }
  WorkerRow& row = m_rows.At(*known);
  const Duration transit = std::max<Duration>(aTook - *aTimeAtWorker, {});
  row.m_transitTime += (transit - row.m_transitTime) / kTransitTimeDivisor;
  row.m_transitAt = aNow;
}

void
WorkerTable::RecordStats(WorkerRow& aRow,
                         TimePoint aNow,
                         const LoadReport& aReport)
{
  if (aReport.m_slots == 0) {
    return;
  }
  const WorkerRow::KindStats stats{
    aReport.m_kind, aReport.m_serviceTime, aReport.m_wait, aNow
  };
  const auto known = std::find_if(
    aRow.m_kindStats.begin(), aRow.m_kindStats.end(), [&](const auto& aEach) {
      return aEach.m_kind == aReport.m_kind;
    });
  if (known != aRow.m_kindStats.end()) {
    *known = stats;
    return;
  }
  if (aRow.m_kindStats.size() < kMaxKindsPerWorker) {
    aRow.m_kindStats.push_back(stats);
    return;
  }
  const auto oldest =
    std::min_element(aRow.m_kindStats.begin(),
                     aRow.m_kindStats.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.m_at < aRight.m_at;
                     });
  *oldest = stats;
}

double
WorkerTable::MeanFailureShare(const std::string& aService) const
{
  const auto group = m_byService.find(aService);
  if (group == m_byService.end()) {
    return 0.0;
  }
  double sum = 0.0;
  int known = 0;
  for (const Index index : group->second) {
    const WorkerRow& row = m_rows.At(index);
    if (row.m_reportedAt != TimePoint{}) {
      sum += row.m_failureShare;
      ++known;
    }
  }
  return known > 0 ? sum / known : 0.0;
}

double
WorkerTable::LowestFailureShare(const std::string& aService) const
{
  const auto group = m_byService.find(aService);
  if (group == m_byService.end() || group->second.size() < 2) {
    return 0.0;
  }
  double least = 1.0;
  for (const Index index : group->second) {
    least = std::min(least, m_rows.At(index).m_failureShare);
  }
  return least;
}

void
WorkerTable::RecordResult(const std::string& aSlot,
                          TimePoint aNow,
                          Verdict aVerdict,
                          const std::optional<LoadReport>& aReport,
                          Random& aRandom)
{
  const auto known = Find(aSlot);
  if (!known) {
    return;
  }
  WorkerRow& row = m_rows.At(*known);
  row.m_inFlight -= row.m_inFlight > 0 ? 1 : 0;
  if (aReport) {
    row.m_reportedLoad = aReport->m_load;
    row.m_reportedAt = aNow;
    row.m_slots = aReport->m_slots > 0 ? aReport->m_slots : row.m_slots;
    RecordStats(row, aNow, *aReport);
  }
  if (aVerdict == Verdict::None) {
    return;
  }
  const bool failed = aVerdict == Verdict::Failed;
  const bool refused = aVerdict == Verdict::Refused;
  row.m_failureShare +=
    kOutcomeWeight * ((failed ? 1.0 : 0.0) - row.m_failureShare);
  row.m_refusalShare +=
    kOutcomeWeight * ((refused ? 1.0 : 0.0) - row.m_refusalShare);
  if (!failed) {
    row.m_ejections = row.m_failureShare < kOutcomeWeight ? 0 : row.m_ejections;
    return;
  }
  // Failures common to all workers have no local cause.
  const double excessFailures =
    row.m_failureShare - LowestFailureShare(row.m_service);
  if (m_decisions.m_ejects && excessFailures > kEjectionThreshold &&
      row.m_ejectedUntil <= aNow) {
    const auto ejectionTime = kFirstEjectionTime * (1U << row.m_ejections);
    row.m_ejectedUntil = aNow + Jittered(aRandom, ejectionTime);
    row.m_ejections = std::min(row.m_ejections + 1, kMaxEjectionDoublings);
    // Only further failures eject the worker again.
    row.m_failureShare = kEjectionThreshold / 2;
  }
}

}
