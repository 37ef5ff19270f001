#include "greengagehub/core/random.hpp"
#include "soak_config.hpp"
#include "soak_crashing.hpp"
#include "soak_options.hpp"
#include "soak_plan.hpp"
#include "soak_rollout.hpp"
#include "soak_signals.hpp"
#include "testkit/fleet_queries.hpp"
#include "testkit/load.hpp"

#include <csignal>
#include <fmt/format.h>
#include <thread>

/// \file
/// \brief Soak test of the real programs under load and overlapping random
/// faults, planned from a seed. Afterwards the fleet must recover, and the
/// outcomes that callers received must agree with the runs at the workers.

namespace {

using namespace greengagehub;          // NOLINT: a tool, one file
using namespace greengagehub::testkit; // NOLINT
using Json = nlohmann::json;

using Options = SoakOptions;
using Step = SoakStep;
using Result = SoakResult;

class Soak
{
public:
  Soak(const Options& aOptions, std::uint64_t aSeed)
    : m_options(aOptions)
    , m_seed(aSeed)
    , m_random(aSeed)
    , m_proxy(m_fleet.StorePort())
  {
    m_fleet.UseStoreAt(m_proxy.Port());
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
    if (m_options.m_rollout) {
      m_failingVersion.emplace(m_fleet, m_options.m_daemons / 2);
    }
  }

  Result Run()
  {
    Result result;
    result.m_seed = m_seed;
    if (!WaitUntil([this] { return AreAllReady(); })) {
      result.m_violations.emplace_back("the fleet did not become ready");
      return result;
    }
    MakePlan();
    std::thread faults{ [this] { ExecutePlan(); } };
    std::vector<CallRecord> lookups;
    std::thread readers{ [&] { lookups = RunLoad(PlanFor("GET", "read-")); } };
    const auto releases = RunLoad(PlanFor("POST", "release-"));
    readers.join();
    faults.join();
    ClearFaults();
    if (!WaitUntil([this] { return AreAllReady(); }, kRecoveryTimeout)) {
      result.m_violations.push_back("not every daemon is ready again: " +
                                    DescribeDaemons());
    }
    Check(releases, lookups, result);
    for (const Step& each : m_plan) {
      result.m_plan.push_back(
        fmt::format("{} ms {}", each.m_at.count(), each.m_description));
    }
    return result;
  }

private:
  static constexpr auto kRecoveryTimeout = std::chrono::seconds{ 30 };

  void PutConfig()
  {
    // Each version has a route of its own, which shows that a daemon serves it.
    m_route = fmt::format("/v{}/", ++m_version);
    m_fleet.PutPlatformConfig(ConfigDocument(m_version, m_route));
  }

  [[nodiscard]] bool AreAllReady()
  {
    return std::all_of(
      m_slots.begin(), m_slots.end(), [this](const std::string& aSlot) {
        return m_fleet.IsReady(aSlot) &&
               m_fleet
                   .Call(aSlot,
                         "GET",
                         m_route + "x",
                         { { "Host", "a.example" },
                           { "X-Greengagehub-Request-Id", "probe" },
                           { "X-Greengagehub-Deadline-Ms", "1000" } })
                   .Status() == 200;
      });
  }

  [[nodiscard]] std::string DescribeDaemons()
  {
    std::string text = "newest " + std::to_string(3 * m_version);
    for (const std::string& each : m_slots) {
      text += fmt::format("; {} ready {} version {}",
                          each,
                          m_fleet.IsReady(each),
                          m_fleet.VersionAt(each));
    }
    return text;
  }

  [[nodiscard]] LoadPlan PlanFor(const char* aMethod,
                                 const std::string& aPrefix) const
  {
    LoadPlan plan;
    for (const std::string& each : m_slots) {
      plan.m_urls.push_back(m_fleet.CallsUrl(each));
    }
    plan.m_method = aMethod;
    plan.m_target = aPrefix == "read-" ? "/read/1" : "/release/1";
    plan.m_rate = m_options.m_rate;
    plan.m_count =
      static_cast<std::size_t>(m_options.m_rate * m_options.m_seconds);
    plan.m_headers = { { "Host", "a.example" },
                       { "X-Greengagehub-Deadline-Ms", "2000" } };
    plan.m_prefix = aPrefix;
    plan.m_idHeader = "X-Greengagehub-Request-Id";
    plan.m_timeout = std::chrono::milliseconds{ 3000 };
    return plan;
  }

