#include "greengagehub/calls/retry_budget.hpp"

#include "greengagehub/core/random.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

/// Makes calls at an even rate and asks for a retry after each.
std::uint32_t
RetriesOf(RetryBudget& aBudget, TimePoint aFrom, int aCalls, Duration aEvery)
{
  std::uint32_t retries = 0;
  for (int i = 0; i < aCalls; ++i) {
    const TimePoint now = aFrom + i * aEvery;
    aBudget.Deposit(now, "ledger");
    retries += aBudget.Withdraw(now, "ledger") ? 1 : 0;
  }
  return retries;
}

}

TEST_CASE(
  "where every worker sheds, retries stay a share of the window's calls")
{
  // The workers of a service shed half of what they get. Each daemon sends
  // what was shed to another worker, and the service gets half again as many
  // requests as there are calls, which makes it shed more.
  RetryBudget budget{ { .m_share = 0.2, .m_slack = 3.0, .m_window = 10s } };
  CHECK(RetriesOf(budget, kStart, 1000, 10ms) <= 203);
  CHECK(RetriesOf(budget, kStart + 10s, 1000, 10ms) <= 203);
}

TEST_CASE("a quiet time does not save up retries for a storm")
{
  // A budget that saves unused retries lets an hour's worth go out in the
  // first second of an outage.
  RetryBudget budget{ { .m_share = 0.2, .m_slack = 3.0, .m_window = 10s } };
  for (int i = 0; i < 10'000; ++i) {
    budget.Deposit(kStart + i * 10ms, "ledger");
  }
  CHECK(RetriesOf(budget, kStart + 100s, 1000, 1ms) <= 403);
}

TEST_CASE("services do not use each other's retries")
{
  RetryBudget budget{ { .m_share = 0.5, .m_slack = 0.0, .m_window = 10s } };
  for (int i = 0; i < 10; ++i) {
    budget.Deposit(kStart, "locker-app");
  }
  CHECK_FALSE(budget.Withdraw(kStart, "ledger"));
  CHECK(budget.Withdraw(kStart, "locker-app"));
}

TEST_CASE("what repeated runs call counts as repeats of the service called")
{
  // Desks are retried because their probes of the board fail. Each repeated
  // desk run probes the board again, and the board's daemons use their own
  // retries on top: it gets more repeats than the two budgets allow together.
  RetryBudget budget{ { .m_share = 0.2, .m_slack = 0.0, .m_window = 10s } };
  constexpr double kInherited = 0.15;
  std::uint32_t retries = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = kStart + i * 10ms;
    budget.Deposit(now, "board", 1, kInherited);
    retries += budget.Withdraw(now, "board", 1) ? 1 : 0;
  }
  CHECK(retries > 40);
  CHECK(retries + kInherited * 1000 <= 201);
}

TEST_CASE("lookups that a booking waits for keep part of the retries")
{
  // A board sheds half of everything. Callers of weekly plans come back by
  // themselves; a probe that is lost fails the booking view it was made for.
  RetryBudget budget{ { .m_share = 0.2, .m_slack = 0.0, .m_window = 10s } };
  std::uint32_t plans = 0;
  std::uint32_t probes = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = kStart + i * 10ms;
    budget.Deposit(now, "board", 2);
    budget.Deposit(now, "board", 1);
    if (i % 50 == 0) {
      // An odd route of highest priority does not make the others last.
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

TEST_CASE("the share of repeats is that of the last second")
{
  RepeatShare share;
  CHECK(share.At(kStart) == 0.0);
  for (int i = 0; i < 100; ++i) {
    share.Note(kStart + i * 5ms, i % 4 == 0);
  }
  CHECK(share.At(kStart + 500ms) == doctest::Approx(0.25));
  CHECK(share.At(kStart + 5s) == 0.0);
}

namespace {

/// Desks whose runs each ask a service twice; the desks' failed runs are made
/// again, and so are the service's calls that were turned away.
class DesksAndService
{
public:
  /// \returns The largest share of the window's budget that repeats at the
  /// service have taken in any window.
  double Play(std::chrono::seconds aShedsFrom, std::chrono::seconds aUntil)
  {
    double most = 0.0;
    const TimePoint begin{ 1h };
    for (m_now = begin; m_now < begin + aUntil; m_now += kStep) {
      m_sheds = m_now >= begin + aShedsFrom;
      RunEnded();
      for (int i = 0; i < kRunsAStep; ++i) {
        m_budget.Deposit(m_now, "desk");
        Begin(false);
      }
      const double calls = m_calls.Sum(m_now, kWindow);
      const double repeats = m_repeats.Sum(m_now, kWindow);
      most = std::max(most, repeats / (kShare * calls + kSlack));
    }
    return most;
  }

private:
  static constexpr auto kStep = 10ms;
  static constexpr auto kWindow = 10s;
  static constexpr auto kRunTime = 150ms;
  static constexpr int kRunsAStep = 8;
  static constexpr double kShare = 0.2;
  static constexpr double kSlack = 216.0;
  /// As daemons use of what they may.
  static constexpr double kUsed = 0.85;
  static constexpr double kShed = 0.55;

  struct Run
  {
    TimePoint m_ends;
    bool m_fails{ false };
    bool m_isRepeat{ false };
  };

  [[nodiscard]] bool IsShed()
  {
    return m_sheds && std::uniform_real_distribution<>{}(m_random) < kShed;
  }

  void Begin(bool aIsRepeat)
  {
    m_share.Note(m_now, aIsRepeat);
    bool fails = false;
    for (int i = 0; i < 2; ++i) {
      fails = Ask(aIsRepeat) || fails;
    }
    m_runs.push_back({ m_now + kRunTime, fails, aIsRepeat });
  }

  /// \returns Whether it failed.
  bool Ask(bool aIsRepeat)
  {
    m_budget.Deposit(m_now, "service", 1, m_share.At(m_now));
    m_calls.Add(m_now, kWindow);
    if (aIsRepeat) {
      m_repeats.Add(m_now, kWindow);
    }
    if (!IsShed()) {
      return false;
    }
    if (!m_budget.Withdraw(m_now, "service", 1)) {
      return true;
    }
    m_repeats.Add(m_now, kWindow);
    return IsShed();
  }

  void RunEnded()
  {
    while (!m_runs.empty() && m_runs.front().m_ends <= m_now) {
      const Run run = m_runs.front();
      m_runs.pop_front();
      const bool again = run.m_fails && !run.m_isRepeat &&
                         m_budget.Withdraw(m_now, "desk") &&
                         !m_budget.IsUsedUpBeside(m_now, "desk");
      if (again) {
        Begin(true);
      }
    }
  }

  TimePoint m_now{};
  bool m_sheds{ false };
  Random m_random{ 3 };
  RetryBudget m_budget{ { kUsed * kShare, kUsed* kSlack, kWindow } };
  RepeatShare m_share;
  WindowCount m_calls;
  WindowCount m_repeats;
  std::deque<Run> m_runs;
};

}

TEST_CASE("retries of runs and of their calls together keep to the budget")
{
  // A service turns away 55 of 100 calls from one moment on. Its calls are made
  // again until its budget is used; the runs that failed nevertheless are made
  // again by another service's budget, and call it anew.
  CHECK(DesksAndService{}.Play(12s, 30s) <= 1.0);
}
