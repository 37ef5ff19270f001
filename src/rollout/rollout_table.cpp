#include "greengagehub/rollout/rollout_table.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace greengagehub {

namespace {

constexpr std::uint64_t kAllPermille = 1000;

}

std::string_view
NameOf(RolloutState aState) noexcept
{
  switch (aState) {
    case RolloutState::Running:
      return "running";
    case RolloutState::Completing:
      return "completing";
    case RolloutState::RolledBack:
      return "rolled_back";
    case RolloutState::Completed:
      return "completed";
  }
  return "running";
}

std::string_view
NameOf(RollbackCause aCause) noexcept
{
  switch (aCause) {
    case RollbackCause::None:
      return "none";
    case RollbackCause::Failures:
      return "failures";
    case RollbackCause::LostAnswers:
      return "lost-answers";
    case RollbackCause::Slowness:
      return "slowness";
    case RollbackCause::TooFewRuns:
      return "too-few-runs";
    case RollbackCause::StateLost:
      return "forgotten";
    case RollbackCause::Operator:
      return "operator";
    case RollbackCause::Replaced:
      return "replaced";
  }
  return "none";
}

const RolloutTable::Entry*
RolloutTable::FindEntry(const std::string& aService) const
{
  const auto found = m_entries.find(aService);
  return found == m_entries.end() ? nullptr : &found->second;
}

void
RolloutTable::UpdateSummary()
{
  m_summary = 0;
  for (const auto& [service, entry] : m_entries) {
    const RolloutRecord& record = entry.m_record;
    m_summary ^= ShortHash(fmt::format("{}/{}/{}/{}/{}",
                                       service,
                                       record.m_generation,
                                       record.m_order.m_target,
                                       NameOf(record.m_state),
                                       record.m_isWritten));
  }
}

void
RolloutTable::Replace(TimePoint aNow, Entry& aEntry, RolloutRecord aRecord)
{
  const RolloutRecord& old = aEntry.m_record;
  const bool isNewTarget = old.m_order.m_target != aRecord.m_order.m_target;
  if (isNewTarget && !old.m_order.m_target.empty()) {
    aEntry.m_earlierTargets.push_back(old.m_order.m_target);
    if (aEntry.m_earlierTargets.size() > kMaxEarlierTargets) {
      aEntry.m_earlierTargets.pop_front();
    }
  }
  if (isNewTarget) {
    aEntry.m_orderedAt = aNow - aRecord.m_age;
    aEntry.m_finalSince.reset();
  } else {
    // The highest age is that of the daemon that saw the order first.
    aEntry.m_orderedAt = std::min(aEntry.m_orderedAt, aNow - aRecord.m_age);
    aRecord.m_base = aRecord.m_base.empty() ? old.m_base : aRecord.m_base;
  }
  const bool becomesFinal =
    IsFinal(aRecord.m_state) && (isNewTarget || !IsFinal(old.m_state));
  if (becomesFinal && !old.m_isFromStore) {
    aEntry.m_finalSince = aNow;
  }
  aEntry.m_permitUntil = aNow + aRecord.m_permit.m_remainingTime;
  aEntry.m_record = std::move(aRecord);
  UpdateSummary();
}

RolloutTable::Change
RolloutTable::OnOrder(TimePoint aNow,
                      const RolloutOrder& aOrder,
                      const std::string& aInService,
                      bool aIsRunning)
{
  Entry& entry = m_entries[aOrder.m_service];
  const RolloutRecord& known = entry.m_record;
  const bool isKnown =
    known.m_order.m_target == aOrder.m_target ||
    std::ranges::find(entry.m_earlierTargets, aOrder.m_target) !=
      entry.m_earlierTargets.end();
  if (isKnown) {
    return Change::None;
  }
  RolloutRecord record;
  record.m_order = aOrder;
  record.m_generation = known.m_generation + 1;
  record.m_isFromStore = aIsRunning;
  if (known.m_generation > 0) {
    const bool hasMoved = known.m_state >= RolloutState::Completing &&
                          known.m_state != RolloutState::RolledBack;
    record.m_base = hasMoved ? known.m_order.m_target : known.m_base;
  }
  if (record.m_base.empty() && aInService != aOrder.m_target) {
    record.m_base = aInService;
  }
  Replace(aNow, entry, std::move(record));
  return Change::State;
}

RolloutTable::Change
RolloutTable::OnStatus(TimePoint aNow,
                       const std::string& aService,
                       const std::string& aTarget,
                       RolloutState aState)
{
  const Entry* entry = FindEntry(aService);
  if (entry == nullptr || entry->m_record.m_order.m_target != aTarget ||
      !IsFinal(aState)) {
    return Change::None;
  }
  RolloutRecord record = entry->m_record;
  record.m_state = aState;
  record.m_isWritten = true;
  record.m_age = aNow - entry->m_orderedAt;
  return ApplyRecord(aNow, record);
}

