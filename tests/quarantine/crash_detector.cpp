#include "greengagehub/quarantine/crash_detector.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1h };
constexpr TimePoint kBefore{ kStart - 1s };

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
  CHECK(detector.OnConnectionLost(Run(1), kBefore));
  CHECK_FALSE(detector.OnConnectionLost(Run(2), kBefore));
  CHECK_FALSE(detector.OnConnectionLost(Run(3), kBefore));
  const auto crash = detector.OnProbed(kStart, true);
  REQUIRE(crash);
  CHECK(crash->m_runs.size() == 3);

  SUBCASE("a run lost later belongs to the same crash")
  {
    CHECK(detector.OnConnectionLost(Run(4), kBefore));
    const auto more = detector.OnProbed(kStart, true);
    REQUIRE(more);
    CHECK(more->m_number == crash->m_number);
    CHECK(more->m_runs.size() == 1);
  }
  SUBCASE("a loss after the restarted server has answered is a new crash")
  {
    detector.OnAlive();
    CHECK(detector.OnConnectionLost(Run(4), kBefore));
    const auto next = detector.OnProbed(kStart, true);
    REQUIRE(next);
    CHECK(next->m_number == crash->m_number + 1);
  }
}

TEST_CASE("a restarted server that crashes before it answers crashes anew")
{
  // Guards against a request that crashes each worker that runs it and is never
  // quarantined, as all its crashes count as the first one.
  CrashDetector detector;
  CHECK(detector.OnConnectionLost(Run(1), kBefore));
  const auto first = detector.OnProbed(kStart, true);
  REQUIRE(first);
  CHECK(detector.OnConnectionLost(Run(1), kStart + 1s));
  CHECK_FALSE(detector.OnConnectionLost(Run(2), kStart + 1s));
  const auto second = detector.OnProbed(kStart + 2s, true);
  REQUIRE(second);
  CHECK(second->m_number == first->m_number + 1);
  // Connections of the second process whose loss is seen late.
  CHECK(detector.OnConnectionLost(Run(3), kStart + 1s));
  const auto late = detector.OnProbed(kStart + 3s, true);
  REQUIRE(late);
  CHECK(late->m_number == second->m_number);
}

TEST_CASE("a connection closed by a running worker is not a crash")
{
  // Guards against connection resets and aborted answers that count as crashes
  // of their requests.
  CrashDetector detector;
  CHECK(detector.OnConnectionLost(Run(1), kBefore));
  CHECK_FALSE(detector.OnProbed(kStart, false));
  // The earlier loss does not count in a later crash.
  CHECK(detector.OnConnectionLost(Run(2), kBefore));
  const auto crash = detector.OnProbed(kStart, true);
  REQUIRE(crash);
  CHECK(crash->m_runs.size() == 1);
  CHECK(crash->m_runs.front().m_fingerprint == Fingerprint{ 0, 2 });
}
