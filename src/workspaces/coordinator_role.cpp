#include "greengagehub/workspaces/coordinator_role.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace greengagehub {

std::string
CoordinatorKey(std::uint32_t aShard)
{
  return aShard == 0 ? std::string{ kCoordinatorKey }
                     : fmt::format("{}/{}", kCoordinatorKey, aShard);
}

CoordinatorRole::CoordinatorRole(std::string aSlot,
                                 std::uint64_t aProcess,
                                 std::uint64_t aSeed,
                                 QuotaShard aShard)
  : m_slot(std::move(aSlot))
  , m_process(aProcess)
  , m_random(aSeed)
  , m_shard(aShard)
{
}

std::string
CoordinatorRole::Holder() const
{
  return fmt::format("{} {}", m_slot, m_process);
}

std::string
CoordinatorRole::KeyValue() const
{
  return m_shard.m_index == 0 ? Format({ m_shard.m_count, m_since, Holder() })
                              : Holder();
}

std::string
CoordinatorRole::ReleaseValue() const
{
  return m_shard.m_index == 0 ? Format({ m_shard.m_count, m_since, {} })
                              : std::string{};
}

CoordinatorRole::Step
CoordinatorRole::OnTick(TimePoint aNow, bool aIsCandidate, bool aIsSilent)
{
  if (m_isCallPending || m_hasResigned || aNow < m_nextStepAt) {
    return Step::None;
  }
  if (m_holdsKey) {
    m_isCallPending = true;
    m_nextStepAt = aNow + kConfirmInterval;
    return Step::Confirm;
  }
  if (!aIsCandidate || !aIsSilent) {
    m_canClaim = false;
    return Step::None;
  }
  m_isCallPending = true;
  return m_canClaim ? Step::Claim : Step::Read;
}

bool
CoordinatorRole::JoinConfirm(TimePoint aNow)
{
  if (!m_holdsKey || m_isCallPending || m_hasResigned) {
    return false;
  }
  m_isCallPending = true;
  m_nextStepAt = aNow + kConfirmInterval;
  return true;
}

void
CoordinatorRole::OnRead(TimePoint aNow, const StoreReply& aReply)
{
  m_isCallPending = false;
  const bool exists = aReply.m_status == StoreReply::Status::Ok;
  if (!exists && aReply.m_status != StoreReply::Status::NotFound) {
    OnStoreCallFailed(aNow);
    return;
  }
  m_revision = exists ? aReply.m_revision : 0;
  // A restored store may have lost the key of a coordinator that still leads.
  m_predecessor = ParseShardStatement(exists ? aReply.m_value : "unknown");
  const bool continues =
    m_shard.m_count > 1 && m_predecessor.m_shards == m_shard.m_count;
  m_since = continues ? m_predecessor.m_since
                      : fmt::format("{:x}.{}", m_process, m_revision);
  const bool isUnknownCoordinator =
    exists && !m_predecessor.m_holder.empty() && !IsFromOwnSlot() &&
    m_revision > m_newestTerm && m_revision != m_endedTerm;
  m_newestTerm = std::max(m_newestTerm, m_revision);
  m_canClaim = !isUnknownCoordinator;
  m_nextStepAt = isUnknownCoordinator ? aNow + kAnnounceGrace : aNow;
}

bool
CoordinatorRole::IsFromOwnSlot() const
{
  return m_predecessor.m_holder.starts_with(m_slot + " ");
}

TimePoint
CoordinatorRole::PredecessorLeaseEnd(TimePoint aNow) const
{
  const bool hasEnded =
    m_predecessor.m_holder.empty() ||
    (m_predecessorRevision != 0 && m_predecessorRevision == m_endedTerm);
  // With another number of shards, those above 0 may still grant their parts.
  const bool isSameDivision =
    m_shard.m_index != 0 || m_predecessor.m_shards == m_shard.m_count;
  // A former process of this slot may still run, so its lease counts as well.
  return hasEnded && isSameDivision ? aNow : aNow + kLeaseDuration;
}

void
CoordinatorRole::OnClaimed(TimePoint aNow,
                           TimePoint aSent,
                           const StoreReply& aReply)
{
  m_isCallPending = false;
  m_canClaim = false;
  if (aReply.m_status == StoreReply::Status::Ok) {
    m_predecessorRevision = m_revision;
    m_revision = aReply.m_revision;
    m_consecutiveFailures = 0;
    m_holdsKey = true;
    m_hasReportedStart = false;
    m_leaseStart = aSent;
    m_predecessorLeaseEnd = PredecessorLeaseEnd(aNow);
    m_nextStepAt = aNow + kConfirmInterval;
    return;
  }
  const bool isTaken = aReply.m_status == StoreReply::Status::Conflict;
  m_nextStepAt =
    aNow + Jittered(m_random, isTaken ? kReclaimDelay : kRetryDelay);
}

void
CoordinatorRole::OnConfirmed(TimePoint aNow, TimePoint aSent, bool aIsOurs)
{
  m_isCallPending = false;
  if (!aIsOurs) {
    LoseKey(aNow);
    return;
  }
  m_consecutiveFailures = 0;
  m_leaseStart = aSent;
}

bool
CoordinatorRole::StandDownIfFailing(TimePoint aNow)
{
  if (!m_holdsKey || m_consecutiveFailures < kMaxFailures) {
    return false;
  }
  LoseKey(aNow);
  return true;
}

void
CoordinatorRole::OnStoreCallFailed(TimePoint aNow)
{
  m_isCallPending = false;
  m_consecutiveFailures += m_holdsKey ? 1 : 0;
  m_nextStepAt = aNow + Jittered(m_random, kRetryDelay);
}

void
CoordinatorRole::LoseKey(TimePoint aNow)
{
  m_holdsKey = false;
  m_canClaim = false;
  m_nextStepAt = aNow + Jittered(m_random, kReclaimDelay);
}

void
CoordinatorRole::OnStoreRestored(TimePoint aNow)
{
  m_isCallPending = false;
  m_canClaim = false;
  m_holdsKey = false;
  // A restored store may assign the same revisions again.
  m_newestTerm = 0;
  m_endedTerm = 0;
  m_nextStepAt = aNow + Jittered(m_random, kRetryDelay);
}

CoordinatorRole::Step
CoordinatorRole::Resign() noexcept
{
  const bool hadKey = m_holdsKey;
  m_holdsKey = false;
  m_hasResigned = true;
  return hadKey ? Step::Release : Step::None;
}

CoordinatorRole::Step
CoordinatorRole::Abstain(TimePoint aNow) noexcept
{
  const bool hadKey = m_holdsKey;
  // The reply to a check in progress is not awaited.
  m_isCallPending = m_isCallPending && !hadKey;
  m_holdsKey = false;
  m_canClaim = false;
  m_nextStepAt = aNow + kAbstainTime;
  return hadKey ? Step::Release : Step::None;
}

void
CoordinatorRole::OnUndecided(TimePoint aNow) noexcept
{
  m_isCallPending = false;
  m_nextStepAt = aNow;
}

bool
CoordinatorRole::IsLeading(TimePoint aNow) const noexcept
{
  return m_holdsKey && aNow >= m_predecessorLeaseEnd &&
         aNow - m_leaseStart < kLeaseDuration;
}

bool
CoordinatorRole::TakeStarted(TimePoint aNow) noexcept
{
  if (m_hasReportedStart || !IsLeading(aNow)) {
    return false;
  }
  m_hasReportedStart = true;
  return true;
}

}
