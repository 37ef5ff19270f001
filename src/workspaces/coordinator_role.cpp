#include "greengagehub/workspaces/coordinator_role.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace greengagehub {

CoordinatorRole::CoordinatorRole(std::string aSlot,
                                 std::uint64_t aProcess,
                                 TimePoint aStarted,
                                 std::uint64_t aSeed)
  : m_slot(std::move(aSlot))
  , m_process(aProcess)
  , m_started(aStarted)
  , m_random(aSeed)
{
}

std::string
CoordinatorRole::Value() const
{
  return fmt::format("{} {}", m_slot, m_process);
}

CoordinatorRole::Step
CoordinatorRole::OnTick(TimePoint aNow, bool aIsCandidate, bool aIsSilent)
{
  if (m_isBusy || m_hasResigned || aNow < m_next) {
    return Step::None;
  }
  if (m_holdsKey) {
    m_isBusy = true;
    m_next = aNow + kConfirmEvery;
    return Step::Confirm;
  }
  if (!aIsCandidate || !aIsSilent) {
    m_hasRead = false;
    return Step::None;
  }
  m_isBusy = true;
  return m_hasRead ? Step::Claim : Step::Read;
}

void
CoordinatorRole::OnRead(TimePoint aNow, const StoreReply& aReply)
{
  m_isBusy = false;
  const bool isThere = aReply.m_status == StoreReply::Status::Ok;
  if (!isThere && aReply.m_status != StoreReply::Status::NotFound) {
    OnFailed(aNow);
    return;
  }
  m_revision = isThere ? aReply.m_revision : 0;
  // A key that is missing may have been lost with a restored store.
  m_predecessor = isThere ? aReply.m_value : "unknown";
  const bool isUnheard = isThere && !m_predecessor.empty() &&
                         !IsOwn(m_predecessor) && m_revision > m_term &&
                         m_revision != m_endedTerm;
  m_term = std::max(m_term, m_revision);
  m_hasRead = !isUnheard;
  m_next = isUnheard ? aNow + kGrace : aNow;
}

bool
CoordinatorRole::IsOwn(std::string_view aValue) const
{
  return aValue.starts_with(m_slot + " ");
}

TimePoint
CoordinatorRole::EndOfPredecessor(TimePoint aNow) const
{
  const bool hasEnded = m_predecessor.empty() ||
                        (m_claimedOver != 0 && m_claimedOver == m_endedTerm);
  if (hasEnded) {
    return aNow;
  }
  const bool isFormerSelf = IsOwn(m_predecessor) && m_predecessor != Value();
  // A former process of this slot had written the key before this one began.
  return isFormerSelf ? std::max(aNow, m_started + kConfirmedFor)
                      : aNow + kConfirmedFor;
}

void
CoordinatorRole::OnClaimed(TimePoint aNow,
                           TimePoint aSent,
                           const StoreReply& aReply)
{
  m_isBusy = false;
  m_hasRead = false;
  if (aReply.m_status == StoreReply::Status::Ok) {
    m_claimedOver = m_revision;
    m_revision = aReply.m_revision;
    m_failures = 0;
    m_holdsKey = true;
    m_hasStarted = false;
    m_confirmedAt = aSent;
    m_waitUntil = EndOfPredecessor(aNow);
    m_next = aNow + kConfirmEvery;
    return;
  }
  const bool isTaken = aReply.m_status == StoreReply::Status::Conflict;
  m_next = aNow + Jittered(m_random, isTaken ? kYield : kRetry);
}

void
CoordinatorRole::OnConfirmed(TimePoint aNow, TimePoint aSent, bool aIsOurs)
{
  m_isBusy = false;
  if (!aIsOurs) {
    Lose(aNow);
    return;
  }
  m_failures = 0;
  m_confirmedAt = aSent;
}

bool
CoordinatorRole::StandDownIfFailing(TimePoint aNow)
{
  if (!m_holdsKey || m_failures < kMaxFailures) {
    return false;
  }
  Lose(aNow);
  return true;
}

void
CoordinatorRole::OnFailed(TimePoint aNow)
{
  m_isBusy = false;
  m_failures += m_holdsKey ? 1 : 0;
  m_next = aNow + Jittered(m_random, kRetry);
}

void
CoordinatorRole::Lose(TimePoint aNow)
{
  m_holdsKey = false;
  m_hasRead = false;
  m_next = aNow + Jittered(m_random, kYield);
}

void
CoordinatorRole::OnStoreRestored(TimePoint aNow)
{
  m_isBusy = false;
  m_hasRead = false;
  m_holdsKey = false;
  // Revisions are given out again.
  m_term = 0;
  m_endedTerm = 0;
  m_next = aNow + Jittered(m_random, kRetry);
}

CoordinatorRole::Step
CoordinatorRole::Resign() noexcept
{
  const bool releases = m_holdsKey;
  m_holdsKey = false;
  m_hasResigned = true;
  return releases ? Step::Release : Step::None;
}

bool
CoordinatorRole::IsLeading(TimePoint aNow) const noexcept
{
  return m_holdsKey && aNow >= m_waitUntil &&
         aNow - m_confirmedAt < kConfirmedFor;
}

bool
CoordinatorRole::TakeStarted(TimePoint aNow) noexcept
{
  if (m_hasStarted || !IsLeading(aNow)) {
    return false;
  }
  m_hasStarted = true;
  return true;
}

}
