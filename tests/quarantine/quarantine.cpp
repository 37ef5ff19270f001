#include "greengagehub/quarantine/quarantine.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };
constexpr Fingerprint kCrashing{ 7, 7 };
constexpr Fingerprint kOther{ 8, 8 };

/// \param aRan how long each request had been running.
CrashReport
MakeReport(std::uint64_t aId,
           std::vector<Fingerprint> aFingerprints,
           Duration aRan = 60ms)
{
  CrashReport report{ aId, "lockers-1", "locker-app", {}, {} };
  for (const Fingerprint each : aFingerprints) {
    report.m_ran.push_back({ each, aRan, std::nullopt });
  }
  return report;
}

/// Reports separate crashes that each interrupted the same requests.
void
ReportCrashes(Quarantine& aQuarantine,
              TimePoint aFrom,
              int aCount,
              const std::vector<Fingerprint>& aFingerprints)
{
  static std::uint64_t id = 1000;
  for (int i = 0; i < aCount; ++i) {
    static_cast<void>(aQuarantine.OnUpdate(
      aFrom + i * 500ms, { { MakeReport(++id, aFingerprints) }, {} }));
  }
}

}

TEST_CASE(
  "a request is quarantined after its third crash, whichever daemon reports it")
{
  Quarantine quarantine;
  const auto first =
    quarantine.OnLocalCrash(kStart, MakeReport(1, { kCrashing }));
  CHECK(first.m_update.m_crashes.size() == 1);
  CHECK_FALSE(quarantine.IsSuspect(kCrashing));
  static_cast<void>(
    quarantine.OnUpdate(kStart + 1s, { { MakeReport(2, { kCrashing }) }, {} }));
  CHECK(quarantine.IsSuspect(kCrashing));
  CHECK_FALSE(quarantine.IsQuarantined(kStart + 1s, kCrashing));
  const auto third =
    quarantine.OnUpdate(kStart + 2s, { { MakeReport(3, { kCrashing }) }, {} });
  CHECK(quarantine.IsQuarantined(kStart + 2s, kCrashing));
  CHECK(third.m_verdicts.size() == 1);
  CHECK(third.m_ownVerdicts.size() == 1);
  CHECK(quarantine.CountQuarantined() == 1);
}

TEST_CASE("a crash that is reported twice counts once")
{
  Quarantine quarantine;
  for (int i = 0; i < 5; ++i) {
    const auto changes = quarantine.OnUpdate(
      kStart + i * 1s, { { MakeReport(1, { kCrashing }) }, {} });
    CHECK(changes.m_update.IsEmpty() == (i > 0));
  }
  CHECK(quarantine.CrashCount(kCrashing) == 1);
}

TEST_CASE("an outage of many workers counts as one crash")
{
  // The request was running on four workers when they lost power.
  Quarantine quarantine;
  for (std::uint64_t i = 1; i <= 4; ++i) {
    static_cast<void>(quarantine.OnUpdate(
      kStart + std::chrono::milliseconds{ 2 * i },
      { { MakeReport(i, { kOther }, std::chrono::milliseconds{ 20 + 10 * i }) },
        {} }));
  }
  CHECK(quarantine.CrashCount(kOther) == 1);
  CHECK_FALSE(quarantine.IsQuarantined(kStart + 1s, kOther));
}

TEST_CASE("copies that crash several workers at once make a suspect")
{
  // Guards against a request that is sent in copies: all workers crash at the
  // same moment, again and again, before it is quarantined.
  const auto crashAtOnce = [](Quarantine& aQuarantine) {
    for (std::uint64_t i = 1; i <= 3; ++i) {
      static_cast<void>(aQuarantine.OnUpdate(
        kStart + 1s, { { MakeReport(i, { kCrashing }) }, {} }));
    }
  };
  Quarantine quarantine;
  SUBCASE("without a recent success")
  {
    crashAtOnce(quarantine);
    CHECK(quarantine.CrashCount(kCrashing) == 1);
    CHECK(quarantine.IsSuspect(kCrashing));
    // A success clears the suspicion on all daemons.
    const auto success = quarantine.OnSuccess(kStart + 2s, kCrashing);
    CHECK(success.m_update.m_verdicts.size() == 1);
    CHECK_FALSE(quarantine.IsSuspect(kCrashing));
    Quarantine other;
    crashAtOnce(other);
    static_cast<void>(other.OnUpdate(kStart + 2s, success.m_update));
    CHECK_FALSE(other.IsSuspect(kCrashing));
  }
  SUBCASE("after a recent success")
  {
    static_cast<void>(quarantine.OnSuccess(kStart, kCrashing));
    crashAtOnce(quarantine);
    CHECK_FALSE(quarantine.IsSuspect(kCrashing));
  }
}

