#include "greengagehub/core/random.hpp"
#include "soak_config.hpp"
#include "soak_crashing.hpp"
#include "soak_plan.hpp"
#include "soak_rollout.hpp"
#include "testkit/fleet.hpp"
#include "testkit/load.hpp"
#include "testkit/tcp_proxy.hpp"

#include <boost/program_options.hpp>
#include <csignal>
#include <fmt/format.h>
#include <thread>

/// \file
/// \brief Randomized fault soak of the real programs. One seed makes one plan
/// of faults that come in series and overlap, while callers go on; what callers
/// were told is then held against what workers ran, and the fleet must recover.

namespace {

using namespace greengagehub;          // NOLINT: a tool, one file
using namespace greengagehub::testkit; // NOLINT
using Json = nlohmann::json;

using Options = SoakOptions;
using Step = SoakStep;
using Verdict = SoakVerdict;

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
      m_failing.emplace(m_fleet, m_options.m_daemons / 2);
    }
  }

  Verdict Run()
  {
    Verdict verdict;
    verdict.m_seed = m_seed;
    if (!WaitUntil([this] { return AllServe(); })) {
      verdict.m_broken.emplace_back("the fleet did not come up");
      return verdict;
    }
    MakePlan();
    std::thread faults{ [this] { PlayPlan(); } };
    std::vector<CallRecord> lookups;
    std::thread readers{ [&] { lookups = RunLoad(PlanFor("GET", "read-")); } };
    const auto releases = RunLoad(PlanFor("POST", "release-"));
    readers.join();
    faults.join();
    EndFaults();
    if (!WaitUntil([this] { return AllServe(); }, kRecovery)) {
      verdict.m_broken.push_back("not every daemon serves again: " +
                                 StateOfAll());
    }
    Check(releases, lookups, verdict);
    for (const Step& each : m_plan) {
      verdict.m_plan.push_back(
        fmt::format("{} ms {}", each.m_at.count(), each.m_what));
    }
    return verdict;
  }

