#include "src/cli/rollout.hpp"

#include <cstdio>
#include <fmt/format.h>

namespace greengagehub::cli {

namespace {

constexpr double kMsInSecond = 1000.0;

void
PrintRollout(const Json& aRollout)
{
  fmt::print("{}: {} to {}, {}{}, ordered {:.1f} s ago\n",
             aRollout.value("service", ""),
             aRollout.value("in_service_before", ""),
             aRollout.value("target", ""),
             aRollout.value("state", ""),
             aRollout.value("written", false) ? " (recorded)" : "",
             aRollout.value("ordered_ms_ago", 0.0) / kMsInSecond);
}

void
PrintEvidence(const Json& aRollout)
{
  fmt::print("  share of calls: {} in 1000, on {} workers (0: all)\n",
             aRollout.value("permille", 0),
             aRollout.value("workers", 0));
  fmt::print("  reason: {}; of {} runs, {} were bad; expected: {}\n",
             aRollout.value("reason", ""),
             aRollout.value("runs", 0),
             aRollout.value("harmed", 0),
             aRollout.value("harmed_expected", 0));
}

/// \param aService empty: all services.
/// \param aExplain whether to print the evidence for the state.
int
Show(const Options& aOptions, const std::string& aService, bool aExplain)
{
  const auto answer = GetJson(aOptions, "/v1/rollouts");
  if (!answer) {
    return Unreachable;
  }
  if (aOptions.m_json) {
    fmt::print("{}\n", answer->dump());
    return Done;
  }
  int shown = 0;
  for (const Json& each : answer->value("rollouts", Json::array())) {
    if (!aService.empty() && each.value("service", "") != aService) {
      continue;
    }
    ++shown;
    PrintRollout(each);
    if (aExplain) {
      PrintEvidence(each);
    }
  }
  fmt::print("{} known\n", shown);
  return Done;
}

int
PostChange(const Options& aOptions, const std::string& aPath)
{
  constexpr int kAccepted = 202;
  const HttpClientResult result =
    SendAndWait(MakeRequest(aOptions, "POST", aPath));
  if (result.m_kind != HttpClientResult::Kind::Answered) {
    return ReportUnreachable(aOptions, result);
  }
  fmt::print("{}\n", result.m_response.m_body);
  return result.m_response.m_status == kAccepted ? Done : Refused;
}

}

int
Rollout(const Options& aOptions)
{
  const auto& words = aOptions.m_files;
  const std::string service = words.empty() ? "" : words[0];
  const std::string& verb = aOptions.m_argument;
  if (verb == "status") {
    return Show(aOptions, service, false);
  }
  if (verb == "explain") {
    return Show(aOptions, service, true);
  }
  if (verb == "stop" && words.size() == 1) {
    return PostChange(aOptions,
                      "/v1/rollouts/stop?service=" + PercentEncoded(service));
  }
  if (verb == "start" && words.size() == 2) {
    return PostChange(
      aOptions,
      fmt::format("/v1/rollouts/start?service={}&target={}&duration_ms={}",
                  PercentEncoded(service),
                  PercentEncoded(words[1]),
                  std::chrono::milliseconds{ aOptions.m_timeout }.count()));
  }
  fmt::print(stderr,
             "rollout status [SERVICE] | explain [SERVICE] | "
             "start SERVICE VERSION --timeout SECONDS | stop SERVICE\n");
  return WrongUse;
}

}
