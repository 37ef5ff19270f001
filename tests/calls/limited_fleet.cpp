#include "replay.hpp"

#include <doctest/doctest.h>

// Callers' daemons and five workers, of which some state a limit.

using namespace greengagehub;
using test::Replay;
using test::ReplayResult;

namespace {

constexpr double kSeconds = 20.0;

ReplayResult
RunWithLimits(std::size_t aLimitedWorkers,
              double aLimit,
              double aLoad,
              std::size_t aCallers = 40)
{
  test::ReplaySetup setup;
  setup.m_domains[0].m_callers = aCallers;
  setup.m_domains[0].m_workers = 5;
  setup.m_domains[0].m_load = aLoad;
  setup.m_domains[0].m_limitedWorkers = aLimitedWorkers;
  setup.m_domains[0].m_limit = aLimit;
  return Replay{ setup }.Run();
}

}

TEST_CASE("one limited worker of five leaves the others' calls as they are")
{
  // It takes 10 of the 30 to 90 calls a second that it would get.
  const ReplayResult before = RunWithLimits(0, 0.0, 0.5);
  const ReplayResult result = RunWithLimits(1, 10.0, 0.5);
  MESSAGE("missed " << before.Missed() << ", limited " << result.Missed()
                    << "; sends per call " << before.Sends() << ", "
                    << result.Sends());
  CHECK(result.m_limitedRuns <= 1.1 * kSeconds * 10.0);
  CHECK(result.m_answered == result.m_calls);
  CHECK(result.Missed() < before.Missed() + 0.02);
  CHECK(result.Sends() < before.Sends() + 0.5);
}

TEST_CASE("with all workers at their limits callers get what these allow")
{
  // Three to four times as much is asked; refusals must not multiply.
  const ReplayResult result = RunWithLimits(5, 15.0, 0.9);
  MESSAGE(result.m_answered << " answered of " << result.m_calls
                            << ", sends per call " << result.Sends());
  const double allowed = kSeconds * 5 * 15.0;
  CHECK(result.m_answered >= 0.95 * allowed);
  CHECK(result.m_answered <= 1.1 * allowed);
  CHECK(result.Sends() < 2.5);
}

TEST_CASE("a few callers' daemons use up low limits as well")
{
  // Guards against a back-off that leaves a limit unused between few callers.
  for (const double limit : { 4.0, 15.0, 40.0 }) {
    CAPTURE(limit);
    const ReplayResult result = RunWithLimits(5, limit, 0.9, 9);
    CHECK(result.m_answered >= 0.95 * kSeconds * 5 * limit);
    CHECK(result.m_answered <= 1.1 * kSeconds * 5 * limit);
  }
}
