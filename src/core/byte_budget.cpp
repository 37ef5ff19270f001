#include "greengagehub/core/byte_budget.hpp"

#include <algorithm>
#include <optional>

namespace greengagehub {

ByteReservation::ByteReservation(ByteBudget& aBudget,
                                 std::size_t aBytes) noexcept
  : m_budget(&aBudget)
  , m_bytes(aBytes)
{
}

ByteReservation::~ByteReservation()
{
  if (m_budget && m_bytes > 0) {
    m_budget->Release(m_bytes);
  }
}

void
ByteReservation::Add(ByteReservation aOther) noexcept
{
  if (!m_budget) {
    m_budget = aOther.m_budget;
  }
  m_bytes += std::exchange(aOther.m_bytes, 0);
}

std::size_t
ByteBudget::LimitFor(ByteUse aUse) const noexcept
{
  switch (aUse) {
    case ByteUse::LargeRequest:
      return m_limit / 32 * 24;
    case ByteUse::LargeAnswer:
      return m_limit / 32 * 30;
    case ByteUse::SmallRequest:
      return m_limit / 32 * 31;
    case ByteUse::SmallAnswer:
      return m_limit;
  }
  return m_limit;
}

std::size_t
ByteBudget::WaitingBytes() const noexcept
{
  std::size_t bytes = 0;
  for (const ByteWaiter& each : m_waiters) {
    bytes += each.m_bytes;
  }
  return bytes;
}

bool
ByteBudget::Fits(std::size_t aBytes, ByteUse aUse) const noexcept
{
  const std::size_t limit = LimitFor(aUse);
  return aBytes <= limit && m_used <= limit - aBytes;
}

bool
ByteBudget::MustWait(ByteUse aUse) const noexcept
{
  return IsLarge(aUse) &&
         std::ranges::any_of(m_waiters, [aUse](const ByteWaiter& aEach) {
           return aEach.m_use >= aUse;
         });
}

ByteReservation
ByteBudget::Reserve(std::size_t aBytes, ByteUse aUse)
{
  if (MustWait(aUse) || !Fits(aBytes, aUse)) {
    ++m_failures;
    return {};
  }
  return Charge(aBytes);
}

ByteReservation
ByteBudget::Charge(std::size_t aBytes) noexcept
{
  m_used += aBytes;
  m_peak = std::max(m_peak, m_used);
  return { *this, aBytes };
}

void
ByteBudget::Wait(ByteWaiter& aWaiter,
                 std::size_t aBytes,
                 ByteUse aUse,
                 ByteWaiter::Granted aOnGranted)
{
  aWaiter.m_bytes = aBytes;
  aWaiter.m_use = aUse;
  aWaiter.m_onGranted = std::move(aOnGranted);
  m_waiters.push_back(aWaiter);
  GrantWaiters();
}

void
ByteBudget::Release(std::size_t aBytes)
{
  m_used -= aBytes;
  GrantWaiters();
}

void
ByteBudget::GrantWaiters()
{
  std::optional<ByteUse> blocked;
  for (auto each = m_waiters.begin(); each != m_waiters.end();) {
    ByteWaiter& waiter = *each++;
    // What a large body may not fill, an earlier use may not fill either.
    if (IsLarge(waiter.m_use) && blocked && waiter.m_use <= *blocked) {
      continue;
    }
    if (!Fits(waiter.m_bytes, waiter.m_use)) {
      blocked = std::max(waiter.m_use, blocked.value_or(waiter.m_use));
      continue;
    }
    const ByteWaiter::Granted onGranted = std::move(waiter.m_onGranted);
    waiter.Cancel();
    onGranted(Charge(waiter.m_bytes));
  }
}

}
