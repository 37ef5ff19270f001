#pragma once

#include <cstdint>

namespace greengagehub {

/// \brief Retries as a share of live calls, so that an outage is met with at
/// most that much more load, however many callers there are.
class RetryBudget
{
public:
  explicit RetryBudget(std::uint32_t aPercent) noexcept
    : m_percent(aPercent)
  {
  }

  void SetPercent(std::uint32_t aPercent) noexcept { m_percent = aPercent; }

  /// \brief A first try was made.
  void Deposit() noexcept;
  /// \returns Whether a retry may be made; takes it from the budget.
  [[nodiscard]] bool Withdraw() noexcept;

private:
  std::uint32_t m_percent;
  /// In hundredths of a retry. Starts with a few, so that a quiet daemon can
  /// still route around one dead worker.
  std::uint32_t m_hundredths{ 1000 };
};

}
