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

/// What a peer knows of a worker that was reported without a start time.
PreviousWorker
Previous(const char* aId)
{
  return { .m_idTag = IdTagOf(aId),
           .m_incarnation = TagOf({ aId, std::nullopt }),
           .m_version = "v7",
           .m_slots = 18 };
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
  CHECK(worker.OnPrevious(Previous("a")) == Change::None);
  CHECK(worker.AwaitsHealthCheck());
  CHECK(worker.OnProbed(kStart, "a", "locker-app") == Change::Arrived);
  CHECK(worker.TakesCalls());
  CHECK(worker.Current()->m_slots == 18);
  CHECK(worker.Current()->m_version == "v7");
  CHECK(worker.OnReport(kStart, Report("a", 1, true)) == Change::Leaving);
  CHECK(worker.OnProbed(kStart, "b", "locker-app") == Change::None);
  CHECK(worker.Current()->m_incarnation.m_id == "a");
}

TEST_CASE("a health check response of another worker is not used")
{
  // Guards against calls to a worker of another service at the address that the
  // local worker had.
  WorkerPresence worker{ 1500ms };
  SUBCASE("no worker is known there")
  {
    CHECK_FALSE(worker.AwaitsHealthCheck());
  }
  SUBCASE("another one is")
  {
    CHECK(worker.OnPrevious(Previous("b")) == Change::None);
  }
  SUBCASE("the known one has left")
  {
    PreviousWorker left = Previous("a");
    left.m_isLeaving = true;
    CHECK(worker.OnPrevious(Previous("a")) == Change::None);
    CHECK(worker.OnPrevious(left) == Change::None);
    CHECK_FALSE(worker.AwaitsHealthCheck());
  }
  CHECK(worker.OnProbed(kStart, "a", "locker-app") == Change::None);
  CHECK_FALSE(worker.Current());
  CHECK(worker.OnReport(kStart, Report("c", 9)) == Change::Arrived);
}

TEST_CASE("a worker takes no calls once another one answers at its address")
{
  // Guards against calls that another worker rejects, until the reports end.
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnReport(kStart, Report("a", 5)) == Change::Arrived);
  CHECK(worker.OnProbed(kStart, "a", "locker-app") == Change::None);
  CHECK(worker.TakesCalls());
  SUBCASE("as a rejected call shows")
  {
    CHECK(worker.OnReplaced() == Change::Replaced);
  }
  SUBCASE("as a health check shows")
  {
    CHECK(worker.OnProbed(kStart, "b", "locker-app") == Change::Replaced);
  }
  CHECK_FALSE(worker.TakesCalls());
  CHECK(worker.OnReplaced() == Change::None);
  CHECK(worker.OnReport(kStart + 1s, Report("a", 4)) == Change::None);
  CHECK_FALSE(worker.TakesCalls());
}

TEST_CASE("a replaced worker's address takes calls after the next report")
{
  // Guards against a worker that stays unused because of one wrong response.
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnReport(kStart, Report("a", 5)) == Change::Arrived);
  CHECK(worker.OnReplaced() == Change::Replaced);
  SUBCASE("which is its own")
  {
    CHECK(worker.OnReport(kStart + 1s, Report("a", 6)) == Change::Updated);
  }
  SUBCASE("which is its successor's")
  {
    CHECK(worker.OnReport(kStart + 1s, Report("c", 9)) == Change::Arrived);
  }
  CHECK(worker.TakesCalls());
}

TEST_CASE("a worker that left before the daemon's restart takes no calls")
{
  // Guards against a delayed heartbeat that a daemon without a memory takes for
  // one of a running worker.
  WorkerPresence worker{ 1500ms };
  PreviousWorker left = Previous("a");
  left.m_isLeaving = true;
  SUBCASE("the heartbeat comes after the peers' knowledge")
  {
    CHECK(worker.OnPrevious(left) == Change::None);
    CHECK(worker.OnReport(kStart, Report("a", 7)) == Change::None);
  }
  SUBCASE("the heartbeat comes before it")
  {
    CHECK(worker.OnReport(kStart, Report("a", 7)) == Change::Arrived);
    CHECK(worker.OnPrevious(left) == Change::Leaving);
  }
  CHECK_FALSE(worker.TakesCalls());
  CHECK(worker.OnReport(kStart + 9s, Report("b", 1)) == Change::Arrived);
}

TEST_CASE("another incarnation is accepted while the current one is silent")
{
  WorkerPresence worker{ 1500ms };
  CHECK(worker.OnReport(kStart, Report("a", 2)) == Change::Arrived);
  CHECK(worker.IsSilent(kStart + 5s));
  CHECK(worker.OnReport(kStart + 5s, Report("b", 9)) == Change::Arrived);
  CHECK(worker.Current()->m_incarnation.m_id == "b");
}
