#include "greengagehub/calls/retry_budget.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Weight of a call in the mean priority of its service: the last hundred
/// count.
constexpr double kPriorityWeight = 0.01;
/// Within which a priority is that of nearly all calls.
constexpr double kEqual = 0.1;
/// Part of the budget for calls that are less urgent than the service's mean:
/// with half, as many lookups as exports can be tried again where half of all
/// are shed.
constexpr double kPartForOthers = 0.5;
/// Part of a service's budget up to which runs are repeated that call it: some
/// of its calls are made and not counted yet.
constexpr double kPartForRuns = 0.8;
/// Over which runs are counted for the share of repeats: some hundred at a busy
/// worker, and over soon after a disruption.
constexpr Duration kRunsWindow = std::chrono::seconds{ 1 };

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
RepeatShare::Note(TimePoint aNow, bool aIsRepeat)
{
  m_runs.Add(aNow, kRunsWindow);
  if (aIsRepeat) {
    m_repeats.Add(aNow, kRunsWindow);
  }
}

double
RepeatShare::At(TimePoint aNow) const
{
  const double runs = m_runs.Sum(aNow, kRunsWindow);
  return runs > 0.0 ? m_repeats.Sum(aNow, kRunsWindow) / runs : 0.0;
}

void
RetryBudget::Deposit(TimePoint aNow,
                     const std::string& aService,
                     std::uint32_t aPriority,
                     double aInherited)
{
  Counts& counts = m_services[aService];
  counts.m_calls.Add(aNow, m_limits.m_window);
  const double priority = aPriority;
  if (counts.m_meanPriority < 0.0) {
    counts.m_meanPriority = priority;
  }
  counts.m_meanPriority += kPriorityWeight * (priority - counts.m_meanPriority);
  counts.m_inherited += aInherited;
  counts.m_inherits = counts.m_inherits || aInherited > 0.0;
  if (counts.m_inherited >= 1.0) {
    counts.m_inherited -= 1.0;
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
  const bool isFirst = aPriority <= counts.m_meanPriority + kEqual;
  if (!HasRoom(aNow, counts, isFirst ? 1.0 : kPartForOthers)) {
    return false;
  }
  counts.m_retries.Add(aNow, m_limits.m_window);
  return true;
}

bool
RetryBudget::HasRoom(TimePoint aNow, const Counts& aCounts, double aPart) const
{
  const double calls = aCounts.m_calls.Sum(aNow, m_limits.m_window);
  const double retries = aCounts.m_retries.Sum(aNow, m_limits.m_window);
  const double allowed = m_limits.m_share * calls + m_limits.m_slack;
  return retries + 1.0 <= allowed * aPart;
}

bool
RetryBudget::IsUsedUpBeside(TimePoint aNow, const std::string& aService) const
{
  return std::ranges::any_of(m_services, [&](const auto& aEach) {
    const Counts& counts = aEach.second;
    return aEach.first != aService && counts.m_inherits &&
           !HasRoom(aNow, counts, kPartForRuns);
  });
}

}
