#include "greengagehub/calls/worker_presence.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;
using Change = WorkerPresence::Change;

namespace {

const TimePoint kStart{ 1h };

WorkerReport
Report(const char* aId, std::uint64_t aSequence, bool aLeaving = false)
{
  return { .m_start = { aId, std::nullopt },
           .m_service = "locker-app",
           .m_slots = 18,
           .m_leaving = aLeaving,
           .m_sequence = aSequence };
}

}

TEST_CASE("a worker that leaves never comes back under the same id")
{
  // A report sent before the leave arrives after it, held up on the way. Taken
  // at its word, the worker would get new calls while it shuts down.
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnReport(kStart, Report("a", 1)) == Change::Arrived);
  CHECK(worker.TakesCalls());
  CHECK(worker.OnReport(kStart, Report("a", 3, true)) == Change::Leaving);
  CHECK(worker.OnReport(kStart, Report("a", 2)) == Change::None);
  CHECK(worker.OnReport(kStart, Report("a", 4)) == Change::None);
  CHECK_FALSE(worker.TakesCalls());
}

TEST_CASE("a farewell without notice counts as leaving")
{
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnLeft(kStart, { "a", std::nullopt }) == Change::None);
  CHECK(worker.OnReport(kStart, Report("a", 1)) == Change::None);
  CHECK(worker.OnReport(kStart, Report("b", 1)) == Change::Arrived);
  CHECK(worker.OnLeft(kStart, { "b", std::nullopt }) == Change::Leaving);
  CHECK_FALSE(worker.TakesCalls());
}

TEST_CASE("a late report of an earlier start does not unseat its successor")
{
  // The worker's reports are held up by a cut; it crashes behind it and starts
  // again. The new start reports first, then the old one's report arrives. All
  // requests would be addressed to a start that is gone, and be turned away.
  WorkerPresence worker{ 1500ms };
  SUBCASE("the earlier start was known here")
  {
    CHECK(worker.OnReport(kStart, Report("old", 40)) == Change::Arrived);
    CHECK(worker.OnReport(kStart + 8s, Report("new", 1)) == Change::Arrived);
    CHECK(worker.OnReport(kStart + 9s, Report("old", 41)) == Change::None);
  }
  SUBCASE("it was not, as this daemon has started since")
  {
    CHECK(worker.OnReport(kStart, Report("new", 2)) == Change::Arrived);
    CHECK(worker.OnReport(kStart + 1s, Report("old", 41)) == Change::None);
  }
  CHECK(worker.Current()->m_start.m_id == "new");
}

TEST_CASE("a worker that was asked counts until it reports")
{
  // A daemon has been restarted beside a worker that runs on. Its next report
  // may be more than a second away, in which its slots would stand empty.
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnProbed(kStart, Report("a", 7)) == Change::Arrived);
  CHECK(worker.TakesCalls());
  CHECK(worker.OnReport(kStart, Report("a", 1, true)) == Change::Leaving);
  CHECK(worker.OnProbed(kStart, Report("b", 0)) == Change::None);
  CHECK(worker.Current()->m_start.m_id == "a");
}

TEST_CASE("where the known start has fallen silent, another one is believed")
{
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnReport(kStart, Report("a", 2)) == Change::Arrived);
  CHECK(worker.IsSilent(kStart + 5s));
  CHECK(worker.OnReport(kStart + 5s, Report("b", 9)) == Change::Arrived);
  CHECK(worker.Current()->m_start.m_id == "b");
}
