#include "testkit/fleet.hpp"

#include <csignal>
#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr const char* kRoutes = R"({
  "services":{"locker-app":{},"ledger":{}},
  "routes":{"release":{"path":"/release","service":"locker-app",
                       "idempotent":false},
            "status":{"path":"/status","service":"locker-app",
                      "idempotent":true,"class":"lookup"}}})";

/// Starts three workers of locker-app, and ledger-1, whose daemon calls them.
void
StartLockers(Fleet& aFleet, const WorkerSpec& aTemplate = {})
{
  for (const char* slot : { "locker-app-1", "locker-app-2", "locker-app-3" }) {
    WorkerSpec spec = aTemplate;
    spec.m_slot = slot;
    spec.m_service = "locker-app";
    aFleet.Add(spec);
  }
  aFleet.Add({ .m_slot = "ledger-1", .m_service = "ledger" });
  REQUIRE(aFleet.WaitForMembers());
  REQUIRE(aFleet.SubmitPatch("ledger-1", "routes", 0, kRoutes));
  REQUIRE(aFleet.WaitForVersion(1));
}

CallReport
CheckAndLog(const Fleet& aFleet, const std::vector<CallRecord>& aRecords)
{
  const CallReport report = CheckCalls(aRecords, aFleet.AllRuns());
  MESSAGE(Describe(report));
  return report;
}

}

TEST_CASE("answers that overtake each other reach their own callers")
{
  // Each body contains its request's id; another id means that answers were
  // swapped.
  Fleet fleet;
  StartLockers(fleet);
  fleet.SetBackendFaults("locker-app-1", { { "service_ms", 40 } });
  fleet.SetBackendFaults("locker-app-2", { { "service_ms", 7 } });
  const auto records = RunLoad({ .m_urls = { fleet.CallsUrl("ledger-1") },
                                 .m_rate = 400,
                                 .m_count = 400 });
  const CallReport report = CheckAndLog(fleet, records);
  CHECK(report.IsClean());
  CHECK(report.m_answered == 400);
}

TEST_CASE("a worker's daemon is killed under load")
{
  // No release may run twice, and none reported as not run may have run.
  Fleet fleet;
  StartLockers(fleet, { .m_slots = 4, .m_serviceMs = 10 });
  const auto records = RunLoad(
    { .m_urls = { fleet.CallsUrl("ledger-1") }, .m_rate = 300, .m_count = 600 },
    { { 200, [&] { fleet.Daemon("locker-app-1").Kill(); } } });
  const CallReport report = CheckAndLog(fleet, records);
  CHECK(report.IsClean());
  CHECK(report.m_disconnected == 0);
  CHECK(report.m_answered > 500);
}

TEST_CASE("a worker's daemon is paused and resumed under load")
{
  // A daemon is paused for longer than its links' silence limit. By then the
  // callers have received answers for requests that it has not read; these must
  // not start afterwards.
  Fleet fleet;
  StartLockers(fleet, { .m_slots = 4, .m_serviceMs = 10 });
  Process& paused = fleet.Daemon("locker-app-1");
  const auto records = RunLoad({ .m_urls = { fleet.CallsUrl("ledger-1") },
                                 .m_rate = 200,
                                 .m_count = 1000 },
                               { { 200, [&] { paused.Signal(SIGSTOP); } },
                                 { 800, [&] { paused.Signal(SIGCONT); } } });
  const CallReport report = CheckAndLog(fleet, records);
  CHECK(report.IsClean());
  CHECK(report.m_disconnected == 0);
  CHECK(report.m_answered > 800);
}

