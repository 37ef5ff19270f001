#include "greengagehub/workspaces/coordinator_roles.hpp"

#include <algorithm>
#include <utility>

namespace greengagehub {

namespace {

using Step = CoordinatorRole::Step;
using Status = StoreReply::Status;

/// \returns The key as it was when the check failed.
StoreReply
FindKey(const StoreReply& aReply, const std::string& aKey)
{
  const auto found =
    std::find_if(aReply.m_items.begin(),
                 aReply.m_items.end(),
                 [&](const StoreItem& aEach) { return aEach.m_key == aKey; });
  if (found == aReply.m_items.end()) {
    return { .m_status = Status::NotFound };
  }
  return { .m_status = Status::Ok,
           .m_revision = found->m_revision,
           .m_value = found->m_value };
}

}

CoordinatorRoles::CoordinatorRoles(const std::string& aSlot,
                                   std::uint64_t aProcess,
                                   std::uint64_t aSeed,
                                   std::uint32_t aShards)
  : m_condition(aShards)
  , m_startedSequences(aShards)
{
  for (std::uint32_t i = 0; i < aShards; ++i) {
    m_roles.emplace_back(aSlot, aProcess, aSeed + i, QuotaShard{ i, aShards });
  }
}

CoordinatorRoles::Action
CoordinatorRoles::MakeAction(Action::Kind aKind, std::uint32_t aShard) const
{
  const CoordinatorRole& role = m_roles.at(aShard);
  switch (aKind) {
    case Action::Kind::Claim: {
      StoreRequest claim = MakePut(
        CoordinatorKey(aShard), role.KeyValue(), role.ExpectedRevision());
      if (aShard > 0) {
        claim.m_alsoExpected = { { CoordinatorKey(0),
                                   m_condition.ExpectedRevision() } };
      }
      return { aKind, aShard, std::move(claim) };
    }
    case Action::Kind::Release:
      return { aKind,
               aShard,
               MakePut(CoordinatorKey(aShard),
                       role.ReleaseValue(),
                       role.ExpectedRevision()) };
    case Action::Kind::Read:
    case Action::Kind::ReadCondition:
      break;
  }
  return { aKind, aShard, MakeGet(CoordinatorKey(aShard)) };
}

void
CoordinatorRoles::RequireCondition(TimePoint aNow,
                                   std::uint32_t aShard,
                                   std::vector<Action>& aActions)
{
  m_roles.at(aShard).OnUndecided(aNow);
  if (m_isConditionPending || aNow < m_nextConditionRead) {
    return;
  }
  m_isConditionPending = true;
  m_nextConditionRead = aNow + kConditionInterval;
  aActions.push_back(MakeAction(Action::Kind::ReadCondition, 0));
}

std::vector<CoordinatorRoles::Action>
CoordinatorRoles::OnTick(TimePoint aNow,
                         const std::vector<Candidacy>& aCandidacy)
{
  std::vector<Action> actions;
  for (std::uint32_t i = 0; i < Count(); ++i) {
    const auto [isCandidate, isSilent] = aCandidacy.at(i);
    const Step step = m_roles.at(i).OnTick(aNow, isCandidate, isSilent);
    const bool needsCondition = step == Step::Claim || step == Step::Confirm;
    if (i > 0 && needsCondition && !m_condition.IsStated()) {
      RequireCondition(aNow, i, actions);
    } else if (step == Step::Read) {
      actions.push_back(MakeAction(Action::Kind::Read, i));
    } else if (step == Step::Claim) {
      actions.push_back(MakeAction(Action::Kind::Claim, i));
    } else if (step == Step::Confirm) {
      m_roles.at(i).OnUndecided(aNow);
      m_isCheckDue = true;
    }
  }
  return actions;
}

CoordinatorRoles::Check
CoordinatorRoles::NextCheck(TimePoint aNow)
{
  Check check{ .m_sentAt = aNow };
  if (!std::exchange(m_isCheckDue, false)) {
    return check;
  }
  for (std::uint32_t i = 0; i < Count(); ++i) {
    const bool isConfirmable = i == 0 || m_condition.IsStated();
    if (isConfirmable && m_roles.at(i).JoinConfirm(aNow)) {
      check.m_keys.push_back(
        { CoordinatorKey(i), m_roles.at(i).ExpectedRevision() });
      check.m_shards.push_back(i);
    }
  }
  check.m_coversCondition =
    !check.m_shards.empty() && check.m_shards.back() > 0;
  if (check.m_coversCondition && check.m_shards.front() > 0) {
    check.m_keys.push_back(
      { CoordinatorKey(0), m_condition.ExpectedRevision() });
  }
  return check;
}

void
CoordinatorRoles::OnRead(TimePoint aNow,
                         std::uint32_t aShard,
                         const StoreReply& aReply)
{
  m_roles.at(aShard).OnRead(aNow, aReply);
}

std::vector<CoordinatorRoles::Action>
CoordinatorRoles::OnConditionRead(TimePoint aNow, const StoreReply& aReply)
{
  m_isConditionPending = false;
  std::vector<Action> actions;
  if (aReply.m_status != Status::Ok && aReply.m_status != Status::NotFound) {
    return actions;
  }
  m_condition.OnRead(aNow, aReply);
  for (std::uint32_t i = 1; i < Count() && !m_condition.IsStated(); ++i) {
    if (!m_roles.at(i).HoldsKey()) {
      continue;
    }
    for (Action& each : Abstain(aNow, i)) {
      actions.push_back(std::move(each));
    }
  }
  return actions;
}

void
CoordinatorRoles::OnClaimed(TimePoint aNow,
                            TimePoint aSent,
                            std::uint32_t aShard,
                            const StoreReply& aReply)
{
  CoordinatorRole& role = m_roles.at(aShard);
  role.OnClaimed(aNow, aSent, aReply);
  const bool isConflict = aReply.m_status == Status::Conflict;
  if (aShard > 0 && isConflict && !aReply.m_items.empty()) {
    m_condition.OnRead(aNow, FindKey(aReply, CoordinatorKey(0)));
  }
  if (aShard == 0 && role.HoldsKey()) {
    m_condition.OnRead(aNow,
                       { .m_status = Status::Ok,
                         .m_revision = role.ExpectedRevision(),
                         .m_value = role.KeyValue() });
  }
}

std::vector<std::uint32_t>
CoordinatorRoles::OnChecked(TimePoint aNow,
                            const Check& aCheck,
                            const StoreReply& aReply)
{
  std::vector<std::uint32_t> deposed;
  // The store did not say how the keys are if it returned none.
  if (aReply.m_status == Status::Conflict && !aReply.m_items.empty()) {
    OnConflict(aNow, aCheck, aReply, deposed);
    return deposed;
  }
  for (const std::uint32_t each : aCheck.m_shards) {
    if (!m_roles.at(each).HoldsKey()) {
      continue;
    }
    if (aReply.m_status == Status::Ok) {
      m_roles.at(each).OnConfirmed(aNow, aCheck.m_sentAt, true);
    } else {
      m_roles.at(each).OnStoreCallFailed(aNow);
    }
  }
  return deposed;
}

void
CoordinatorRoles::OnConflict(TimePoint aNow,
                             const Check& aCheck,
                             const StoreReply& aReply,
                             std::vector<std::uint32_t>& aDeposed)
{
  // A key that is at its expected revision is confirmed by the answer as well,
  // which shows the store as it was after the sending.
  const auto isUnchanged = [&](const ExpectedKey& aKey) {
    return FindKey(aReply, aKey.m_key).m_revision == aKey.m_revision;
  };
  const std::string conditionKey = CoordinatorKey(0);
  bool isConditionUnchanged = true;
  if (aCheck.m_coversCondition) {
    const auto condition = std::find_if(
      aCheck.m_keys.begin(), aCheck.m_keys.end(), [&](const auto& aEach) {
        return aEach.m_key == conditionKey;
      });
    isConditionUnchanged = isUnchanged(*condition);
    if (!isConditionUnchanged) {
      m_condition.OnRead(aNow, FindKey(aReply, conditionKey));
    }
  }
  for (std::size_t i = 0; i < aCheck.m_shards.size(); ++i) {
    const std::uint32_t shard = aCheck.m_shards[i];
    CoordinatorRole& role = m_roles.at(shard);
    if (!role.HoldsKey()) {
      continue;
    }
    if (!isUnchanged(aCheck.m_keys[i])) {
      role.OnConfirmed(aNow, aCheck.m_sentAt, false);
      aDeposed.push_back(shard);
    } else if (shard == 0 || isConditionUnchanged) {
      role.OnConfirmed(aNow, aCheck.m_sentAt, true);
    } else {
      role.OnUndecided(aNow);
    }
  }
}

void
CoordinatorRoles::OnStoreRestored(TimePoint aNow)
{
  m_condition.OnStoreRestored();
  for (CoordinatorRole& each : m_roles) {
    each.OnStoreRestored(aNow);
  }
}

std::vector<CoordinatorRoles::Action>
CoordinatorRoles::Resign()
{
  std::vector<Action> actions;
  for (std::uint32_t i = 0; i < Count(); ++i) {
    if (m_roles.at(i).Resign() == Step::Release) {
      actions.push_back(MakeAction(Action::Kind::Release, i));
    }
  }
  return actions;
}

std::vector<CoordinatorRoles::Action>
CoordinatorRoles::Abstain(TimePoint aNow, std::uint32_t aShard)
{
  std::vector<Action> actions;
  if (m_roles.at(aShard).Abstain(aNow) == Step::Release) {
    actions.push_back(MakeAction(Action::Kind::Release, aShard));
  }
  return actions;
}

bool
CoordinatorRoles::IsLeading(TimePoint aNow, std::uint32_t aShard) const
{
  return m_roles.at(aShard).IsLeading(aNow) &&
         (aShard == 0 || m_condition.IsMet(aNow));
}

bool
CoordinatorRoles::TakeStarted(TimePoint aNow, std::uint32_t aShard)
{
  if (!IsLeading(aNow, aShard)) {
    return false;
  }
  // Under another number of shards, others may have granted what the buckets
  // have gained since.
  std::uint64_t& started = m_startedSequences.at(aShard);
  const bool isOtherSequence = aShard > 0 && started != m_condition.Sequence();
  started = m_condition.Sequence();
  return m_roles.at(aShard).TakeStarted(aNow) || isOtherSequence;
}

}
