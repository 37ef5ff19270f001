#include "src/cli/quarantine.hpp"

#include <cstdio>
#include <fmt/format.h>

namespace greengagehub::cli {

namespace {

void
PrintQuarantined(const Json& aEntry)
{
  constexpr double kMsInSecond = 1000.0;
  const auto seconds = [](const Json& aJson, const char* aName) {
    return aJson.value(aName, 0.0) / kMsInSecond;
  };
  fmt::print("{}  {} crashes at {}, quarantined for {:.0f} s, {:.0f} s left\n",
             aEntry.value("content", ""),
             aEntry.value("ends", 0),
             aEntry.value("service", ""),
             seconds(aEntry, "held_ms"),
             seconds(aEntry, "left_ms"));
  for (const Json& each : aEntry.value("witnesses", Json::array())) {
    fmt::print("  {}: {:.1f} s ago, after {} ms\n",
               each.value("slot", ""),
               seconds(each, "ago_ms"),
               each.value("ran_ms", 0));
  }
}

}

int
ShowQuarantine(const Options& aOptions)
{
  const auto answer = GetJson(aOptions, "/v1/quarantine");
  if (!answer) {
    return Unreachable;
  }
  if (aOptions.m_json) {
    fmt::print("{}\n", answer->dump());
    return Done;
  }
  const Json quarantined = answer->value("held", Json::array());
  for (const Json& each : quarantined) {
    PrintQuarantined(each);
  }
  fmt::print("{} quarantined\n", quarantined.size());
  return Done;
}

int
LiftQuarantine(const Options& aOptions)
{
  const HttpClientResult result = SendAndWait(MakeRequest(
    aOptions,
    "POST",
    "/v1/quarantine/lift?content=" + PercentEncoded(aOptions.m_argument)));
  if (result.m_kind != HttpClientResult::Kind::Answered) {
    return ReportUnreachable(aOptions, result);
  }
  fmt::print("{}\n", result.m_response.m_body);
  return result.m_response.m_status == 200 ? Done : WrongUse;
}

}
