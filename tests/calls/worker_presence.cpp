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
  return { .m_incarnation = { aId, std::nullopt },
           .m_service = "locker-app",
           .m_slots = 18,
           .m_isDraining = aLeaving,
           .m_sequence = aSequence };
}

}

TEST_CASE("an incarnation that leaves never takes calls again")
{
  // Guards against a delayed report that sends calls to a worker that is
  // shutting down.
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnReport(kStart, Report("a", 1)) == Change::Arrived);
  CHECK(worker.TakesCalls());
  CHECK(worker.OnReport(kStart, Report("a", 3, true)) == Change::Leaving);
  CHECK(worker.OnReport(kStart, Report("a", 2)) == Change::None);
  CHECK(worker.OnReport(kStart, Report("a", 4)) == Change::None);
  CHECK_FALSE(worker.TakesCalls());
}

TEST_CASE("a deregistration without a preceding report counts as leaving")
{
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnDeregistered(kStart, { "a", std::nullopt }) == Change::None);
  CHECK(worker.OnReport(kStart, Report("a", 1)) == Change::None);
  CHECK(worker.OnReport(kStart, Report("b", 1)) == Change::Arrived);
  CHECK(worker.OnDeregistered(kStart, { "b", std::nullopt }) ==
        Change::Leaving);
  CHECK_FALSE(worker.TakesCalls());
}

TEST_CASE("a late report of a past incarnation is ignored")
{
  // Guards against requests to an incarnation that no longer runs.
  WorkerPresence worker{ 1500ms };
  SUBCASE("the past incarnation was known")
  {
    CHECK(worker.OnReport(kStart, Report("old", 40)) == Change::Arrived);
    CHECK(worker.OnReport(kStart + 8s, Report("new", 1)) == Change::Arrived);
    CHECK(worker.OnReport(kStart + 9s, Report("old", 41)) == Change::None);
  }
  SUBCASE("the past incarnation was unknown, as the daemon restarted")
  {
    CHECK(worker.OnReport(kStart, Report("new", 2)) == Change::Arrived);
    CHECK(worker.OnReport(kStart + 1s, Report("old", 41)) == Change::None);
  }
  CHECK(worker.Current()->m_incarnation.m_id == "new");
}

TEST_CASE("a health check response is used until the first heartbeat")
{
  // Guards against a restarted daemon that sends no calls until a heartbeat.
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnProbed(kStart, Report("a", 7)) == Change::Arrived);
  CHECK(worker.TakesCalls());
  CHECK(worker.OnReport(kStart, Report("a", 1, true)) == Change::Leaving);
  CHECK(worker.OnProbed(kStart, Report("b", 0)) == Change::None);
  CHECK(worker.Current()->m_incarnation.m_id == "a");
}

TEST_CASE("another incarnation is accepted while the current one is silent")
{
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnReport(kStart, Report("a", 2)) == Change::Arrived);
  CHECK(worker.IsSilent(kStart + 5s));
  CHECK(worker.OnReport(kStart + 5s, Report("b", 9)) == Change::Arrived);
  CHECK(worker.Current()->m_incarnation.m_id == "b");
}
