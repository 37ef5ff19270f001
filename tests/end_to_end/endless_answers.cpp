#include "platform_fleet.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr std::size_t kClients = 12;
/// Bytes of one answer that a daemon may read before it gives up: its limit of
/// an answer (calls.max_body_bytes) and of a head, and what fits into the
/// buffers of a loopback connection.
constexpr std::uint64_t kMaxBytesPerAnswer = 12UL * 1024 * 1024;
/// Memory of a daemon: two answers of the largest size for each client, and as
/// much again as it has when idle.
constexpr std::uint64_t kMaxPeakKib = (2 * kClients + 48) * 1024;

const std::vector<std::string> kForms = {
  "status-line",  "header-lines",    "one-header",       "interim",
  "late-answers", "blank-lines",     "no-http",          "huge-length",
  "chunks",       "chunk-extension", "chunk-extensions", "trailers",
  "unframed",     "after-answer"
};

/// \returns Processor time in clock ticks.
std::uint64_t
ProcessorTicks(const Process& aProcess)
{
  std::ifstream file{ "/proc/" + std::to_string(aProcess.Pid()) + "/stat" };
  std::string word;
  constexpr int kFirstTimeField = 14;
  for (int i = 1; i < kFirstTimeField; ++i) {
    file >> word;
  }
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  file >> user >> system;
  return user + system;
}

/// Two sound workers and one that can answer without end.
void
StartWithEndless(Fleet& aFleet, const std::string& aHealthForm = "")
{
  for (const char* each : { "lockers-1", "lockers-2" }) {
    aFleet.Add(
      { .m_slot = each, .m_service = "lockers", .m_onPlatform = true });
  }
  // First, as a health check needs the path from the configuration.
  aFleet.PutPlatformConfig(Document("0000000c", kRules));
  WaitForLockers(aFleet);
  aFleet.Add({ .m_slot = "lockers-3",
               .m_service = "lockers",
               .m_backendArguments = { "--health-form", aHealthForm },
               .m_onPlatform = true,
               .m_isFaulty = true });
  WaitForLockers(aFleet);
}

struct Load
{
  std::atomic<int> m_served{ 0 };
  std::atomic<int> m_claimedNotRun{ 0 };
  std::atomic<int> m_all{ 0 };
};

/// Sends requests from several clients to the daemon beside the endless worker.
void
SendFromClients(const Fleet& aFleet,
                const char* aMethod,
                const std::string& aTarget,
                const std::string& aPrefix,
                Load& aLoad)
{
  constexpr int kRequestsPerClient = 5;
  std::vector<std::thread> clients;
  for (std::size_t client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      for (int i = 0; i < kRequestsPerClient; ++i) {
        const std::string id =
          aPrefix + std::to_string(client) + "-" + std::to_string(i);
        const int status =
          SendRequest(aFleet, "lockers-3", aMethod, aTarget, id).Status();
        ++aLoad.m_all;
        aLoad.m_served += status == 200 ? 1 : 0;
        aLoad.m_claimedNotRun += status == 503 || status == 429 ? 1 : 0;
      }
    });
  }
  for (std::thread& each : clients) {
    each.join();
  }
}

}

TEST_CASE("answers without end leave memory and the other requests alone")
{
  // Guards against a daemon that reads such an answer at full speed until the
  // deadline, which takes its loop, its memory and the caller's time.
  for (const std::string& form : kForms) {
    CAPTURE(form);
    // A fleet for each form, as failed requests keep others from the worker.
    Fleet fleet;
    StartWithEndless(fleet);
    const auto& daemon = fleet.Daemon("lockers-3");
    fleet.ControlWorker("lockers-3", { { "requests", form } });
    const std::uint64_t ticks = ProcessorTicks(daemon);
    Load load;
    SendFromClients(fleet, "GET", "/status/1", form + "-", load);
    CHECK(fleet.IsReady("lockers-3"));
    const Json counts = fleet.WorkerCounts("lockers-3");
    const auto answers = counts["answers"].get<std::uint64_t>();
    const auto bytes = counts["bytes"].get<std::uint64_t>();
    MESSAGE(form << ": " << load.m_served.load() << " of " << load.m_all.load()
                 << " served, " << answers << " endless answers of "
                 << bytes / std::max<std::uint64_t>(answers, 1)
                 << " B, memory at most " << MemoryField(daemon, "VmHWM")
                 << " KiB, processor " << ProcessorTicks(daemon) - ticks
                 << " ticks");
    CHECK(answers > 0);
    // A request that may run again is served by a sound worker.
    CHECK(load.m_served * 10 >= load.m_all * 9);
    CHECK(bytes <= answers * kMaxBytesPerAnswer);
    CHECK(MemoryField(daemon, "VmHWM") <= kMaxPeakKib);
  }
}

TEST_CASE("an answer without end is never reported as not run")
{
  // Guards against a client that sends an unsafe request again, which a worker
  // that answers without end has run.
  for (const std::string form :
       { "interim", "late-answers", "chunks", "no-http" }) {
    CAPTURE(form);
    Fleet fleet;
    StartWithEndless(fleet);
    fleet.ControlWorker("lockers-3", { { "requests", form } });
    Load load;
    SendFromClients(fleet, "POST", "/release/1", form + "-", load);
    const auto answers = fleet.WorkerCounts("lockers-3")["answers"].get<int>();
    CHECK(answers > 0);
    CHECK(load.m_claimedNotRun == 0);
    // Each request was sent to one worker.
    CHECK(load.m_all - load.m_served == answers);
  }
}

TEST_CASE("bytes without end that come slowly end no other request")
{
  // Guards against a daemon that keeps such a request beyond its deadline.
  Fleet fleet;
  StartWithEndless(fleet);
  fleet.ControlWorker("lockers-3",
                      { { "requests", "interim" }, { "slowly", true } });
  Load load;
  SendFromClients(fleet, "GET", "/status/1", "slow-", load);
  const auto answers = fleet.WorkerCounts("lockers-3")["answers"].get<int>();
  CHECK(answers > 0);
  CHECK(load.m_all - load.m_served <= answers);
  CHECK(load.m_claimedNotRun == 0);
  CHECK(fleet.IsReady("lockers-3"));
}

TEST_CASE("a health check without end does not keep a daemon from starting")
{
  // Guards against a daemon that reads such an answer until its memory is used
  // up, or that believes an id in it.
  for (const std::string& form : kForms) {
    CAPTURE(form);
    Fleet fleet;
    StartWithEndless(fleet, form);
    ReportAnotherService(fleet, "lockers-3");
    const auto countAnswers = [&] {
      return fleet.WorkerCounts("lockers-3")["answers"].get<std::uint64_t>();
    };
    CHECK(WaitUntil([&] { return countAnswers() > 0; }));
    const auto answers = countAnswers();
    const Json counts = fleet.WorkerCounts("lockers-3");
    CHECK(counts["bytes"].get<std::uint64_t>() <= answers * kMaxBytesPerAnswer);
    CHECK(MemoryField(fleet.Daemon("lockers-3"), "VmHWM") <= kMaxPeakKib);
    CHECK(SendRequest(fleet, "lockers-3", "GET", "/status/1", "a").Status() ==
          200);
    fleet.Restart("lockers-3");
    CHECK(WaitUntil([&] { return fleet.IsReady("lockers-3"); }));
    CHECK(SendRequest(fleet, "lockers-3", "GET", "/status/1", "b").Status() ==
          200);
  }
}
