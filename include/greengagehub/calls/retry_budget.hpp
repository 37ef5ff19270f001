#pragma once

#include "greengagehub/core/clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace greengagehub {

/// \brief Counts events of the last stretch of time, in slices of it.
class WindowCount
{
public:
  static constexpr std::size_t kSlices = 20;

  void Add(TimePoint aNow, Duration aWindow);
  /// \returns Events of the last window, rounded up to a whole slice.
  [[nodiscard]] std::uint32_t Sum(TimePoint aNow, Duration aWindow) const;

private:
  struct Slice
  {
    std::int64_t m_number{ -1 };
    std::uint32_t m_count{ 0 };
  };

  /// One more than the window has, as the oldest is only partly in it.
  std::array<Slice, kSlices + 1> m_slices{};
};

/// \brief How many attempts beyond the first of each call a daemon may make.
struct RetryLimits
{
  /// Share of the calls of the window.
  double m_share{ 0.1 };
  /// Beside the share, so that a quiet daemon can route around one dead
  /// worker.
  double m_slack{ 10.0 };
  std::chrono::milliseconds m_window{ std::chrono::seconds{ 10 } };
};

/// \brief Retries as a share of live calls, service by service, so that an
/// outage is met with at most that much more load, however many callers there
/// are.
class RetryBudget
{
public:
  explicit RetryBudget(RetryLimits aLimits = {}) noexcept
    : m_limits(aLimits)
  {
  }

  void SetLimits(RetryLimits aLimits) noexcept { m_limits = aLimits; }

  /// \brief A first try was made.
  void Deposit(TimePoint aNow, const std::string& aService);
  /// \returns Whether a retry may be made; takes it from the budget.
  [[nodiscard]] bool Withdraw(TimePoint aNow, const std::string& aService);

private:
  struct Counts
  {
    WindowCount m_calls;
    WindowCount m_retries;
  };

  RetryLimits m_limits;
  std::map<std::string, Counts, std::less<>> m_services;
};

}
