#include "greengagehub/calls/retry_budget.hpp"

namespace greengagehub {

namespace {

std::int64_t
SliceNumber(TimePoint aNow, Duration aWindow)
{
  return aNow.time_since_epoch() /
         (aWindow / static_cast<int>(WindowCount::kSlices));
}

}

void
WindowCount::Add(TimePoint aNow, Duration aWindow)
{
  const std::int64_t number = SliceNumber(aNow, aWindow);
  Slice& slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
  if (slice.m_number != number) {
    slice = Slice{ number, 0 };
  }
  ++slice.m_count;
}

std::uint32_t
WindowCount::Sum(TimePoint aNow, Duration aWindow) const
{
  const std::int64_t newest = SliceNumber(aNow, aWindow);
  const std::int64_t oldest = newest - static_cast<std::int64_t>(kSlices);
  std::uint32_t sum = 0;
  for (const Slice& each : m_slices) {
    if (each.m_number >= oldest && each.m_number <= newest) {
      sum += each.m_count;
    }
  }
  return sum;
}

void
RetryBudget::Deposit(TimePoint aNow, const std::string& aService)
{
  m_services[aService].m_calls.Add(aNow, m_limits.m_window);
}

bool
RetryBudget::Withdraw(TimePoint aNow, const std::string& aService)
{
  if (m_limits.m_share <= 0.0) {
    return false;
  }
  Counts& counts = m_services[aService];
  const double calls = counts.m_calls.Sum(aNow, m_limits.m_window);
  const double retries = counts.m_retries.Sum(aNow, m_limits.m_window);
  if (retries + 1.0 > m_limits.m_share * calls + m_limits.m_slack) {
    return false;
  }
  counts.m_retries.Add(aNow, m_limits.m_window);
  return true;
}

}