TEST_CASE("each crash of a retried request counts")
{
  // Each retry starts after the crash before it.
  Quarantine quarantine;
  TimePoint now = kStart;
  for (std::uint64_t i = 1; i <= 3; ++i) {
    now += 45ms;
    static_cast<void>(
      quarantine.OnUpdate(now, { { MakeReport(i, { kCrashing }, 40ms) }, {} }));
  }
  CHECK(quarantine.IsQuarantined(now, kCrashing));
}

TEST_CASE("a successful run clears earlier crashes")
{
  Quarantine quarantine;
  ReportCrashes(quarantine, kStart, 2, { kOther });
  const auto changes = quarantine.OnSuccess(kStart + 2s, kOther);
  CHECK(quarantine.CrashCount(kOther) == 0);
  // The other daemons counted two crashes and must clear them too.
  REQUIRE(changes.m_update.m_verdicts.size() == 1);
  Quarantine elsewhere;
  ReportCrashes(elsewhere, kStart, 2, { kOther });
  static_cast<void>(elsewhere.OnUpdate(kStart + 2s, changes.m_update));
  CHECK(elsewhere.CrashCount(kOther) == 0);
}

TEST_CASE("a recent success doubles the crash limit")
{
  // A frequent lookup is running during most crashes.
  Quarantine quarantine;
  static_cast<void>(quarantine.OnSuccess(kStart, kOther));
  ReportCrashes(quarantine, kStart + 1s, 3, { kOther });
  CHECK_FALSE(quarantine.IsQuarantined(kStart + 3s, kOther));
  // A request that starts to crash later is still quarantined.
  ReportCrashes(quarantine, kStart + 5s, 3, { kOther });
  CHECK(quarantine.IsQuarantined(kStart + 8s, kOther));
}

TEST_CASE("crashes of a quarantined request do not count against others")
{
  // Guards against quarantining a lookup that ran beside the crashing request.
  Quarantine quarantine;
  ReportCrashes(quarantine, kStart, 3, { kCrashing });
  CHECK(quarantine.IsQuarantined(kStart + 2s, kCrashing));
  ReportCrashes(quarantine, kStart + 3s, 5, { kCrashing, kOther });
  CHECK(quarantine.CrashCount(kOther) == 0);
  CHECK_FALSE(quarantine.IsQuarantined(kStart + 6s, kOther));
}

TEST_CASE("a successful run lifts a quarantine on all daemons")
{
  // A concurrent copy succeeds after the verdict.
  Quarantine quarantine;
  ReportCrashes(quarantine, kStart, 3, { kOther });
  REQUIRE(quarantine.IsQuarantined(kStart + 2s, kOther));
  Quarantine elsewhere;
  static_cast<void>(
    elsewhere.OnUpdate(kStart + 2s, { {}, quarantine.Verdicts(kStart + 2s) }));
  REQUIRE(elsewhere.IsQuarantined(kStart + 2s, kOther));

  const auto lifted = quarantine.OnSuccess(kStart + 3s, kOther);
  CHECK_FALSE(quarantine.IsQuarantined(kStart + 3s, kOther));
  static_cast<void>(elsewhere.OnUpdate(kStart + 3s, lifted.m_update));
  CHECK_FALSE(elsewhere.IsQuarantined(kStart + 3s, kOther));
  // The superseded verdict arrives late.
  QuarantineVerdict late;
  late.m_fingerprint = kOther;
  late.m_generation = 1;
  late.m_isQuarantined = true;
  static_cast<void>(elsewhere.OnUpdate(kStart + 4s, { {}, { late } }));
  CHECK_FALSE(elsewhere.IsQuarantined(kStart + 4s, kOther));
  CHECK(elsewhere.Summary() == quarantine.Summary());
}

