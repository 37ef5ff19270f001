#include "greengagehub/observe/request_trace.hpp"
#include "greengagehub/settings/settings.hpp"
#include "src/cli/limits.hpp"
#include "src/cli/quarantine.hpp"
#include "src/cli/quotas.hpp"
#include "src/cli/rollout.hpp"
#include "src/cli/shares.hpp"

#include <boost/program_options.hpp>
#include <cstdio>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <thread>

/// \file
/// \brief The operators' command-line client.

namespace {

using greengagehub::HttpClientRequest;
using greengagehub::HttpClientResult;
using greengagehub::SendAndWait;
using namespace greengagehub::cli; // NOLINT: this program's namespace
namespace po = boost::program_options;

constexpr const char* kVersion = "0.1.0";
constexpr const char* kUsage = R"(greengagehub COMMAND [OPTIONS]

  submit PATCH_FILE     submit a patch on version --base
  version               show the version in force; with --wait N, wait until N
                        is in force on all daemons, at most --timeout seconds
  explain PATCH_ID      show the recorded decision on a patch
  status                show the state of one daemon
  limits                list the rate limits and departures that backend servers
                        have stated, and what is booked on the network link
  shares                list the workspaces that use the daemon's backend server:
                        weight, share, calls queued and running, slot time
  quotas                list the quota shards with their coordinators, and the
                        workspaces that are busy at the daemon
  held                  list quarantined request fingerprints, with the worker
                        crashes that caused the quarantine
  lift FINGERPRINT      lift a quarantine on all daemons
  rollout VERB ...      canary roll-outs: status [SERVICE], explain [SERVICE],
                        start SERVICE VERSION with --timeout seconds until it is
                        completed or rolled back, stop SERVICE
  drain                 drain a daemon
  check-settings FILE   check a daemon's settings
  trace REQUEST_ID LOG...  merge the log lines of daemons about a request and
                        show the last one; exit code 1 if there are none

Exit codes: 0 accepted or done, 1 refused, 2 wrong use or bad settings,
3 unknown (look up the same id again), 4 unreachable, 5 timed out.
)";

std::string
RandomId()
{
  std::random_device source;
  return fmt::format("{:08x}{:08x}", source(), source());
}

void
PrintDecision(const Json& aDecision)
{
  const std::string id = aDecision.value("id", "");
  if (aDecision.value("accepted", false)) {
    fmt::print("patch {}: accepted as version {}\n",
               id,
               aDecision.value("version", 0ULL));
    return;
  }
  fmt::print(
    "patch {}: refused at version {}\n", id, aDecision.value("head", 0ULL));
  for (const Json& each : aDecision.value("reasons", Json::array())) {
    const std::string place = each.value("place", "");
    fmt::print("  {}{}{}: {}\n",
               each.value("code", ""),
               place.empty() ? "" : " at ",
               place,
               each.value("detail", ""));
  }
}

int
ReportDecision(const Options& aOptions, const HttpClientResult& aResult)
{
  if (aResult.m_kind != HttpClientResult::Kind::Answered) {
    if (!aOptions.m_id.empty()) {
      fmt::print(stderr,
                 "use patch id {} to look up the decision or to submit again\n",
                 aOptions.m_id);
    }
    return ReportUnreachable(aOptions, aResult);
  }
  const auto& response = aResult.m_response;
  const Json body = Json::parse(response.m_body.View(), nullptr, false);
  if (aOptions.m_json) {
    fmt::print("{}\n", response.m_body);
  } else if (body.contains("accepted")) {
    PrintDecision(body);
  } else {
    fmt::print("{}: {}\n", body.value("error", ""), body.value("detail", ""));
  }
  if (body.contains("accepted")) {
    return body.value("accepted", false) ? Done : Refused;
  }
  if (response.m_status == 503 || response.m_status == 404) {
    return Unknown;
  }
  return response.m_status >= 500 ? Unreachable : WrongUse;
}

/// Prints the changes accepted since the patch's base.
/// \returns The newest version as the new base, or nothing if it is unknown.
std::optional<std::uint64_t>
Rebase(const Options& aOptions)
{
  const auto now = GetJson(aOptions, "/v1/version");
  if (!now) {
    return std::nullopt;
  }
  const auto head = now->value("version", std::uint64_t{ 0 });
  const std::uint64_t base = aOptions.m_base.value_or(head);
  const auto between =
    GetJson(aOptions, fmt::format("/v1/changes?after={}", base));
  if (!between) {
    return std::nullopt;
  }
  fmt::print(stderr, "from version {} to {}:\n", base, head);
  for (const Json& each : between->value("changes", Json::array())) {
    fmt::print(stderr,
               "  version {}: {}\n",
               each.value("version", std::uint64_t{ 0 }),
               each.value("patch", ""));
  }
  if (!between->value("complete", false)) {
    fmt::print(stderr,
               "  (older changes are no longer stored on this daemon)\n");
  }
  return head;
}

