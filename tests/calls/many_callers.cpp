#include "replay.hpp"

#include <doctest/doctest.h>

// Forty callers' daemons of one failure domain, few calls from each.

using namespace greengagehub;
using test::Replay;

namespace {

/// \param aAsks whether busy workers are asked to refuse.
/// \param aChoices workers that are weighed for each call; 0: all.
/// \returns Share of calls without an answer within the target.
double
MissedAt(double aLoad, bool aAsks, std::uint32_t aChoices)
{
  test::ReplaySetup setup;
  setup.m_domains[0].m_load = aLoad;
  setup.m_decisions.m_choices = aChoices;
  setup.m_decisions.m_sharesNews = false;
  if (!aAsks) {
    setup.m_decisions.m_maxBusy = 0;
  }
  return Replay{ setup }.Run().Missed();
}

}

TEST_CASE("where each caller's news is old, busy workers are asked")
{
  // Forty daemons share eight workers at 0.85 of what these can do. Each
  // hears from a worker every second or so, takes the same one for the best
  // as the others do, and calls wait there beside idle slots.
  const double waiting = MissedAt(0.85, false, 0);
  const double asking = MissedAt(0.85, true, 0);
  MESSAGE("missed their target: " << waiting << " waiting, " << asking
                                  << " asking");
  CHECK(asking < waiting / 2);
  CHECK(asking < 0.05);
}

TEST_CASE("where each caller's news is old, two are drawn and weighed")
{
  // At 0.95 of what the workers can do, whoever told the best news last is the
  // best for all forty daemons at once, until each has heard from it again. Of
  // two that each daemon draws for itself, the better one is a different one
  // for each.
  const double bestOfAll = MissedAt(0.95, true, 0);
  const double bestOfTwo = MissedAt(0.95, true, 2);
  MESSAGE("missed their target: " << bestOfAll << " best of all, " << bestOfTwo
                                  << " best of two");
  CHECK(bestOfTwo < bestOfAll / 2);
}
