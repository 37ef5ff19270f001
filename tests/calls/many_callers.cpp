#include "replay.hpp"

#include <doctest/doctest.h>

// Forty daemons in one failure domain, each with few calls and thus with
// outdated load reports.

using namespace greengagehub;
using test::Replay;

namespace {

/// \param aChoices workers compared for each call; 0: all.
/// \returns Share of calls without an answer within the target.
double
MissedShare(double aLoad, bool aRefuseIfBusy, std::uint32_t aChoices)
{
  test::ReplaySetup setup;
  setup.m_domains[0].m_load = aLoad;
  setup.m_decisions.m_choices = aChoices;
  setup.m_decisions.m_usesDomainReports = false;
  if (!aRefuseIfBusy) {
    setup.m_decisions.m_maxBusyReplies = 0;
  }
  return Replay{ setup }.Run().Missed();
}

}

TEST_CASE("with outdated load reports, refusals by busy workers cut late calls")
{
  // Guards against calls queued at one worker while others are idle.
  const double queueing = MissedShare(0.85, false, 0);
  const double refusing = MissedShare(0.85, true, 0);
  MESSAGE("missed their target: " << queueing << " queueing, " << refusing
                                  << " refusing");
  CHECK(refusing < queueing / 2);
  CHECK(refusing < 0.05);
}

TEST_CASE("with outdated load reports, comparing two random workers beats "
          "comparing all")
{
  // Guards against all daemons selecting the worker with the best report until
  // each has received a new one.
  const double bestOfAll = MissedShare(0.95, true, 0);
  const double bestOfTwo = MissedShare(0.95, true, 2);
  MESSAGE("missed their target: " << bestOfAll << " best of all, " << bestOfTwo
                                  << " best of two");
  CHECK(bestOfTwo < bestOfAll / 2);
}
