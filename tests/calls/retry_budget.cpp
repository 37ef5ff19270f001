#include "greengagehub/calls/retry_budget.hpp"

#include "greengagehub/core/random.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

/// Makes calls at a fixed interval and requests a retry for each.
/// \returns Number of retries granted.
std::uint32_t
CountRetries(RetryBudget& aBudget,
             TimePoint aFrom,
             int aCalls,
             Duration aInterval)
{
  std::uint32_t retries = 0;
  for (int i = 0; i < aCalls; ++i) {
    const TimePoint now = aFrom + i * aInterval;
    aBudget.Deposit(now, "ledger");
    retries += aBudget.Withdraw(now, "ledger") ? 1 : 0;
  }
  return retries;
}

}

TEST_CASE("retries stay a share of the window's calls")
{
  // Guards against retries that overload a service further.
  RetryBudget budget{ { .m_share = 0.2, .m_slack = 3.0, .m_window = 10s } };
  CHECK(CountRetries(budget, kStart, 1000, 10ms) <= 203);
  CHECK(CountRetries(budget, kStart + 10s, 1000, 10ms) <= 203);
}

TEST_CASE("unused retries do not accumulate beyond the window")
{
  // Guards against a burst of saved retries at the start of an outage.
  RetryBudget budget{ { .m_share = 0.2, .m_slack = 3.0, .m_window = 10s } };
  for (int i = 0; i < 10'000; ++i) {
    budget.Deposit(kStart + i * 10ms, "ledger");
  }
  CHECK(CountRetries(budget, kStart + 100s, 1000, 1ms) <= 403);
}

TEST_CASE("services have separate budgets")
{
  RetryBudget budget{ { .m_share = 0.5, .m_slack = 0.0, .m_window = 10s } };
  for (int i = 0; i < 10; ++i) {
    budget.Deposit(kStart, "locker-app");
  }
  CHECK_FALSE(budget.Withdraw(kStart, "ledger"));
  CHECK(budget.Withdraw(kStart, "locker-app"));
}

TEST_CASE("calls made by retried runs count as retries")
{
  // Guards against a service that gets repeated calls beyond its budget because
  // its callers' runs are retried, too.
  RetryBudget budget{ { .m_share = 0.2, .m_slack = 0.0, .m_window = 10s } };
  constexpr double kRetriedRunProbability = 0.15;
  std::uint32_t retries = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = kStart + i * 10ms;
    budget.Deposit(now, "board", 1, kRetriedRunProbability);
    retries += budget.Withdraw(now, "board", 1) ? 1 : 0;
  }
  CHECK(retries > 40);
  CHECK(retries + kRetriedRunProbability * 1000 <= 201);
}

TEST_CASE("a part of the budget is reserved for calls of higher priority")
{
  // Guards against low-priority calls that use up all retries.
  RetryBudget budget{ { .m_share = 0.2, .m_slack = 0.0, .m_window = 10s } };
  std::uint32_t plans = 0;
  std::uint32_t probes = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = kStart + i * 10ms;
    budget.Deposit(now, "board", 2);
    budget.Deposit(now, "board", 1);
    if (i % 50 == 0) {
      // A few calls of highest priority must not reduce the budget of calls
      // with mean priority.
      budget.Deposit(now, "board", 0);
    }
    plans += budget.Withdraw(now, "board", 2) ? 1 : 0;
    plans += budget.Withdraw(now, "board", 2) ? 1 : 0;
    probes += budget.Withdraw(now, "board", 1) ? 1 : 0;
  }
  CHECK(plans <= 204);
  CHECK(probes >= 195);
  CHECK(plans + probes <= 405);
}

TEST_CASE("the share of retried runs covers the last second")
{
  RetriedRunShare share;
  CHECK(share.At(kStart) == 0.0);
  for (int i = 0; i < 100; ++i) {
    share.Record(kStart + i * 5ms, i % 4 == 0);
  }
  CHECK(share.At(kStart + 500ms) == doctest::Approx(0.25));
  CHECK(share.At(kStart + 5s) == 0.0);
}

namespace {

/// Each run calls a service twice; failed runs and rejected calls are retried.
class CallersAndService
{
public:
  /// \returns Highest ratio, over all windows, of repeated calls at the service
  /// to its budget.
  double HighestRetryUse(std::chrono::seconds aShedStart,
                         std::chrono::seconds aDuration)
  {
    double highest = 0.0;
    const TimePoint begin{ 1h };
    for (m_now = begin; m_now < begin + aDuration; m_now += kStep) {
      m_sheds = m_now >= begin + aShedStart;
      FinishRuns();
      for (int i = 0; i < kRunsPerStep; ++i) {
        m_budget.Deposit(m_now, "desk");
        StartRun(false);
      }
      const double calls = m_calls.Sum(m_now, kWindow);
      const double repeatedCalls = m_repeatedCalls.Sum(m_now, kWindow);
      highest = std::max(highest, repeatedCalls / (kShare * calls + kSlack));
    }
    return highest;
  }

private:
  static constexpr auto kStep = 10ms;
  static constexpr auto kWindow = 10s;
  static constexpr auto kRunTime = 150ms;
  static constexpr int kRunsPerStep = 8;
  static constexpr double kShare = 0.2;
  static constexpr double kSlack = 216.0;
  static constexpr double kUsedLimitShare = 0.85;
  static constexpr double kShedShare = 0.55;

  struct Run
  {
    TimePoint m_ends;
    bool m_fails{ false };
    bool m_isRetry{ false };
  };

  [[nodiscard]] bool IsShed()
  {
    return m_sheds && std::uniform_real_distribution<>{}(m_random) < kShedShare;
  }

  void StartRun(bool aIsRetry)
  {
    m_retryShare.Record(m_now, aIsRetry);
    bool fails = false;
    for (int i = 0; i < 2; ++i) {
      fails = CallService(aIsRetry) || fails;
    }
    m_runs.push_back({ m_now + kRunTime, fails, aIsRetry });
  }

  /// \returns Whether the call failed.
  bool CallService(bool aIsRetry)
  {
    m_budget.Deposit(m_now, "service", 1, m_retryShare.At(m_now));
    m_calls.Add(m_now, kWindow);
    if (aIsRetry) {
      m_repeatedCalls.Add(m_now, kWindow);
    }
    if (!IsShed()) {
      return false;
    }
    if (!m_budget.Withdraw(m_now, "service", 1)) {
      return true;
    }
    m_repeatedCalls.Add(m_now, kWindow);
    return IsShed();
  }

  void FinishRuns()
  {
    while (!m_runs.empty() && m_runs.front().m_ends <= m_now) {
      const Run run = m_runs.front();
      m_runs.pop_front();
      const bool shouldRetry = run.m_fails && !run.m_isRetry &&
                               m_budget.Withdraw(m_now, "desk") &&
                               !m_budget.IsOtherServiceExhausted(m_now, "desk");
      if (shouldRetry) {
        StartRun(true);
      }
    }
  }

  TimePoint m_now{};
  bool m_sheds{ false };
  Random m_random{ 3 };
  RetryBudget m_budget{
    { kUsedLimitShare * kShare, kUsedLimitShare* kSlack, kWindow }
  };
  RetriedRunShare m_retryShare;
  WindowCounter m_calls;
  WindowCounter m_repeatedCalls;
  std::deque<Run> m_runs;
};

}

TEST_CASE("retries of runs and of their calls together stay within the budget")
{
  // Guards against retried runs that, within their own budget, exceed the
  // budget of the service they call.
  CHECK(CallersAndService{}.HighestRetryUse(12s, 30s) <= 1.0);
}
