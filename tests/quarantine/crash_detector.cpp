#include "greengagehub/quarantine/crash_detector.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

Witness
Run(std::uint64_t aFingerprint)
{
  return { { 0, aFingerprint }, 40ms, std::nullopt };
}

}

TEST_CASE("a crash is reported with all runs that it interrupted")
{
  // Several connections close before the first probe returns.
  CrashDetector detector;
  CHECK(detector.OnConnectionLost(Run(1)));
  CHECK_FALSE(detector.OnConnectionLost(Run(2)));
  CHECK_FALSE(detector.OnConnectionLost(Run(3)));
  const auto crash = detector.OnProbed(true);
  REQUIRE(crash);
  CHECK(crash->m_runs.size() == 3);

  SUBCASE("a run lost later belongs to the same crash")
  {
    CHECK(detector.OnConnectionLost(Run(4)));
    const auto more = detector.OnProbed(true);
    REQUIRE(more);
    CHECK(more->m_number == crash->m_number);
    CHECK(more->m_runs.size() == 1);
  }
  SUBCASE("a loss after the restarted server has answered is a new crash")
  {
    detector.OnAlive();
    CHECK(detector.OnConnectionLost(Run(4)));
    const auto next = detector.OnProbed(true);
    REQUIRE(next);
    CHECK(next->m_number == crash->m_number + 1);
  }
}

TEST_CASE("a connection closed by a running worker is not a crash")
{
  // Guards against connection resets and aborted answers that count as crashes
  // of their requests.
  CrashDetector detector;
  CHECK(detector.OnConnectionLost(Run(1)));
  CHECK_FALSE(detector.OnProbed(false));
  // The earlier loss does not count in a later crash.
  CHECK(detector.OnConnectionLost(Run(2)));
  const auto crash = detector.OnProbed(true);
  REQUIRE(crash);
  CHECK(crash->m_runs.size() == 1);
  CHECK(crash->m_runs.front().m_fingerprint == Fingerprint{ 0, 2 });
}
