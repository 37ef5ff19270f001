#include "greengagehub/workspaces/token_purse.hpp"

#include <algorithm>

namespace greengagehub {

void
TokenPurse::AddTokens(std::uint32_t aCount, TimePoint aExpiresAt)
{
  if (aCount == 0) {
    return;
  }
  const auto later = std::upper_bound(m_batches.begin(),
                                      m_batches.end(),
                                      aExpiresAt,
                                      [](TimePoint aTime, const Batch& aEach) {
                                        return aTime < aEach.m_expiresAt;
                                      });
  m_batches.insert(later, { aCount, aExpiresAt });
}

std::optional<QuotaReceipt>
TokenPurse::TakeToken(TimePoint aNow)
{
  while (!m_batches.empty() && (m_batches.front().m_tokens == 0 ||
                                m_batches.front().m_expiresAt <= aNow)) {
    m_batches.pop_front();
  }
  if (m_batches.empty()) {
    return std::nullopt;
  }
  --m_batches.front().m_tokens;
  return QuotaReceipt{ QuotaReceipt::Kind::Token,
                       m_batches.front().m_expiresAt,
                       m_generation };
}

std::optional<QuotaReceipt>
TokenPurse::TakeReserve(TimePoint aNow, std::chrono::milliseconds aWindow)
{
  while (!m_reserveUses.empty() && aNow - m_reserveUses.front() >= aWindow) {
    m_reserveUses.pop_front();
  }
  if (m_reserveUses.size() >= ReserveShare(aNow)) {
    return std::nullopt;
  }
  m_reserveUses.push_back(aNow);
  return QuotaReceipt{ QuotaReceipt::Kind::Reserve, aNow, m_generation };
}

void
TokenPurse::Return(TimePoint aNow, const QuotaReceipt& aReceipt)
{
  if (aReceipt.m_generation != m_generation) {
    return;
  }
  // The allowance counts tokens that may run until they expire. Nothing has run
  // with this one, and with its original expiry it still runs once at most,
  // within the time for which it was counted when it was granted.
  if (aReceipt.m_kind == QuotaReceipt::Kind::Token && aNow < aReceipt.m_time) {
    AddTokens(1, aReceipt.m_time);
  } else if (aReceipt.m_kind == QuotaReceipt::Kind::Reserve) {
    const auto use =
      std::find(m_reserveUses.begin(), m_reserveUses.end(), aReceipt.m_time);
    if (use != m_reserveUses.end()) {
      m_reserveUses.erase(use);
    }
  }
}

void
TokenPurse::Clear()
{
  m_batches.clear();
  m_reserves = {};
  ++m_generation;
}

std::uint32_t
TokenPurse::CountTokens(TimePoint aNow) const
{
  std::uint32_t tokens = 0;
  for (const Batch& each : m_batches) {
    tokens += each.m_expiresAt > aNow ? each.m_tokens : 0;
  }
  return tokens;
}

std::uint32_t
TokenPurse::ReserveShare(TimePoint aNow) const
{
  std::uint32_t share = 0;
  for (const Share& each : m_reserves) {
    share += each.m_expiresAt > aNow ? each.m_share : 0;
  }
  return share;
}

}
