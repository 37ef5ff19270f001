#pragma once

#include "greengagehub/core/clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace greengagehub {

/// \brief Counts events in a sliding window that is divided into slices.
class WindowCounter
{
public:
  static constexpr std::size_t kSlices = 20;

  void Add(TimePoint aNow, Duration aWindow);
  /// \returns Number of events in the window, rounded up to a whole slice.
  [[nodiscard]] std::uint32_t Sum(TimePoint aNow, Duration aWindow) const;

private:
  struct Slice
  {
    std::int64_t m_number{ -1 };
    std::uint32_t m_count{ 0 };
  };

  /// One more than kSlices: the oldest slice is only partly in the window.
  std::array<Slice, kSlices + 1> m_slices{};
};

/// \brief Limits on the retries of a daemon, for each service.
struct RetryLimits
{
  /// Retries allowed as a share of the calls in the window.
  double m_share{ 0.1 };
  /// Retries allowed on top of the share, so that a daemon with little traffic
  /// can route around a dead worker.
  double m_slack{ 10.0 };
  std::chrono::milliseconds m_window{ std::chrono::seconds{ 10 } };
};

/// \brief Recent share of a worker's runs that were retries.
///
/// Calls made by a retried run are repeated work for the services called, even
/// though each of them is sent for the first time.
class RetriedRunShare
{
public:
  void Record(TimePoint aNow, bool aIsRetry);
  /// \returns In [0, 1]; 0 if there were no runs.
  [[nodiscard]] double At(TimePoint aNow) const;

private:
  WindowCounter m_runs;
  WindowCounter m_retries;
};

/// \brief Limits retries per service to a share of its calls, which bounds the
/// extra load during an outage regardless of the number of callers.
///
/// Calls made by retried runs count as retries, so that the budgets of a caller
/// and of the service it calls don't multiply. Calls less urgent than the
/// service's mean priority may use only a part of the budget.
class RetryBudget
{
public:
  explicit RetryBudget(RetryLimits aLimits = {}) noexcept
    : m_limits(aLimits)
  {
  }

  void SetLimits(RetryLimits aLimits) noexcept { m_limits = aLimits; }

  /// \brief Records the first attempt of a call.
  /// \param aPriority rank of the call, 0 highest.
  void Deposit(TimePoint aNow,
               const std::string& aService,
               std::uint32_t aPriority = 0,
               double aRetriedRunProbability = 0.0);
  /// \returns False if no retry is left.
  [[nodiscard]] bool Withdraw(TimePoint aNow,
                              const std::string& aService,
                              std::uint32_t aPriority = 0);

  /// \returns Whether the budget of another service, one called by retried
  /// runs, is nearly used up. Runs of this service must then not be retried, as
  /// the first attempts of their calls aren't limited by any budget.
  [[nodiscard]] bool IsOtherServiceExhausted(TimePoint aNow,
                                             const std::string& aService) const;

private:
  struct Counts
  {
    WindowCounter m_calls;
    /// Retries, including calls made by retried runs.
    WindowCounter m_retries;
    /// Fraction of a retry accumulated from calls of retried runs.
    double m_fractionalRetry{ 0.0 };
    bool m_isCalledByRetriedRuns{ false };
    /// Negative before the first call.
    double m_meanPriority{ -1.0 };
  };

  [[nodiscard]] bool IsWithinBudget(TimePoint aNow,
                                    const Counts& aCounts,
                                    double aBudgetPart) const;

  RetryLimits m_limits;
  std::map<std::string, Counts, std::less<>> m_services;
};

}