int
Submit(Options aOptions)
{
  std::ifstream file{ aOptions.m_argument };
  if (!file) {
    fmt::print(stderr, "{}: cannot open file\n", aOptions.m_argument);
    return WrongUse;
  }
  std::ostringstream patch;
  patch << file.rdbuf();
  std::optional<std::uint64_t> base = aOptions.m_base;
  if (!base || aOptions.m_rebase) {
    base = Rebase(aOptions);
  }
  if (!base) {
    return Unreachable;
  }
  if (aOptions.m_id.empty()) {
    aOptions.m_id = RandomId();
  }
  HttpClientRequest request =
    MakeRequest(aOptions,
                "POST",
                fmt::format("/v1/patches?id={}&base={}&author={}",
                            PercentEncoded(aOptions.m_id),
                            *base,
                            PercentEncoded(aOptions.m_author)));
  request.m_body = patch.str();
  return ReportDecision(aOptions, SendAndWait(std::move(request)));
}

int
WaitForVersion(const Options& aOptions, std::uint64_t aVersion)
{
  const auto until = std::chrono::steady_clock::now() + aOptions.m_timeout;
  constexpr auto kPause = std::chrono::milliseconds{ 100 };
  while (std::chrono::steady_clock::now() < until) {
    const auto now =
      GetJson(aOptions, fmt::format("/v1/version?refresh={}", aVersion));
    if (!now) {
      return Unreachable;
    }
    if (now->value("lowest_in_force", std::uint64_t{ 0 }) >= aVersion) {
      fmt::print("version {} is in force on {} daemons\n",
                 aVersion,
                 now->value("members", 0));
      return Done;
    }
    std::this_thread::sleep_for(kPause);
  }
  fmt::print("version {} is not in force everywhere yet\n", aVersion);
  return TimedOut;
}

int
ShowVersion(const Options& aOptions)
{
  if (aOptions.m_wait) {
    return WaitForVersion(aOptions, *aOptions.m_wait);
  }
  const auto now = GetJson(aOptions, "/v1/version");
  if (!now) {
    return Unreachable;
  }
  if (aOptions.m_json) {
    fmt::print("{}\n", now->dump());
  } else {
    fmt::print("{}\n", now->value("version", std::uint64_t{ 0 }));
  }
  return Done;
}

int
Explain(Options aOptions)
{
  aOptions.m_id = aOptions.m_argument;
  return ReportDecision(
    aOptions,
    SendAndWait(MakeRequest(
      aOptions, "GET", "/v1/patches/" + PercentEncoded(aOptions.m_argument))));
}

int
Status(const Options& aOptions)
{
  const auto status = GetJson(aOptions, "/v1/status");
  if (!status) {
    return Unreachable;
  }
  fmt::print("{}\n", status->dump(aOptions.m_json ? -1 : 2));
  return Done;
}

int
Drain(const Options& aOptions)
{
  const HttpClientResult result =
    SendAndWait(MakeRequest(aOptions, "POST", "/v1/drain"));
  if (result.m_kind != HttpClientResult::Kind::Answered) {
    return ReportUnreachable(aOptions, result);
  }
  fmt::print("{}\n", result.m_response.m_body);
  return result.m_response.m_status == 202 ? Done : WrongUse;
}

int
CheckSettings(const Options& aOptions)
{
  const auto settings = greengagehub::LoadSettings(aOptions.m_argument);
  if (settings) {
    fmt::print("{}: good\n", aOptions.m_argument);
    return Done;
  }
  for (const auto& each : settings.error()) {
    fmt::print(stderr, "{}\n", greengagehub::Describe(each));
  }
  return WrongUse;
}

int
Trace(const Options& aOptions)
{
  std::vector<std::string> logs;
  for (const std::string& each : aOptions.m_files) {
    std::ifstream file{ each };
    if (!file) {
      fmt::print(stderr, "{}: cannot open file\n", each);
      return WrongUse;
    }
    std::ostringstream text;
    text << file.rdbuf();
    logs.push_back(text.str());
  }
  const auto trace = greengagehub::TraceRequest(aOptions.m_argument, logs);
  for (const greengagehub::TracedLine& each : trace.m_lines) {
    fmt::print("{}\n", each.m_text);
  }
  if (trace.m_lines.empty()) {
    fmt::print(stderr, "no log lines about request {}\n", aOptions.m_argument);
    return Refused;
  }
  fmt::print("ended by: {}\n",
             trace.m_finishedLine.empty() ? "no logged decision"
                                          : trace.m_finishedLine);
  return Done;
}