TEST_CASE("a backend server closes its connection between run and answer")
{
  // The call ran, but no byte of its answer arrives: the caller must receive
  // "unknown", and no layer may send the release again.
  Fleet fleet;
  StartLockers(
    fleet, { .m_serviceMs = 1, .m_backendArguments = { "--cut-ms", "100" } });
  // Opens keep-alive connections first: HTTP clients retry silently only there.
  static_cast<void>(RunLoad({ .m_urls = { fleet.CallsUrl("ledger-1") },
                              .m_count = 60,
                              .m_prefix = "warm-" }));
  for (const char* slot : { "locker-app-1", "locker-app-2", "locker-app-3" }) {
    fleet.SetBackendFaults(slot, { { "cut_after_run", 3 } });
  }
  const auto records = RunLoad(
    { .m_urls = { fleet.CallsUrl("ledger-1") }, .m_rate = 100, .m_count = 60 });
  const CallReport report = CheckAndLog(fleet, records);
  CHECK(report.IsClean());
  // Routing avoids failing workers, so that the number of cuts varies; each cut
  // must give exactly one "unknown" outcome.
  std::size_t cuts = 0;
  for (const char* slot : { "locker-app-1", "locker-app-2", "locker-app-3" }) {
    cuts += fleet.Runs(slot).value("cuts", std::size_t{ 0 });
  }
  CHECK(cuts >= 3);
  CHECK(report.m_unknown == cuts);
}

TEST_CASE("rolling restarts of every daemon lose no call")
{
  // Each daemon must finish its calls in flight and exit with code 0.
  Fleet fleet;
  StartLockers(fleet, { .m_slots = 8, .m_serviceMs = 20 });
  std::vector<int> exitCodes;
  const auto restart = [&](const std::string& aSlot) {
    return [&fleet, &exitCodes, aSlot] {
      fleet.Daemon(aSlot).Signal(SIGTERM);
      exitCodes.push_back(fleet.Daemon(aSlot).Wait().value_or(-1));
      fleet.Restart(aSlot);
    };
  };
  const auto records = RunLoad(
    { .m_urls = { fleet.CallsUrl("ledger-1") }, .m_rate = 150, .m_count = 900 },
    { { 150, restart("locker-app-1") },
      { 400, restart("locker-app-2") },
      { 650, restart("locker-app-3") } });
  const CallReport report = CheckAndLog(fleet, records);
  CHECK(report.IsClean());
  CHECK(report.m_answered == 900);
  CHECK(exitCodes == std::vector<int>{ 0, 0, 0 });
}

TEST_CASE("a draining worker starts nothing new and finishes its running calls")
{
  Fleet fleet;
  StartLockers(fleet, { .m_serviceMs = 300 });
  const auto before =
    RunLoad({ .m_urls = { fleet.CallsUrl("ledger-1") },
              .m_rate = 1000,
              .m_count = 20,
              .m_prefix = "before-" },
            { { 19, [&] { fleet.Daemon("locker-app-1").Signal(SIGTERM); } } });
  CHECK(fleet.Daemon("locker-app-1").Wait() == 0);
  const auto runsBefore = fleet.Runs("locker-app-1")["runs"].size();
  const auto after = RunLoad({ .m_urls = { fleet.CallsUrl("ledger-1") },
                               .m_rate = 200,
                               .m_count = 100,
                               .m_prefix = "after-" });
  CHECK(CheckAndLog(fleet, before).m_answered == 20);
  CHECK(CheckAndLog(fleet, after).m_answered == 100);
  CHECK(fleet.Runs("locker-app-1")["runs"].size() == runsBefore);
}

TEST_CASE("the caller's own daemon is killed: no release runs twice")
{
  Fleet fleet;
  StartLockers(fleet, { .m_slots = 4, .m_serviceMs = 10 });
  const auto records = RunLoad(
    { .m_urls = { fleet.CallsUrl("ledger-1") }, .m_rate = 300, .m_count = 200 },
    { { 100, [&] { fleet.Daemon("ledger-1").Kill(); } } });
  const CallReport report = CheckAndLog(fleet, records);
  CHECK(report.IsClean());
  CHECK(report.m_disconnected > 0);
}

TEST_CASE("the checker finds duplicate runs and false \"not run\" outcomes")
{
  CallRecord answered;
  answered.m_id = "a";
  answered.m_result.m_kind = HttpClientResult::Kind::Answered;
  answered.m_result.m_response.m_body = R"({"id":"b"})";
  CallRecord rejected = answered;
  rejected.m_id = "c";
  rejected.m_outcome = "not-run";
  const CallReport report =
    CheckCalls({ answered, rejected }, { { "a", 2 }, { "c", 1 } });
  CHECK(report.m_duplicateRuns == 1);
  CHECK(report.m_wrongAnswers == 1);
  CHECK(report.m_falseNotRun == 1);
  CHECK_FALSE(report.IsClean());
}
