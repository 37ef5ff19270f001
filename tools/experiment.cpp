#include "testkit/closed_loop.hpp"
#include "testkit/distribution.hpp"
#include "testkit/fleet.hpp"

#include <boost/program_options.hpp>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

/// \file
/// \brief Measures real processes on this machine and writes the results as
/// JSON.
///
///   experiment latency      latency that two daemons add to a call
///   experiment convergence  time and bytes until all daemons run a version
///   experiment rest         CPU time, memory and bytes of an idle daemon

namespace {

using namespace greengagehub::testkit; // NOLINT: a program in one file
using Json = nlohmann::json;
using ClockType = std::chrono::steady_clock;

constexpr const char* kRoute = R"({
  "services":{"locker-app":{},"ledger":{}},
  "routes":{"status":{"path":"/status","service":"locker-app"}}})";

struct Options
{
  std::string m_command;
  int m_daemons{ 25 };
  int m_changes{ 40 };
  int m_runs{ 3 };
  int m_seconds{ 20 };
  int m_fanout{ 4 };
  std::size_t m_calls{ 5000 };
  std::string m_extraSettings;
};

Json
ReportLatencies(const std::vector<std::chrono::nanoseconds>& aDirect,
                const std::vector<std::chrono::nanoseconds>& aThroughDaemons,
                const std::string& aName)
{
  const Distribution direct{ aDirect };
  const Distribution through{ aThroughDaemons };
  const auto added = [&](double aShare) {
    return ToMicroseconds(through.Quantile(aShare) - direct.Quantile(aShare));
  };
  fmt::print(
    "{:32} direct p50 {:7.0f} p99 {:7.0f} us | through p50 {:7.0f} "
    "p99 {:7.0f} p99.9 {:7.0f} us | added p50 {:6.0f} p99 {:6.0f} us\n",
    aName,
    ToMicroseconds(direct.Quantile(0.5)),
    ToMicroseconds(direct.Quantile(0.99)),
    ToMicroseconds(through.Quantile(0.5)),
    ToMicroseconds(through.Quantile(0.99)),
    ToMicroseconds(through.Quantile(0.999)),
    added(0.5),
    added(0.99));
  std::fflush(stdout);
  return { { "name", aName },
           { "direct", direct.ToJson() },
           { "through", through.ToJson() },
           { "added_p50_us", added(0.5) },
           { "added_p99_us", added(0.99) } };
}

std::vector<std::chrono::nanoseconds>
Latencies(const std::vector<CallRecord>& aRecords)
{
  std::vector<std::chrono::nanoseconds> latencies;
  latencies.reserve(aRecords.size());
  for (const CallRecord& each : aRecords) {
    latencies.push_back(each.m_latency);
  }
  return latencies;
}

Json
MeasureLatency(const Options& aOptions)
{
  Fleet fleet;
  fleet.Add({ .m_slot = "locker-app-1",
              .m_service = "locker-app",
              .m_serviceMs = 0,
              .m_settings = aOptions.m_extraSettings });
  fleet.Add({ .m_slot = "ledger-1",
              .m_service = "ledger",
              .m_settings = aOptions.m_extraSettings });
  if (!fleet.WaitForMembers() ||
      !fleet.SubmitPatch("ledger-1", "r", 0, kRoute) ||
      !fleet.WaitForVersion(1)) {
    throw std::runtime_error{ "the fleet did not become ready" };
  }
  const std::string direct = fleet.BackendUrl("locker-app-1") + "/status";
  const std::string through = fleet.CallsUrl("ledger-1") + "/status";
  const std::string body(200, 'x');
  Json results = Json::array();
  for (int run = 0; run < aOptions.m_runs; ++run) {
    for (const std::size_t callers : { std::size_t{ 1 }, std::size_t{ 4 } }) {
      ClosedLoopPlan plan{ .m_url = direct,
                           .m_body = body,
                           .m_callers = callers,
                           .m_count = aOptions.m_calls };
      const auto first = RunClosedLoop(plan);
      plan.m_url = through;
      const auto second = RunClosedLoop(plan);
      results.push_back(
        ReportLatencies(first.m_latencies,
                        second.m_latencies,
                        fmt::format("closed loop, {} callers", callers)));
      const auto rate = [&](const ClosedLoopResult& aResult) {
        return static_cast<double>(aOptions.m_calls) /
               std::chrono::duration<double>(aResult.m_elapsed).count();
      };
      fmt::print("{:32} {:.0f}/s direct, {:.0f}/s through, {} failures\n",
                 "",
                 rate(first),
                 rate(second),
                 first.m_failures + second.m_failures);
    }
    for (const double rate : { 66.0, 264.0, 2000.0 }) {
      const std::size_t count =
        std::min(aOptions.m_calls, static_cast<std::size_t>(rate * 8));
      LoadPlan plan{ .m_urls = { fleet.BackendUrl("locker-app-1") },
                     .m_method = "GET",
                     .m_target = "/status",
                     .m_rate = rate,
                     .m_count = count,
                     .m_body = body };
      const auto first = RunLoad(plan);
      plan.m_urls = { fleet.CallsUrl("ledger-1") };
      const auto second = RunLoad(plan);
      results.push_back(
        ReportLatencies(Latencies(first),
                        Latencies(second),
                        fmt::format("open loop, {:.0f}/s", rate)));
    }
  }
  return results;
}

