#include "greengagehub/core/random.hpp"
#include "soak_config.hpp"
#include "testkit/fleet_queries.hpp"
#include "testkit/kept_connections.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/program_options.hpp>
#include <csignal>
#include <fmt/format.h>
#include <iostream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

/// \file
/// \brief Soak test of planned work alone: stops, reloads, changes of the
/// configuration and drains of workers, in series and overlapping, planned from
/// a seed. Clients keep using their connections until the process is gone; none
/// may lose a request.

namespace {

using namespace greengagehub;          // NOLINT: a tool, one file
using namespace greengagehub::testkit; // NOLINT
using std::chrono::milliseconds;

struct Options
{
  std::uint64_t m_seed{ 1 };
  std::uint32_t m_seeds{ 1 };
  std::uint32_t m_seconds{ 10 };
  std::uint32_t m_daemons{ 5 };
  std::uint32_t m_clients{ 10 };
  std::uint32_t m_busyThreads{ 0 };
};

constexpr auto kDeadline = milliseconds{ 1500 };
/// From SIGTERM to a SIGHUP in the middle of the stop.
constexpr auto kReloadAfter = milliseconds{ 1500 };
/// Daemons that are neither stopping nor starting.
constexpr std::size_t kMinServing = 2;

class StopsSoak
{
public:
  StopsSoak(const Options& aOptions, std::uint64_t aSeed)
    : m_options(aOptions)
    , m_random(aSeed)
  {
    for (std::uint32_t i = 0; i < m_options.m_daemons; ++i) {
      m_slots.push_back(fmt::format("w{:02}", i));
      m_fleet.Add({ .m_slot = m_slots.back(),
                    .m_service = "lockers",
                    .m_domain = i % 2 == 0 ? "solna" : "kista",
                    .m_slots = 8,
                    .m_serviceMs = 20,
                    .m_onPlatform = true });
    }
    PutConfig();
  }

  /// \returns Violations, one a line, then the logs of all stops.
  std::vector<std::string> Run()
  {
    const auto isReady = [this](const std::string& aSlot) {
      return m_fleet.IsReady(aSlot);
    };
    if (!WaitUntil([&] { return std::ranges::all_of(m_slots, isReady); })) {
      return { "the fleet did not become ready" };
    }
    std::vector<std::jthread> busy;
    for (std::uint32_t i = 0; i < m_options.m_busyThreads; ++i) {
      busy.emplace_back([](const std::stop_token& aStop) {
        while (!aStop.stop_requested()) {
        }
      });
    }
    StartLoads();
    ExecutePlan();
    m_stops.clear();
    Check();
    if (!m_violations.empty()) {
      m_violations.insert(
        m_violations.end(), m_stopLogs.begin(), m_stopLogs.end());
    }
    return std::move(m_violations);
  }

  [[nodiscard]] std::size_t Requests() const noexcept { return m_requests; }
  [[nodiscard]] std::size_t Stops() const noexcept { return m_stopCount; }

private:
  void PutConfig()
  {
    ++m_version;
    m_fleet.PutPlatformConfig(
      ConfigDocument(m_version, fmt::format("/v{}/", m_version)));
  }

  void StartLoads()
  {
    for (const std::string& each : m_slots) {
      for (const char* method : { "GET", "POST" }) {
        const bool isRead = std::string_view{ method } == "GET";
        m_loads.push_back(std::make_unique<KeptConnections>(KeptConnectionsPlan{
          .m_port = PortOf(m_fleet.CallsUrl(each)),
          .m_clients = m_options.m_clients,
          .m_method = method,
          .m_target = isRead ? "/read/1" : "/release/1",
          .m_headers = { { "Host", "a.example" },
                         { "X-Greengagehub-Deadline-Ms", "1500" } },
          .m_prefix = fmt::format("{}-{}-", each, method) }));
      }
    }
  }

  void ExecutePlan()
  {
    const TimePoint until =
      Clock::now() + std::chrono::seconds{ m_options.m_seconds };
    while (Clock::now() < until) {
      std::this_thread::sleep_for(milliseconds{ 50 + Below(m_random, 700) });
      const std::string& slot = m_slots[Below(m_random, m_slots.size())];
      switch (Below(m_random, 6)) {
        case 0:
          PutConfig();
          break;
        case 1:
          Reload();
          break;
        case 2:
          BeginStop(slot, true);
          break;
        default:
          BeginStop(slot, false);
          break;
      }
    }
  }

  /// Without daemons that stop or start: SIGHUP ends a program that does not
  /// handle it yet.
  void Reload()
  {
    const std::lock_guard lock{ m_mutex };
    for (const std::string& each : m_slots) {
      if (!m_stopping.contains(each)) {
        m_fleet.Daemon(each).Signal(SIGHUP);
      }
    }
  }

