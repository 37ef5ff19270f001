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

/// \brief Share of a worker's runs that were repeats, lately.
///
/// What a worker calls for a repeated run is repeated work for the services
/// behind it, though each of its calls is made once.
class RepeatShare
{
public:
  void Note(TimePoint aNow, bool aIsRepeat);
  /// \returns The share, in [0, 1]; 0 while nothing ran.
  [[nodiscard]] double At(TimePoint aNow) const;

private:
  WindowCount m_runs;
  WindowCount m_repeats;
};

/// \brief Retries as a share of live calls, service by service, so that an
/// outage is met with at most that much more load, however many callers there
/// are.
///
/// Answers two load patterns beside. Where a service that calls another is
/// retried, the calls of its repeated runs count as retries of the other, or
/// both together exceed what the other may get. Where workers shed, calls that
/// are more urgent than the service's mean may use the whole budget and the
/// others a part of it: the first are those whose failure fails the call that
/// waits for them. The mean, as one odd route of highest priority should not
/// count for the whole.
class RetryBudget
{
public:
  explicit RetryBudget(RetryLimits aLimits = {}) noexcept
    : m_limits(aLimits)
  {
  }

  void SetLimits(RetryLimits aLimits) noexcept { m_limits = aLimits; }

  /// \brief A first try was made.
  /// \param aPriority rank of the call, 0 first.
  /// \param aInherited likelihood that a repeated run made it.
  void Deposit(TimePoint aNow,
               const std::string& aService,
               std::uint32_t aPriority = 0,
               double aInherited = 0.0);
  /// \returns Whether a retry may be made; takes it from the budget.
  [[nodiscard]] bool Withdraw(TimePoint aNow,
                              const std::string& aService,
                              std::uint32_t aPriority = 0);

  /// \returns Whether any service but this one, for which repeated runs have
  /// made calls, has no retry left.
  ///
  /// Answers the load pattern of a service that fails most calls of another's
  /// runs: the runs are repeated within their own service's budget, and each
  /// makes calls that no budget can refuse any more.
  [[nodiscard]] bool IsUsedUpBeside(TimePoint aNow,
                                    const std::string& aService) const;

private:
  struct Counts
  {
    WindowCount m_calls;
    /// With what was inherited.
    WindowCount m_retries;
    /// What was inherited and is less than one retry yet.
    double m_inherited{ 0.0 };
    /// Whether repeated runs have made calls to it.
    bool m_inherits{ false };
    /// Moving mean over the calls; below 0 before the first.
    double m_meanPriority{ -1.0 };
  };

  [[nodiscard]] bool HasRoom(TimePoint aNow,
                             const Counts& aCounts,
                             double aPart) const;

  RetryLimits m_limits;
  std::map<std::string, Counts, std::less<>> m_services;
};

}