  std::chrono::milliseconds RandomTime(std::uint32_t aLow, std::uint32_t aHigh)
  {
    return std::chrono::milliseconds{ aLow + Below(m_random, aHigh - aLow) };
  }

  const std::string& RandomSlot()
  {
    return m_slots[Below(m_random, m_slots.size())];
  }

  void AddStep(std::chrono::milliseconds aAt,
               std::string aDescription,
               std::function<void()> aAction)
  {
    m_plan.push_back({ aAt, std::move(aDescription), std::move(aAction) });
  }

  void MakePlan()
  {
    const std::uint32_t length = m_options.m_seconds * 1000;
    const std::uint64_t faults = 3 + Below(m_random, 2 + length / 2500);
    for (std::uint64_t i = 0; i < faults; ++i) {
      const auto at = RandomTime(300, length * 2 / 3);
      const auto until = at + RandomTime(300, 4000);
      switch (Below(m_random, 4)) {
        case 0:
          AddSignal(at, until);
          break;
        case 1:
          AddStoreFault(at, until);
          break;
        case 2:
          AddWorkerFault(at, until);
          break;
        default:
          AddStep(at, "change of configuration", [this] { PutConfig(); });
      }
    }
    if (m_options.m_restarts) {
      AddRestarts(length);
    }
    if (m_options.m_crashing) {
      AddCrashing(length);
    }
    if (m_options.m_rollout) {
      AddRollout(length);
    }
    if (m_options.m_signals) {
      AddSignals(length);
    }
    std::stable_sort(
      m_plan.begin(), m_plan.end(), [](const Step& aLeft, const Step& aRight) {
        return aLeft.m_at < aRight.m_at;
      });
  }

  /// Restarts workers under the same id, and sends late or malformed reports.
  void AddRestarts(std::uint32_t aLength)
  {
    const auto& offsets = RestartOffsetsMs();
    const auto& reports = ExtraReports();
    for (std::uint32_t i = 0; i < 2 + aLength / 2000; ++i) {
      const auto at = RandomTime(300, aLength * 2 / 3);
      const std::string slot = RandomSlot();
      const auto control = [&](std::chrono::milliseconds aAt, Json aWanted) {
        AddStep(
          aAt, slot + "'s worker: " + aWanted.dump(), [this, slot, aWanted] {
            m_fleet.ControlWorker(slot, aWanted);
          });
      };
      control(
        at,
        { { "restart_same_id", offsets[Below(m_random, offsets.size())] } });
      for (std::uint64_t left = Below(m_random, 4); left > 0; --left) {
        control(at + RandomTime(0, 1500),
                { { "report", reports[Below(m_random, reports.size())] } });
      }
    }
  }

  void AddCrashing(std::uint32_t aLength)
  {
    m_crashing.emplace(m_fleet, m_slots);
    for (std::uint32_t i = 0; i < aLength / 300; ++i) {
      const std::string slot = RandomSlot();
      AddStep(RandomTime(300, aLength * 2 / 3),
              "the request that ends workers, by " + slot,
              [this, slot] { m_crashing->Send(slot); });
    }
  }

  /// Limits change and end while daemons are killed and paused.
  void AddSignals(std::uint32_t aLength)
  {
    const auto& signals = WorkerSignalFaults();
    for (std::uint32_t i = 0; i < 4 + aLength / 1000; ++i) {
      const Json& stated = signals[Below(m_random, signals.size())];
      const std::string slot = RandomSlot();
      AddStep(RandomTime(300, aLength * 2 / 3),
              slot + "'s worker states " + stated.dump(),
              [this, slot, stated] { m_signals.State(slot, stated); });
    }
  }