/// Resources used by a daemon, from its metrics and from /proc.
struct Usage
{
  double m_cpuSeconds{ 0 };
  double m_residentMb{ 0 };
  double m_bytes{ 0 };
  std::map<std::string, double> m_byPurpose;
};

Usage
UsageOf(Fleet& aFleet, const std::string& aSlot)
{
  Usage usage;
  std::istringstream metrics{ std::string{
    aFleet.CallOperatorsApi(aSlot, "GET", "/metrics")
      .m_result.m_response.m_body.View() } };
  for (std::string line; std::getline(metrics, line);) {
    if (line.starts_with("greengagehub_control_bytes{")) {
      const std::size_t separator = line.rfind(' ');
      const double value = std::stod(line.substr(separator + 1));
      usage.m_byPurpose[line.substr(27, separator - 28)] += value;
      usage.m_bytes += value;
    }
  }
  const std::string base = fmt::format("/proc/{}", aFleet.Daemon(aSlot).Pid());
  std::ifstream stat{ base + "/stat" };
  std::string text;
  std::getline(stat, text);
  std::istringstream fields{ text.substr(text.rfind(')') + 2) };
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.m_cpuSeconds =
    (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  std::ifstream memory{ base + "/statm" };
  double pages = 0;
  double resident = 0;
  memory >> pages >> resident;
  usage.m_residentMb =
    resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return usage;
}

void
StartDaemons(Fleet& aFleet, const Options& aOptions)
{
  for (int i = 0; i < aOptions.m_daemons; ++i) {
    aFleet.Add({ .m_slot = fmt::format("d{:03}", i),
                 .m_service = fmt::format("service-{}", i % 10),
                 .m_domain = fmt::format("domain-{}", i % 7),
                 .m_settings = fmt::format("[dissemination]\nfanout = {}\n{}",
                                           aOptions.m_fanout,
                                           aOptions.m_extraSettings),
                 .m_withBackend = false });
  }
  if (!aFleet.WaitForMembers()) {
    throw std::runtime_error{ "the daemons did not discover each other" };
  }
}

/// Average usage per daemon since an earlier sample.
Json
UsageBetween(Fleet& aFleet,
             const std::map<std::string, Usage>& aBefore,
             double aSeconds)
{
  double cpu = 0;
  double bytes = 0;
  double maxBytes = 0;
  double resident = 0;
  std::map<std::string, double> purposes;
  for (const auto& [slot, before] : aBefore) {
    const Usage now = UsageOf(aFleet, slot);
    cpu += now.m_cpuSeconds - before.m_cpuSeconds;
    bytes += now.m_bytes - before.m_bytes;
    maxBytes = std::max(maxBytes, now.m_bytes - before.m_bytes);
    resident = std::max(resident, now.m_residentMb);
    for (const auto& [purpose, value] : now.m_byPurpose) {
      const auto old = before.m_byPurpose.find(purpose);
      purposes[purpose] +=
        value - (old == before.m_byPurpose.end() ? 0 : old->second);
    }
  }
  const auto count = static_cast<double>(aBefore.size());
  Json byPurpose;
  for (const auto& [purpose, value] : purposes) {
    byPurpose[purpose] = value / count / aSeconds;
  }
  return { { "seconds", aSeconds },
           { "cpu_percent_of_core", 100 * cpu / count / aSeconds },
           { "control_bytes_per_second", bytes / count / aSeconds },
           { "control_bytes_per_second_most", maxBytes / aSeconds },
           { "bytes_by_purpose", byPurpose },
           { "resident_mb_most", resident } };
}

std::map<std::string, Usage>
UsageOfAll(Fleet& aFleet)
{
  std::map<std::string, Usage> usage;
  for (const std::string& each : aFleet.Slots()) {
    usage[each] = UsageOf(aFleet, each);
  }
  return usage;
}

double
Seconds(ClockType::time_point aSince)
{
  return std::chrono::duration<double>(ClockType::now() - aSince).count();
}

Json
MeasureIdleFleet(Fleet& aFleet, int aSeconds)
{
  const auto before = UsageOfAll(aFleet);
  const auto since = ClockType::now();
  static_cast<void>(
    WaitUntil([] { return false; }, std::chrono::seconds{ aSeconds }));
  return UsageBetween(aFleet, before, Seconds(since));
}

/// \returns For each daemon, the time from the acceptance of a version until
/// the daemon logged that it is in force.
std::vector<std::chrono::nanoseconds>
ActivationDelays(Fleet& aFleet,
                 std::uint64_t aVersion,
                 std::chrono::sys_time<std::chrono::milliseconds> aAccepted)
{
  std::vector<std::chrono::nanoseconds> times;
  for (const std::string& slot : aFleet.Slots()) {
    std::istringstream lines{ aFleet.Daemon(slot).Log() };
    for (std::string line; std::getline(lines, line);) {
      const Json entry = Json::parse(line, nullptr, false);
      const bool isInForce =
        entry.is_object() && entry.value("event", "") == "version_in_force" &&
        entry.value("before", std::uint64_t{ 0 }) < aVersion &&
        entry.value("version", std::uint64_t{ 0 }) >= aVersion;
      if (isInForce) {
        const std::chrono::milliseconds at{ entry.value("time_ms",
                                                        std::int64_t{ 0 }) };
        times.emplace_back(at - aAccepted.time_since_epoch());
        break;
      }
    }
  }
  return times;
}

Json
MeasureConvergence(const Options& aOptions)
{
  Fleet fleet;
  StartDaemons(fleet, aOptions);
  const Json idle = MeasureIdleFleet(fleet, aOptions.m_seconds);
  const auto before = UsageOfAll(fleet);
  const Json storeBefore = fleet.StoreStats();
  const auto since = ClockType::now();
  std::vector<std::chrono::sys_time<std::chrono::milliseconds>> accepted;
  for (int i = 0; i < aOptions.m_changes; ++i) {
    const auto version = static_cast<std::uint64_t>(i);
    // About the size of a typical patch.
    const std::string patch = fmt::format(
      R"({{"services":{{"s{}":{{"slots":20,"queue":40}}}},"routes":{{"r{}":)"
      R"({{"path":"/r{}/{}","service":"s{}","class":"lookup"}}}}}})",
      i,
      i,
      i,
      std::string(120, 'x'),
      i);
    const auto slots = fleet.Slots();
    const std::string& slot = slots[static_cast<std::size_t>(i) % slots.size()];
    if (!fleet.SubmitPatch(slot, fmt::format("p{}", i), version, patch)) {
      throw std::runtime_error{ fmt::format(
        "patch p{} was not accepted by {}", i, slot) };
    }
    accepted.push_back(std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now()));
    if (!fleet.WaitForVersion(version + 1)) {
      throw std::runtime_error{ fmt::format(
        "version {} did not come into force", version + 1) };
    }
  }
  const double elapsed = Seconds(since);
  const Json usage = UsageBetween(fleet, before, elapsed);
  const Json storeAfter = fleet.StoreStats();
  std::vector<std::chrono::nanoseconds> all;
  std::vector<std::chrono::nanoseconds> last;
  for (int i = 0; i < aOptions.m_changes; ++i) {
    const auto index = static_cast<std::size_t>(i);
    const auto times = ActivationDelays(
      fleet, static_cast<std::uint64_t>(i) + 1, accepted[index]);
    all.insert(all.end(), times.begin(), times.end());
    last.push_back(*std::max_element(times.begin(), times.end()));
  }
  const Distribution each{ all };
  const Distribution everywhere{ last };
  const double perChange = (usage["control_bytes_per_second"].get<double>() -
                            idle["control_bytes_per_second"].get<double>()) *
                           elapsed / aOptions.m_changes;
  fmt::print("{} daemons, fanout {}: each p50 {:.0f} p99 {:.0f} ms; "
             "everywhere p50 {:.0f} max {:.0f} ms; {:.0f} B per change and "
             "daemon; quiet {:.0f} B/s, {:.2f}% core, {:.1f} MB\n",
             aOptions.m_daemons,
             aOptions.m_fanout,
             ToMicroseconds(each.Quantile(0.5)) / 1000,
             ToMicroseconds(each.Quantile(0.99)) / 1000,
             ToMicroseconds(everywhere.Quantile(0.5)) / 1000,
             ToMicroseconds(everywhere.Quantile(1.0)) / 1000,
             perChange,
             idle["control_bytes_per_second"].get<double>(),
             idle["cpu_percent_of_core"].get<double>(),
             idle["resident_mb_most"].get<double>());
  return { { "daemons", aOptions.m_daemons },
           { "fanout", aOptions.m_fanout },
           { "each", each.ToJson() },
           { "everywhere", everywhere.ToJson() },
           { "bytes_per_change_and_daemon", perChange },
           { "quiet", idle },
           { "changing", usage },
           { "store_before", storeBefore },
           { "store_after", storeAfter } };
}