private:
  static constexpr auto kRecovery = std::chrono::seconds{ 30 };

  void PutConfig()
  {
    // The newest route tells which version a daemon serves.
    m_route = fmt::format("/v{}/", ++m_version);
    m_fleet.PutPlatformConfig(ConfigDocument(m_version, m_route));
  }

  [[nodiscard]] bool AllServe()
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

  [[nodiscard]] std::string StateOfAll()
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

  // -------------------------------------------------------------------------
  // Plan

  std::chrono::milliseconds Between(std::uint32_t aLow, std::uint32_t aHigh)
  {
    return std::chrono::milliseconds{ aLow + Below(m_random, aHigh - aLow) };
  }

  const std::string& SomeSlot()
  {
    return m_slots[Below(m_random, m_slots.size())];
  }

  void Add(std::chrono::milliseconds aAt,
           std::string aWhat,
           std::function<void()> aDo)
  {
    m_plan.push_back({ aAt, std::move(aWhat), std::move(aDo) });
  }

  void MakePlan()
  {
    const std::uint32_t length = m_options.m_seconds * 1000;
    const std::uint64_t faults = 3 + Below(m_random, 2 + length / 2500);
    for (std::uint64_t i = 0; i < faults; ++i) {
      const auto at = Between(300, length * 2 / 3);
      const auto until = at + Between(300, 4000);
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
          Add(at, "change of configuration", [this] { PutConfig(); });
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
    std::stable_sort(
      m_plan.begin(), m_plan.end(), [](const Step& aLeft, const Step& aRight) {
        return aLeft.m_at < aRight.m_at;
      });
  }

  /// Starts under the same id, each with reports around it that are not its
  /// own.
  void AddRestarts(std::uint32_t aLength)
  {
    static const std::vector<std::int64_t> kLater{ 1, 5'000, -3'600'000 };
    static const std::vector<Json> kOthers{
      { { "seq", 100'000 }, { "state", "draining" }, { "born", 1 } },
      { { "seq", 100'001 }, { "state", "resting" } },
      { { "seq", 100'002 }, { "slots", -1 } },
      { { "seq", 100'003 }, { "slots", 6.5 } },
      { { "seq", true } },
      { { "seq", 100'004 }, { "born", "soon" }, { "state", "draining" } },
    };
    for (std::uint32_t i = 0; i < 2 + aLength / 2000; ++i) {
      const auto at = Between(300, aLength * 2 / 3);
      const std::string slot = SomeSlot();
      const auto control = [&](std::chrono::milliseconds aAt, Json aWanted) {
        Add(aAt, slot + "'s worker: " + aWanted.dump(), [this, slot, aWanted] {
          m_fleet.ControlWorker(slot, aWanted);
        });
      };
      control(
        at, { { "restart_same_id", kLater[Below(m_random, kLater.size())] } });
      for (std::uint64_t reports = Below(m_random, 4); reports > 0; --reports) {
        control(at + Between(0, 1500),
                { { "report", kOthers[Below(m_random, kOthers.size())] } });
      }
    }
  }

  void AddCrashing(std::uint32_t aLength)
  {
    m_crashing.emplace(m_fleet, m_slots);
    for (std::uint32_t i = 0; i < aLength / 300; ++i) {
      const std::string slot = SomeSlot();
      Add(Between(300, aLength * 2 / 3),
          "the request that ends workers, by " + slot,
          [this, slot] { m_crashing->Send(slot); });
    }
  }

  /// The order, and a store that goes back to before and behind it.
  void AddRollout(std::uint32_t aLength)
  {
    Add(Between(300, aLength / 3), "order of a version that fails", [this] {
      m_failing->Order();
    });
    const auto copied = Between(100, aLength / 3);
    const auto store = [this](const char* aAction) {
      return [this, aAction] { m_fleet.StoreAction(aAction); };
    };
    Add(copied, "store copied", store("/backup"));
    Add(copied + Between(500, aLength / 3),
        "store back from the copy",
        store("/restore"));
  }

  void AddSignal(std::chrono::milliseconds aAt,
                 std::chrono::milliseconds aUntil)
  {
    const std::string slot = SomeSlot();
    ++m_lost;
    const auto signal = [this, slot](int aSignal) {
      return [this, slot, aSignal] { m_fleet.Daemon(slot).Signal(aSignal); };
    };
    switch (Below(m_random, 4)) {
      case 0:
        Add(aAt, slot + " paused", signal(SIGSTOP));
        Add(aUntil, slot + " goes on", signal(SIGCONT));
        break;
      case 1:
        Add(
          aAt, slot + " killed", [this, slot] { m_fleet.Daemon(slot).Kill(); });
        Add(aUntil, slot + " started", [this, slot] { m_fleet.Restart(slot); });
        break;
      case 2:
        Add(aAt, slot + " told to stop", signal(SIGTERM));
        Add(aAt + std::chrono::milliseconds{ 4500 },
            slot + " started",
            [this, slot] { m_fleet.Restart(slot); });
        break;
      default:
        Add(aAt, slot + " told to reload", signal(SIGHUP));
    }
  }

  void AddStoreFault(std::chrono::milliseconds aAt,
                     std::chrono::milliseconds aUntil)
  {
    const std::vector<Json>& faults = StoreFaults();
    if (Below(m_random, 2) == 0) {
      const Json& fault = faults[Below(m_random, faults.size())];
      Add(aAt, "store: " + fault.dump(), [this, fault] {
        m_fleet.SetStoreFaults(fault);
      });
      Add(aUntil, "store well", [this] {
        m_fleet.SetStoreFaults({ { "outage", "none" } });
      });
      return;
    }
    static const std::vector<std::pair<ProxyFault, const char*>> kCuts{
      { ProxyFault::Delay, "delayed" },
      { ProxyFault::Silent, "silenced" },
      { ProxyFault::OneWay, "cut one way" },
      { ProxyFault::Reset, "reset" },
    };
    const auto& cut = kCuts[Below(m_random, kCuts.size())];
    const ProxyFault fault = cut.first;
    const char* name = cut.second;
    Add(aAt, fmt::format("connections to the store {}", name), [this, fault] {
      m_proxy.SetFault(fault);
    });
    Add(aUntil, "connections to the store well", [this] {
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
    const std::string slot = SomeSlot();
    Add(aAt, slot + "'s worker: " + begin.dump(), [this, slot, begin] {
      m_fleet.ControlWorker(slot, begin);
    });
    Add(aUntil, slot + "'s worker: " + end.dump(), [this, slot, end] {
      m_fleet.ControlWorker(slot, end);
    });
  }

  void PlayPlan()
  {
    const auto start = std::chrono::steady_clock::now();
    for (const Step& each : m_plan) {
      std::this_thread::sleep_until(start + each.m_at);
      each.m_do();
    }
  }

  /// Whatever the plan left broken is made well.
  void EndFaults()
  {
    if (m_crashing && !m_crashing->Settle()) {
      throw std::runtime_error{ "a worker is not back" };
    }
    m_proxy.SetFault(ProxyFault::None);
    m_fleet.SetStoreFaults({ { "outage", "none" } });
    // The store may have been away when the last one was written, or its answer
    // lost: only what it takes now is known to be the newest.
    PutConfig();
    if (m_failing) {
      m_failing->Order();
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

  // -------------------------------------------------------------------------
  // Check

  void Check(const std::vector<CallRecord>& aReleases,
             const std::vector<CallRecord>& aLookups,
             Verdict& aOut)
  {
    RunCounts runs;
    for (const std::string& slot : m_slots) {
      const Json counts = m_fleet.WorkerCounts(slot);
      for (const auto& each : counts["runs"].items()) {
        runs[each.key()] += each.value().get<std::uint32_t>();
      }
    }
    const std::uint64_t inService = SumOf(runs);
    if (m_failing) {
      m_failing->AddRunsTo(runs);
    }
    aOut.m_releases = CheckCalls(aReleases, runs);
    aOut.m_lookups = CheckCalls(aLookups, runs);
    // Lookups may run again; only releases must not.
    aOut.m_lookups.m_doubled = 0;
    for (const CallReport* each : { &aOut.m_releases, &aOut.m_lookups }) {
      if (!each->IsClean()) {
        aOut.m_broken.push_back(Describe(*each));
      }
    }
    const auto ends = m_crashing ? m_crashing->Check(m_lost) : std::nullopt;
    if (ends) {
      aOut.m_broken.push_back(*ends);
    }
    const auto failing = m_failing ? m_failing->Check(inService) : std::nullopt;
    if (failing) {
      aOut.m_broken.push_back(*failing);
    }
    for (const std::string& slot : m_slots) {
      if (m_fleet.Daemon(slot).Logged("lines_dropped")) {
        aOut.m_broken.push_back(slot + " dropped log lines");
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
  std::optional<FailingVersion> m_failing;
  /// Daemons that the plan kills, stops or pauses.
  int m_lost{ 0 };
  std::uint64_t m_version{ 0 };
  std::string m_route;
};

int
RunAll(const Options& aOptions)
{
  int broken = 0;
  for (std::uint64_t i = 0; i < aOptions.m_seeds; ++i) {
    const Verdict verdict = Soak{ aOptions, aOptions.m_seed + i }.Run();
    const bool clean = verdict.m_broken.empty();
    broken += clean ? 0 : 1;
    fmt::print("seed {} {}: releases {}; lookups {}\n",
               verdict.m_seed,
               clean ? "clean" : "BROKEN",
               Describe(verdict.m_releases),
               Describe(verdict.m_lookups));
    if (!clean) {
      fmt::print("{}\n",
                 Json{ { "seed", verdict.m_seed },
                       { "broken", verdict.m_broken },
                       { "plan", verdict.m_plan } }
                   .dump());
    }
    std::fflush(stdout);
  }
  fmt::print("{} passed, {} failed\n", aOptions.m_seeds - broken, broken);
  return broken == 0 ? 0 : 1;
}

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  Options given;
  po::options_description options{ "soak: faults at random against the real "
                                   "programs; the same seed, the same plan" };
  options.add_options()("help", "show this")(
    "seed", po::value(&given.m_seed)->default_value(1), "first seed")(
    "seeds", po::value(&given.m_seeds)->default_value(1), "seeds to play")(
    "seconds",
    po::value(&given.m_seconds)->default_value(15),
    "length of each plan")("daemons",
                           po::value(&given.m_daemons)->default_value(5),
                           "daemons, each with its worker")(
    "rate",
    po::value(&given.m_rate)->default_value(100.0),
    "releases a second, and as many lookups")(
    "rollout",
    po::bool_switch(&given.m_rollout),
    "a version that fails is brought in, the store comes back from copies")(
    "restarts",
    po::bool_switch(&given.m_restarts),
    "backend servers also start again under their ids")(
    "crashing",
    po::bool_switch(&given.m_crashing),
    "a request comes under which backend servers end");
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