  /// Orders a failing version, and restores the store to an older copy.
  void AddRollout(std::uint32_t aLength)
  {
    AddStep(RandomTime(300, aLength / 3),
            "order of a version that fails",
            [this] { m_failingVersion->Order(); });
    const auto copied = RandomTime(100, aLength / 3);
    const auto store = [this](const char* aPath) {
      return [this, aPath] { m_fleet.PostToStore(aPath); };
    };
    AddStep(copied, "store copied", store("/backup"));
    AddStep(copied + RandomTime(500, aLength / 3),
            "store back from the copy",
            store("/restore"));
  }

  void AddSignal(std::chrono::milliseconds aAt,
                 std::chrono::milliseconds aUntil)
  {
    const std::string slot = RandomSlot();
    ++m_daemonFaults;
    const auto signal = [this, slot](int aSignal) {
      return [this, slot, aSignal] { m_fleet.Daemon(slot).Signal(aSignal); };
    };
    switch (Below(m_random, 4)) {
      case 0:
        AddStep(aAt, slot + " paused", [this, slot] {
          m_signals.BeginFault(slot);
          m_fleet.Daemon(slot).Signal(SIGSTOP);
        });
        AddStep(aUntil, slot + " goes on", [this, slot] {
          m_fleet.Daemon(slot).Signal(SIGCONT);
          m_signals.EndFault(slot);
        });
        break;
      case 1:
        AddStep(aAt, slot + " killed", [this, slot] {
          m_signals.BeginFault(slot);
          m_fleet.Daemon(slot).Kill();
        });
        AddStep(aUntil, slot + " started", [this, slot] { Restart(slot); });
        break;
      case 2:
        AddStep(aAt, slot + " told to stop", signal(SIGTERM));
        AddStep(aAt + std::chrono::milliseconds{ 4500 },
                slot + " started",
                [this, slot] { Restart(slot); });
        break;
      default:
        AddStep(aAt, slot + " told to reload", signal(SIGHUP));
    }
  }

  void Restart(const std::string& aSlot)
  {
    m_signals.BeginFault(aSlot);
    m_fleet.Restart(aSlot);
    m_signals.EndFault(aSlot);
  }

  void AddStoreFault(std::chrono::milliseconds aAt,
                     std::chrono::milliseconds aUntil)
  {
    const std::vector<Json>& faults = StoreFaults();
    if (Below(m_random, 2) == 0) {
      const Json& fault = faults[Below(m_random, faults.size())];
      AddStep(aAt, "store: " + fault.dump(), [this, fault] {
        m_fleet.SetStoreFaults(fault);
      });
      AddStep(aUntil, "store well", [this] {
        m_fleet.SetStoreFaults({ { "outage", "none" } });
      });
      return;
    }
    const auto& proxyFaults = ProxyFaults();
    const auto& entry = proxyFaults[Below(m_random, proxyFaults.size())];
    const ProxyFault fault = entry.first;
    const char* name = entry.second;
    AddStep(aAt,
            fmt::format("connections to the store {}", name),
            [this, fault] { m_proxy.SetFault(fault); });
    AddStep(aUntil, "connections to the store well", [this] {
      m_proxy.SetFault(ProxyFault::None);
    });
  }

  void AddWorkerFault(std::chrono::milliseconds aAt,
                      std::chrono::milliseconds aUntil)
  {
    const auto& faults = WorkerFaults();
    const auto& pair = faults[Below(m_random, faults.size())];
    const Json& begin = pair.first;
    const Json& end = pair.second;
    const std::string slot = RandomSlot();
    AddStep(aAt, slot + "'s worker: " + begin.dump(), [this, slot, begin] {
      m_fleet.ControlWorker(slot, begin);
    });
    AddStep(aUntil, slot + "'s worker: " + end.dump(), [this, slot, end] {
      m_fleet.ControlWorker(slot, end);
    });
  }

  void ExecutePlan()
  {
    const auto start = std::chrono::steady_clock::now();
    for (const Step& each : m_plan) {
      std::this_thread::sleep_until(start + each.m_at);
      each.m_action();
    }
  }

