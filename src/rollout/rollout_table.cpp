#include "greengagehub/rollout/rollout_table.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace greengagehub {

namespace {

constexpr std::uint64_t kAll = 1000;

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
    case RollbackCause::Forgotten:
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
RolloutTable::Sum()
{
  m_summary = 0;
  for (const auto& [service, entry] : m_entries) {
    const RolloutRecord& record = entry.m_record;
    m_summary ^= ShortHashOf(fmt::format("{}/{}/{}/{}/{}",
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
  const bool isOther = old.m_order.m_target != aRecord.m_order.m_target;
  if (isOther && !old.m_order.m_target.empty()) {
    aEntry.m_former.push_back(old.m_order.m_target);
    if (aEntry.m_former.size() > kMaxFormer) {
      aEntry.m_former.pop_front();
    }
  }
  if (isOther) {
    aEntry.m_ordered = aNow - aRecord.m_age;
    aEntry.m_finalSince.reset();
  } else {
    // Whoever saw the order first knows its age best.
    aEntry.m_ordered = std::min(aEntry.m_ordered, aNow - aRecord.m_age);
    aRecord.m_base = aRecord.m_base.empty() ? old.m_base : aRecord.m_base;
  }
  const bool becomesFinal =
    IsFinal(aRecord.m_state) && (isOther || !IsFinal(old.m_state));
  if (becomesFinal && !old.m_isResumed) {
    aEntry.m_finalSince = aNow;
  }
  aEntry.m_leaveUntil = aNow + aRecord.m_leave.m_left;
  aEntry.m_record = std::move(aRecord);
  Sum();
}

RolloutTable::Change
RolloutTable::OnOrder(TimePoint aNow,
                      const RolloutOrder& aOrder,
                      const std::string& aInService,
                      bool aIsUnderWay)
{
  Entry& entry = m_entries[aOrder.m_service];
  const RolloutRecord& known = entry.m_record;
  const bool wasSeen =
    known.m_order.m_target == aOrder.m_target ||
    std::ranges::find(entry.m_former, aOrder.m_target) != entry.m_former.end();
  if (wasSeen) {
    return Change::None;
  }
  RolloutRecord record;
  record.m_order = aOrder;
  record.m_generation = known.m_generation + 1;
  record.m_isResumed = aIsUnderWay;
  if (known.m_generation > 0) {
    const bool moved = known.m_state >= RolloutState::Completing &&
                       known.m_state != RolloutState::RolledBack;
    record.m_base = moved ? known.m_order.m_target : known.m_base;
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
  record.m_age = aNow - entry->m_ordered;
  return Take(aNow, record);
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
RolloutTable::Take(TimePoint aNow, const RolloutRecord& aRecord)
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
  return sameState ? Change::Leave : Change::State;
}

bool
RolloutTable::DrawsTrial(TimePoint aNow,
                         const std::string& aService,
                         Random& aRandom) const
{
  const Entry* entry = m_entries.empty() ? nullptr : FindEntry(aService);
  if (entry == nullptr || entry->m_record.m_state != RolloutState::Running ||
      entry->m_leaveUntil <= aNow) {
    return false;
  }
  return Below(aRandom, kAll) < entry->m_record.m_leave.m_permille;
}

VersionRule
RolloutTable::InService(TimePoint aNow, const Entry& aEntry)
{
  const RolloutRecord& record = aEntry.m_record;
  const bool moved = record.m_state == RolloutState::Completing ||
                     record.m_state == RolloutState::Completed;
  const bool othersGone =
    IsFinal(record.m_state) &&
    (!aEntry.m_finalSince || aNow - *aEntry.m_finalSince >= kOthersGone);
  if (moved || !record.m_base.empty()) {
    const std::string& version =
      moved ? record.m_order.m_target : record.m_base;
    return { VersionRule::Kind::Only, version, 0, 0, othersGone };
  }
  return {
    VersionRule::Kind::AllBut, record.m_order.m_target, 0, 0, othersGone
  };
}

VersionRules
RolloutTable::RulesFor(TimePoint aNow,
                       const std::string& aService,
                       bool aTrial) const
{
  VersionRules rules;
  const Entry* entry = m_entries.empty() ? nullptr : FindEntry(aService);
  if (entry == nullptr) {
    return rules;
  }
  const RolloutRecord& record = entry->m_record;
  const bool isForAll = record.m_leave.m_permille >= kAll;
  const bool mayTry = (aTrial || isForAll) &&
                      record.m_state == RolloutState::Running &&
                      entry->m_leaveUntil > aNow;
  if (mayTry) {
    rules.Add({ VersionRule::Kind::Only,
                record.m_order.m_target,
                record.m_leave.m_workers,
                record.m_leave.m_first,
                false });
  }
  rules.Add(InService(aNow, *entry));
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
    // What was in service is stopped from outside; until then it may run what
    // daemons send that have not heard yet.
    return true;
  }
  switch (record.m_state) {
    case RolloutState::Running:
      return entry->m_leaveUntil > aNow && record.m_leave.m_permille > 0;
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
  record.m_age = aNow - entry->m_ordered;
  record.m_leave.m_left =
    std::max(Duration::zero(), entry->m_leaveUntil - aNow);
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
RolloutTable::DropLeaves()
{
  for (auto& [service, entry] : m_entries) {
    entry.m_leaveUntil = TimePoint{};
  }
}

}
