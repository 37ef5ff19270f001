#include "greengagehub/calls/retry_budget.hpp"

#include <doctest/doctest.h>

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