  /// Clears all faults and restarts the daemons that do not run.
  void ClearFaults()
  {
    if (m_crashing && !m_crashing->WaitForWorkers()) {
      throw std::runtime_error{ "a crashed worker did not restart" };
    }
    m_proxy.SetFault(ProxyFault::None);
    m_fleet.SetStoreFaults({ { "outage", "none" } });
    // Earlier writes may have failed without an answer; after this one the
    // store has the newest version.
    PutConfig();
    if (m_failingVersion) {
      m_failingVersion->Order();
    }
    for (const std::string& each : m_slots) {
      m_fleet.ControlWorker(each,
                            { { "shed", false },
                              { "fail", false },
                              { "unsigned", false },
                              { "foreign", 0 },
                              { "service_ms", 20 },
                              { "restart", true } });
      if (m_fleet.Daemon(each).IsRunning()) {
        m_fleet.Daemon(each).Signal(SIGCONT);
      } else {
        m_fleet.Restart(each);
      }
    }
  }

  void Check(const std::vector<CallRecord>& aReleases,
             const std::vector<CallRecord>& aLookups,
             Result& aOut)
  {
    RunCounts runs = WorkerRuns(m_fleet, m_slots);
    const std::uint64_t goodRuns = TotalRuns(runs);
    if (m_failingVersion) {
      m_failingVersion->AddRunsTo(runs);
    }
    aOut.m_releases = CheckCalls(aReleases, runs);
    aOut.m_lookups = CheckCalls(aLookups, runs);
    // Lookups are idempotent and may run twice.
    aOut.m_lookups.m_duplicateRuns = 0;
    for (const CallReport* each : { &aOut.m_releases, &aOut.m_lookups }) {
      if (!each->IsClean()) {
        aOut.m_violations.push_back(Describe(*each));
      }
    }
    if (m_options.m_signals) {
      m_signals.AddRequests(aReleases);
      m_signals.AddRequests(aLookups);
      for (std::string& each : m_signals.Check()) {
        aOut.m_violations.push_back(std::move(each));
      }
    }
    const auto crashes =
      m_crashing ? m_crashing->Check(m_daemonFaults) : std::nullopt;
    if (crashes) {
      aOut.m_violations.push_back(*crashes);
    }
    const auto exposure =
      m_failingVersion ? m_failingVersion->Check(goodRuns) : std::nullopt;
    if (exposure) {
      aOut.m_violations.push_back(*exposure);
    }
    for (const std::string& slot : m_slots) {
      if (m_fleet.Daemon(slot).HasLogged("lines_dropped")) {
        aOut.m_violations.push_back(slot + " dropped log lines");
      }
    }
  }

  Options m_options;
  std::uint64_t m_seed;
  Random m_random;
  Fleet m_fleet;
  TcpProxy m_proxy;
  std::vector<std::string> m_slots;
  std::vector<Step> m_plan;
  std::optional<CrashingRequests> m_crashing;
  std::optional<FailingVersion> m_failingVersion;
  StatedSignals m_signals{ m_fleet, m_slots };
  /// Number of faults that kill, stop or pause a daemon.
  int m_daemonFaults{ 0 };
  std::uint64_t m_version{ 0 };
  std::string m_route;
};

int
RunAll(const Options& aOptions)
{
  int failed = 0;
  for (std::uint64_t i = 0; i < aOptions.m_seeds; ++i) {
    const Result result = Soak{ aOptions, aOptions.m_seed + i }.Run();
    const bool isClean = result.m_violations.empty();
    failed += isClean ? 0 : 1;
    fmt::print("seed {} {}: releases {}; lookups {}\n",
               result.m_seed,
               isClean ? "clean" : "BROKEN",
               Describe(result.m_releases),
               Describe(result.m_lookups));
    if (!isClean) {
      fmt::print("{}\n",
                 Json{ { "seed", result.m_seed },
                       { "broken", result.m_violations },
                       { "plan", result.m_plan } }
                   .dump());
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
  const po::options_description options = DescribeOptions(given);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, options), values);
    po::notify(values);
    if (values.count("help") != 0) {
      std::ostringstream text;
      text << options;
      fmt::print("{}", text.str());
      return 0;
    }
    return RunAll(given);
  } catch (const std::exception& fault) {
    fmt::print(stderr, "{}\n", fault.what());
    return 2;
  }
}