Json
MeasureRest(const Options& aOptions)
{
  Fleet fleet;
  StartDaemons(fleet, aOptions);
  const Json before = fleet.StoreStats();
  Json rest = MeasureIdleFleet(fleet, aOptions.m_seconds);
  rest["daemons"] = aOptions.m_daemons;
  rest["store_before"] = before;
  rest["store_after"] = fleet.StoreStats();
  fmt::print("{}\n", rest.dump());
  return rest;
}

Json
Run(const Options& aOptions)
{
  if (aOptions.m_command == "latency") {
    return MeasureLatency(aOptions);
  }
  if (aOptions.m_command == "convergence") {
    return MeasureConvergence(aOptions);
  }
  if (aOptions.m_command == "rest") {
    return MeasureRest(aOptions);
  }
  throw std::runtime_error{ fmt::format(
    "unknown command \"{}\"; expected latency, convergence or rest",
    aOptions.m_command) };
}

}

int
main(int aCount, char** aArguments)
{
  namespace po = boost::program_options;
  Options options;
  std::string out;
  po::options_description described{ "experiment COMMAND" };
  described.add_options()("command", po::value(&options.m_command), "")(
    "daemons", po::value(&options.m_daemons), "daemons to start")(
    "changes", po::value(&options.m_changes), "versions to accept")(
    "runs", po::value(&options.m_runs), "repetitions")(
    "seconds", po::value(&options.m_seconds), "length of the quiet time")(
    "fanout", po::value(&options.m_fanout), "peers a version is pushed to")(
    "calls", po::value(&options.m_calls), "calls of a closed loop")(
    "settings", po::value(&options.m_extraSettings), "more lines of settings")(
    "out", po::value(&out), "file for the results as JSON");
  po::positional_options_description position;
  position.add("command", 1);
  try {
    po::variables_map given;
    po::store(po::command_line_parser(aCount, aArguments)
                .options(described)
                .positional(position)
                .run(),
              given);
    po::notify(given);
    const Json result = Run(options);
    if (!out.empty()) {
      std::ofstream{ out } << result.dump(1) << '\n';
    }
    return 0;
  } catch (const std::exception& fault) {
    fmt::print(stderr, "{}\n", fault.what());
    return 1;
  }
}
