#include "replay.hpp"

#include <doctest/doctest.h>

// Failure domains whose traffic does not match their workers.

using namespace greengagehub;
using test::Replay;
using test::ReplayResult;

namespace {

/// Three domains; the first has more calls than its workers can take, the
/// others have room for them.
ReplayResult
Play(bool aSharesNews, double aBusiest)
{
  test::ReplaySetup setup;
  setup.m_domains = { { 60, 12, aBusiest }, { 60, 12, 0.6 }, { 60, 12, 0.6 } };
  setup.m_crossing = 0.06;
  setup.m_decisions.m_sharesNews = aSharesNews;
  return Replay{ setup }.Run();
}

}

TEST_CASE(
  "a domain with more traffic than its workers can take sends a part on")
{
  // Its daemons hear from each of the workers nearby every second or so, and
  // took each for idle in between: calls went from one full worker to the next
  // and came late, while a third of the slots elsewhere stood free.
  const ReplayResult alone = Play(false, 1.2);
  const ReplayResult shared = Play(true, 1.2);
  MESSAGE("missed " << alone.Missed() << ", sharing news " << shared.Missed());
  MESSAGE("crossed " << alone.Crossed() << ", " << shared.Crossed());
  MESSAGE("sends a call " << alone.Sends() << ", " << shared.Sends());
  CHECK(shared.Missed() < 0.75 * alone.Missed());
}

TEST_CASE("where each domain has room, next to nothing crosses")
{
  const ReplayResult shared = Play(true, 0.7);
  MESSAGE("missed " << shared.Missed() << ", crossed " << shared.Crossed());
  CHECK(shared.Crossed() < 0.02);
}