bool
RolloutTable::Overrides(const RolloutRecord& aNew,
                        const RolloutRecord& aOld) noexcept
{
  if (aNew.m_generation != aOld.m_generation) {
    return aNew.m_generation > aOld.m_generation;
  }
  if (aNew.m_order.m_target != aOld.m_order.m_target) {
    return aNew.m_order.m_target > aOld.m_order.m_target;
  }
  if (aNew.m_isWritten != aOld.m_isWritten) {
    return aNew.m_isWritten;
  }
  if (aOld.m_isWritten) {
    return false;
  }
  if (aNew.m_state != aOld.m_state) {
    return aNew.m_state > aOld.m_state;
  }
  return aNew.m_step > aOld.m_step;
}

RolloutTable::Change
RolloutTable::ApplyRecord(TimePoint aNow, const RolloutRecord& aRecord)
{
  Entry& entry = m_entries[aRecord.m_order.m_service];
  const RolloutRecord& known = entry.m_record;
  if (!Overrides(aRecord, known)) {
    return Change::None;
  }
  const bool sameState = known.m_generation == aRecord.m_generation &&
                         known.m_order.m_target == aRecord.m_order.m_target &&
                         known.m_state == aRecord.m_state &&
                         known.m_isWritten == aRecord.m_isWritten;
  Replace(aNow, entry, aRecord);
  return sameState ? Change::Permit : Change::State;
}

bool
RolloutTable::DrawsCanary(TimePoint aNow,
                          const std::string& aService,
                          Random& aRandom) const
{
  const Entry* entry = m_entries.empty() ? nullptr : FindEntry(aService);
  if (entry == nullptr || entry->m_record.m_state != RolloutState::Running ||
      entry->m_permitUntil <= aNow) {
    return false;
  }
  return Below(aRandom, kAllPermille) < entry->m_record.m_permit.m_permille;
}

VersionRule
RolloutTable::InServiceRule(TimePoint aNow, const Entry& aEntry)
{
  const RolloutRecord& record = aEntry.m_record;
  const bool hasMoved = record.m_state == RolloutState::Completing ||
                        record.m_state == RolloutState::Completed;
  const bool areOldWorkersGone =
    IsFinal(record.m_state) &&
    (!aEntry.m_finalSince ||
     aNow - *aEntry.m_finalSince >= kOldWorkersStoppedAfter);
  if (hasMoved || !record.m_base.empty()) {
    const std::string& version =
      hasMoved ? record.m_order.m_target : record.m_base;
    return { VersionRule::Kind::Only, version, 0, 0, areOldWorkersGone };
  }
  return {
    VersionRule::Kind::AllBut, record.m_order.m_target, 0, 0, areOldWorkersGone
  };
}

VersionRules
RolloutTable::RulesFor(TimePoint aNow,
                       const std::string& aService,
                       bool aIsCanary) const
{
  VersionRules rules;
  const Entry* entry = m_entries.empty() ? nullptr : FindEntry(aService);
  if (entry == nullptr) {
    return rules;
  }
  const RolloutRecord& record = entry->m_record;
  const bool hasAllCalls = record.m_permit.m_permille >= kAllPermille;
  const bool isCanaryAllowed = (aIsCanary || hasAllCalls) &&
                               record.m_state == RolloutState::Running &&
                               entry->m_permitUntil > aNow;
  if (isCanaryAllowed) {
    rules.Add({ VersionRule::Kind::Only,
                record.m_order.m_target,
                record.m_permit.m_workers,
                record.m_permit.m_first,
                false });
  }
  rules.Add(InServiceRule(aNow, *entry));
  return rules;
}

bool
RolloutTable::MayRun(TimePoint aNow,
                     const std::string& aService,
                     std::string_view aVersion) const
{
  const Entry* entry = m_entries.empty() ? nullptr : FindEntry(aService);
  if (entry == nullptr || aVersion.empty()) {
    return true;
  }
  const RolloutRecord& record = entry->m_record;
  if (aVersion != record.m_order.m_target) {
    // Daemons with an outdated table may still send calls to other versions.
    return true;
  }
  switch (record.m_state) {
    case RolloutState::Running:
      return entry->m_permitUntil > aNow && record.m_permit.m_permille > 0;
    case RolloutState::RolledBack:
      return false;
    default:
      return true;
  }
}

std::optional<RolloutRecord>
RolloutTable::Find(TimePoint aNow, const std::string& aService) const
{
  const Entry* entry = FindEntry(aService);
  if (entry == nullptr || entry->m_record.m_generation == 0) {
    return std::nullopt;
  }
  RolloutRecord record = entry->m_record;
  record.m_age = aNow - entry->m_orderedAt;
  record.m_permit.m_remainingTime =
    std::max(Duration::zero(), entry->m_permitUntil - aNow);
  return record;
}

std::vector<RolloutRecord>
RolloutTable::All(TimePoint aNow) const
{
  std::vector<RolloutRecord> all;
  for (const auto& [service, entry] : m_entries) {
    if (auto record = Find(aNow, service)) {
      all.push_back(std::move(*record));
    }
  }
  return all;
}

std::size_t
RolloutTable::CountOpen() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_entries, [](const auto& aEach) {
      return !IsFinal(aEach.second.m_record.m_state);
    }));
}

void
RolloutTable::RevokePermits()
{
  for (auto& [service, entry] : m_entries) {
    entry.m_permitUntil = TimePoint{};
  }
}

}