TEST_CASE(
  "an operator lifts a quarantine, and the next verdict has a new generation")
{
  Quarantine quarantine;
  CHECK_FALSE(quarantine.Lift(kStart, kCrashing));
  ReportCrashes(quarantine, kStart, 3, { kCrashing });
  CHECK(quarantine.Lift(kStart + 2s, kCrashing));
  CHECK_FALSE(quarantine.IsQuarantined(kStart + 2s, kCrashing));
  ReportCrashes(quarantine, kStart + 2min, 3, { kCrashing });
  CHECK(quarantine.IsQuarantined(kStart + 122s, kCrashing));
  CHECK(quarantine.Verdicts(kStart + 122s).at(0).m_generation == 2);
}

TEST_CASE("a quarantine expires, and one more crash renews it")
{
  Quarantine quarantine;
  ReportCrashes(quarantine, kStart, 3, { kCrashing });
  const TimePoint over = kStart + 2s + Quarantine::kQuarantineTime;
  const auto lifted = quarantine.OnTick(over);
  CHECK(lifted.m_verdicts.size() == 1);
  CHECK(lifted.m_update.IsEmpty());
  CHECK_FALSE(quarantine.IsQuarantined(over, kCrashing));
  CHECK(quarantine.IsSuspect(kCrashing));
  ReportCrashes(quarantine, over + 1s, 1, { kCrashing });
  CHECK(quarantine.IsQuarantined(over + 1s, kCrashing));

  const auto late = quarantine.OnTick(over + 2 * Quarantine::kRetention);
  static_cast<void>(late);
  static_cast<void>(quarantine.OnTick(over + 4 * Quarantine::kRetention));
  CHECK(quarantine.CrashCount(kCrashing) == 0);
  CHECK(quarantine.Summary() == 0);
}

TEST_CASE("tables stay bounded under many crashes and verdicts")
{
  // Old crashes are dropped, while quarantined requests stay.
  Quarantine quarantine;
  ReportCrashes(quarantine, kStart, 3, { kCrashing });
  for (std::uint64_t i = 1; i <= 2 * Quarantine::kMaxCrashes; ++i) {
    static_cast<void>(quarantine.OnUpdate(
      kStart + 10s, { { MakeReport(i, { Fingerprint{ i, i } }) }, {} }));
  }
  CHECK(quarantine.IsQuarantined(kStart + 11s, kCrashing));
  std::vector<QuarantineVerdict> lifted;
  for (std::uint64_t i = 1; i <= 2 * Quarantine::kMaxVerdicts; ++i) {
    QuarantineVerdict verdict;
    verdict.m_fingerprint = { i, 0 };
    verdict.m_generation = 1;
    lifted.push_back(verdict);
  }
  static_cast<void>(quarantine.OnUpdate(kStart + 12s, { {}, lifted }));
  CHECK(quarantine.Verdicts(kStart + 12s).size() <= Quarantine::kMaxVerdicts);
  CHECK(quarantine.IsQuarantined(kStart + 12s, kCrashing));
}

TEST_CASE("a crash with many runs is split into datagrams")
{
  QuarantineUpdate update;
  update.m_crashes.push_back(
    MakeReport(1, std::vector<Fingerprint>(100, kOther)));
  for (std::uint64_t i = 0; i < 100; ++i) {
    update.m_crashes[0].m_ran[i].m_fingerprint = { i, i };
  }
  Quarantine quarantine;
  for (const QuarantineUpdate& each : SplitIntoDatagrams(update)) {
    REQUIRE(each.m_crashes.size() == 1);
    CHECK(each.m_crashes[0].m_ran.size() <= 30);
    static_cast<void>(quarantine.OnUpdate(kStart, each));
  }
  CHECK(quarantine.CrashCount({ 99, 99 }) == 1);
  CHECK(quarantine.CrashCount({ 0, 0 }) == 1);
}