  /// \param aWorkerFirst whether the worker drains before its daemon stops.
  void BeginStop(const std::string& aSlot, bool aWorkerFirst)
  {
    const std::lock_guard lock{ m_mutex };
    const bool isPossible = !m_stopping.contains(aSlot) &&
                            m_slots.size() - m_stopping.size() > kMinServing;
    if (!isPossible) {
      return;
    }
    m_stopping.insert(aSlot);
    ++m_stopCount;
    m_stops.emplace_back(
      [this, aSlot, aWorkerFirst] { Stop(aSlot, aWorkerFirst); });
  }

  void Stop(const std::string& aSlot, bool aWorkerFirst)
  {
    if (aWorkerFirst) {
      m_fleet.ControlWorker(aSlot, { { "draining", true } });
    }
    Process& daemon = m_fleet.Daemon(aSlot);
    daemon.Signal(SIGTERM);
    auto code = daemon.Wait(kReloadAfter);
    if (!code) {
      daemon.Signal(SIGHUP);
      code = daemon.Wait();
    }
    const std::lock_guard lock{ m_mutex };
    KeepLog(daemon);
    if (code != 0) {
      m_violations.push_back(
        fmt::format("{} ended with {}", aSlot, code.value_or(-1)));
    }
    if (aWorkerFirst) {
      m_fleet.ControlWorker(aSlot, { { "restart", true } });
    }
    m_fleet.Restart(aSlot);
    m_stopping.erase(aSlot);
  }

  /// Collects log lines on stages, connections and pauses.
  void KeepLog(const Process& aDaemon)
  {
    std::istringstream lines{ aDaemon.Log() };
    for (std::string line; std::getline(lines, line);) {
      const auto isIn = [&](const char* aEvent) {
        return line.find(aEvent) != std::string::npos;
      };
      constexpr std::array kEvents{ "\"listening\"", "\"ready\"",
                                    "\"not_ready\"", "\"was_paused\"",
                                    "\"drain_",      "\"connection" };
      if (std::ranges::any_of(kEvents, isIn)) {
        m_stopLogs.push_back(line);
      }
    }
  }

  void Check()
  {
    const RunCounts runs = WorkerRuns(m_fleet, m_slots);
    for (const auto& load : m_loads) {
      const auto requests = load->Stop();
      m_requests += requests.size();
      for (std::string& each : DescribeLost(requests, runs, kDeadline)) {
        m_violations.push_back(std::move(each));
      }
    }
    for (const auto& [id, count] : runs) {
      if (count > 1 && id.find("POST") != std::string::npos) {
        m_violations.push_back(fmt::format("{} ran {} times", id, count));
      }
    }
  }

  Options m_options;
  Random m_random;
  Fleet m_fleet;
  std::vector<std::string> m_slots;
  std::vector<std::unique_ptr<KeptConnections>> m_loads;
  std::mutex m_mutex;
  std::set<std::string> m_stopping;
  std::vector<std::string> m_violations;
  std::vector<std::string> m_stopLogs;
  std::uint64_t m_version{ 0 };
  std::size_t m_requests{ 0 };
  std::size_t m_stopCount{ 0 };
  std::vector<std::jthread> m_stops;
};

int
RunAll(const Options& aOptions)
{
  std::uint32_t failed = 0;
  for (std::uint32_t i = 0; i < aOptions.m_seeds; ++i) {
    StopsSoak soak{ aOptions, aOptions.m_seed + i };
    const auto violations = soak.Run();
    failed += violations.empty() ? 0 : 1;
    fmt::print("seed {} {}: {} stops, {} requests\n",
               aOptions.m_seed + i,
               violations.empty() ? "clean" : "BROKEN",
               soak.Stops(),
               soak.Requests());
    for (const std::string& each : violations) {
      fmt::print("  {}\n", each);
    }
    std::fflush(stdout);
  }
  fmt::print("{} passed, {} failed\n", aOptions.m_seeds - failed, failed);
  return failed == 0 ? 0 : 1;
}

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  Options given;
  po::options_description options{
    "soak_stops: runs the real programs under planned work; a seed gives a plan"
  };
  options.add_options()("help", "show this")(
    "seed", po::value(&given.m_seed)->default_value(1), "first seed")(
    "seeds", po::value(&given.m_seeds)->default_value(1), "number of seeds")(
    "seconds",
    po::value(&given.m_seconds)->default_value(10),
    "length of each plan")("daemons",
                           po::value(&given.m_daemons)->default_value(5),
                           "daemons, each with its worker")(
    "clients",
    po::value(&given.m_clients)->default_value(10),
    "connections of each kind at each daemon")(
    "busy",
    po::value(&given.m_busyThreads)->default_value(0),
    "threads that use the processor beside it");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, options), values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::cout << options;
      return 0;
    }
    return RunAll(given);
  } catch (const std::exception& fault) {
    fmt::print(stderr, "{}\n", fault.what());
    return 2;
  }
}
