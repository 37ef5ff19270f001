#include "greengagehub/workspaces/shard_link.hpp"

#include "greengagehub/workspaces/quota_allocation.hpp"

#include <algorithm>

namespace greengagehub {

bool
ShardLink::IsAwaitingAnswer(TimePoint aNow) const noexcept
{
  return !m_pending.empty() &&
         aNow - m_pending.back().m_sentAt < kAnswerTimeout;
}

bool
ShardLink::IsSilent(TimePoint aNow) const noexcept
{
  return m_isDeclining || SilentFor(aNow) >= kAnswerTimeout;
}

void
ShardLink::OnSent(TimePoint aNow, std::uint64_t aSequence)
{
  // Tokens of an answer that comes later would have expired.
  while (!m_pending.empty() &&
         aNow - m_pending.front().m_sentAt >= kTokenLifetime) {
    m_pending.pop_front();
  }
  m_pending.push_back({ aSequence, aNow });
  m_unansweredSince = m_unansweredSince.value_or(aNow);
  m_lastSentAt = aNow;
}

std::optional<TimePoint>
ShardLink::OnAnswer(TimePoint aNow, std::uint64_t aSequence, bool aIsGranting)
{
  const auto query = std::find_if(
    m_pending.begin(), m_pending.end(), [&](const PendingQuery& aEach) {
      return aEach.m_sequence == aSequence;
    });
  if (query == m_pending.end() || aNow - query->m_sentAt >= kTokenLifetime) {
    return std::nullopt;
  }
  const TimePoint sentAt = query->m_sentAt;
  m_pending.erase(query);
  m_isDeclining = !aIsGranting;
  if (aIsGranting) {
    m_unansweredSince.reset();
  }
  return sentAt;
}

void
ShardLink::OnReady() noexcept
{
  m_pending.clear();
  m_unansweredSince.reset();
  m_isDeclining = false;
}

}
