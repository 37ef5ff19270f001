#include "greengagehub/calls/retry_budget.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr double kPriorityWeight = 0.01;
/// Difference from the mean priority up to which a call may use the whole
/// budget.
constexpr double kPriorityTolerance = 0.1;
/// Part of the budget for calls less urgent than the service's mean priority,
/// whose more urgent calls would otherwise find it used up.
constexpr double kLowPriorityPart = 0.5;
/// Part of a service's budget up to which runs that call it are retried; the
/// rest covers calls that aren't counted yet.
constexpr double kRetriedRunPart = 0.8;
constexpr Duration kRetriedRunWindow = std::chrono::seconds{ 1 };

std::int64_t
SliceNumber(TimePoint aNow, Duration aWindow)
{
  return aNow.time_since_epoch() /
         (aWindow / static_cast<int>(WindowCounter::kSlices));
}

}

void
WindowCounter::Add(TimePoint aNow, Duration aWindow)
{
  const std::int64_t number = SliceNumber(aNow, aWindow);
  Slice& slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
  if (slice.m_number != number) {
    slice = Slice{ number, 0 };
  }
  ++slice.m_count;
}

std::uint32_t
WindowCounter::Sum(TimePoint aNow, Duration aWindow) const
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
RetriedRunShare::Record(TimePoint aNow, bool aIsRetry)
{
  m_runs.Add(aNow, kRetriedRunWindow);
  if (aIsRetry) {
    m_retries.Add(aNow, kRetriedRunWindow);
  }
}

double
RetriedRunShare::At(TimePoint aNow) const
{
  const double runs = m_runs.Sum(aNow, kRetriedRunWindow);
  return runs > 0.0 ? m_retries.Sum(aNow, kRetriedRunWindow) / runs : 0.0;
}

void
RetryBudget::Deposit(TimePoint aNow,
                     const std::string& aService,
                     std::uint32_t aPriority,
                     double aRetriedRunProbability)
{
  Counts& counts = m_services[aService];
  counts.m_calls.Add(aNow, m_limits.m_window);
  const double priority = aPriority;
  if (counts.m_meanPriority < 0.0) {
    counts.m_meanPriority = priority;
  }
  counts.m_meanPriority += kPriorityWeight * (priority - counts.m_meanPriority);
  counts.m_fractionalRetry += aRetriedRunProbability;
  counts.m_isCalledByRetriedRuns =
    counts.m_isCalledByRetriedRuns || aRetriedRunProbability > 0.0;
  if (counts.m_fractionalRetry >= 1.0) {
    counts.m_fractionalRetry -= 1.0;
    counts.m_retries.Add(aNow, m_limits.m_window);
  }
}

bool
RetryBudget::Withdraw(TimePoint aNow,
                      const std::string& aService,
                      std::uint32_t aPriority)
{
  if (m_limits.m_share <= 0.0) {
    return false;
  }
  Counts& counts = m_services[aService];
  const bool mayUseWholeBudget =
    aPriority <= counts.m_meanPriority + kPriorityTolerance;
  if (!IsWithinBudget(
        aNow, counts, mayUseWholeBudget ? 1.0 : kLowPriorityPart)) {
    return false;
  }
  counts.m_retries.Add(aNow, m_limits.m_window);
  return true;
}

bool
RetryBudget::IsWithinBudget(TimePoint aNow,
                            const Counts& aCounts,
                            double aBudgetPart) const
{
  const double calls = aCounts.m_calls.Sum(aNow, m_limits.m_window);
  const double retries = aCounts.m_retries.Sum(aNow, m_limits.m_window);
  const double allowed = m_limits.m_share * calls + m_limits.m_slack;
  return retries + 1.0 <= allowed * aBudgetPart;
}

bool
RetryBudget::IsOtherServiceExhausted(TimePoint aNow,
                                     const std::string& aService) const
{
  return std::ranges::any_of(m_services, [&](const auto& aEach) {
    const Counts& counts = aEach.second;
    return aEach.first != aService && counts.m_isCalledByRetriedRuns &&
           !IsWithinBudget(aNow, counts, kRetriedRunPart);
  });
}

}
