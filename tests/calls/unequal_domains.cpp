#include "replay.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using test::Replay;
using test::ReplayResult;

namespace {

/// Three domains; only the first may be overloaded.
ReplayResult
RunReplay(bool aUsesDomainReports, double aFirstLoad)
{
  test::ReplaySetup setup;
  setup.m_domains = { { 60, 12, aFirstLoad },
                      { 60, 12, 0.6 },
                      { 60, 12, 0.6 } };
  setup.m_crossingCost = 0.06;
  setup.m_decisions.m_usesDomainReports = aUsesDomainReports;
  return Replay{ setup }.Run();
}

}

TEST_CASE("an overloaded domain sends a part of its calls to other domains")
{
  // Guards against sending calls from one full worker to the next.
  const ReplayResult ownReports = RunReplay(false, 1.2);
  const ReplayResult sharedReports = RunReplay(true, 1.2);
  MESSAGE("missed " << ownReports.Missed() << ", sharing reports "
                    << sharedReports.Missed());
  MESSAGE("crossed " << ownReports.Crossed() << ", "
                     << sharedReports.Crossed());
  MESSAGE("sends per call " << ownReports.Sends() << ", "
                            << sharedReports.Sends());
  CHECK(sharedReports.Missed() < 0.75 * ownReports.Missed());
}

TEST_CASE("almost no calls cross domains if each has enough capacity")
{
  const ReplayResult sharedReports = RunReplay(true, 0.7);
  MESSAGE("missed " << sharedReports.Missed() << ", crossed "
                    << sharedReports.Crossed());
  CHECK(sharedReports.Crossed() < 0.02);
}