int
Dispatch(const Options& aOptions)
{
  const std::string& command = aOptions.m_command;
  const bool needsArgument = command == "submit" || command == "explain" ||
                             command == "check-settings" ||
                             command == "trace" || command == "lift";
  if (needsArgument && aOptions.m_argument.empty()) {
    fmt::print(stderr, "{}: missing argument; see --help\n", command);
    return WrongUse;
  }
  if (command == "check-settings") {
    return CheckSettings(aOptions);
  }
  if (command == "trace") {
    return Trace(aOptions);
  }
  if (aOptions.m_daemon.empty()) {
    fmt::print(stderr,
               "--daemon URL or GREENGAGEHUB_DAEMON is required; see --help\n");
    return WrongUse;
  }
  if (command == "submit") {
    return Submit(aOptions);
  }
  if (command == "version") {
    return ShowVersion(aOptions);
  }
  if (command == "explain") {
    return Explain(aOptions);
  }
  if (command == "status") {
    return Status(aOptions);
  }
  if (command == "limits") {
    return ShowLimits(aOptions);
  }
  if (command == "shares") {
    return ShowShares(aOptions);
  }
  if (command == "quotas") {
    return ShowQuotas(aOptions);
  }
  if (command == "held") {
    return ShowQuarantine(aOptions);
  }
  if (command == "lift") {
    return LiftQuarantine(aOptions);
  }
  if (command == "rollout") {
    return Rollout(aOptions);
  }
  if (command == "drain") {
    return Drain(aOptions);
  }
  fmt::print(stderr, "unknown command \"{}\"; see --help\n", command);
  return WrongUse;
}

std::string
Environment(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? std::string{} : std::string{ value };
}

Options
OptionsFrom(const po::variables_map& aGiven)
{
  Options options;
  options.m_command = aGiven["command"].as<std::string>();
  options.m_argument = aGiven["argument"].as<std::string>();
  if (aGiven.count("files") != 0) {
    options.m_files = aGiven["files"].as<std::vector<std::string>>();
  }
  options.m_daemon = aGiven["daemon"].as<std::string>();
  options.m_token = aGiven["token"].as<std::string>();
  options.m_id = aGiven["id"].as<std::string>();
  options.m_author = aGiven["author"].as<std::string>();
  options.m_timeout =
    std::chrono::seconds{ aGiven["timeout"].as<std::uint32_t>() };
  options.m_rebase = aGiven.count("rebase") != 0;
  options.m_json = aGiven.count("json") != 0;
  if (aGiven.count("base") != 0) {
    options.m_base = aGiven["base"].as<std::uint64_t>();
  }
  if (aGiven.count("wait") != 0) {
    options.m_wait = aGiven["wait"].as<std::uint64_t>();
  }
  return options;
}

}

int
main(int aCount, char** aArguments)
{
  po::options_description options{ "Options" };
  const auto text = [](const std::string& aDefault) {
    return po::value<std::string>()->default_value(aDefault);
  };
  options.add_options()("daemon",
                        text(Environment("GREENGAGEHUB_DAEMON")),
                        "URL of a daemon's operators' endpoint")(
    "token", text(Environment("GREENGAGEHUB_TOKEN")), "operators' token")(
    "id", text(""), "id of the patch")(
    "author", text(Environment("USER")), "recorded with the decision")(
    "base", po::value<std::uint64_t>(), "version that the patch is based on")(
    "rebase",
    "show the changes since --base, then submit on the newest version")(
    "wait", po::value<std::uint64_t>(), "version to wait for")(
    "timeout",
    po::value<std::uint32_t>()->default_value(10),
    "seconds to wait")("json", "print JSON")("help", "show this help")(
    "version",
    "show the version")("command", text(""), "")("argument", text(""), "")(
    "files", po::value<std::vector<std::string>>(), "");
  po::positional_options_description positions;
  positions.add("command", 1).add("argument", 1).add("files", -1);
  try {
    po::variables_map given;
    po::store(po::command_line_parser(aCount, aArguments)
                .options(options)
                .positional(positions)
                .run(),
              given);
    if (given.count("version") != 0) {
      fmt::print("greengagehub {}\n", kVersion);
      return Done;
    }
    if (given.count("help") != 0 ||
        given["command"].as<std::string>().empty()) {
      std::ostringstream shown;
      shown << options;
      fmt::print("{}\n{}", kUsage, shown.str());
      return given.count("help") != 0 ? Done : WrongUse;
    }
    return Dispatch(OptionsFrom(given));
  } catch (const std::exception& fault) {
    fmt::print(stderr, "{}\n", fault.what());
    return WrongUse;
  }
}
