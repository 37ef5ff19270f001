#include "src/cli/limits.hpp"

#include <cstdio>
#include <fmt/format.h>

namespace greengagehub::cli {

namespace {

constexpr double kMsInSecond = 1000.0;
constexpr double kMicrosInMs = 1000.0;

/// \returns Such as "17.3 requests/s" or "leaving"; "no limit" without either.
std::string
Describe(const Json& aStatement)
{
  std::string text = aStatement.value("leaving", false) ? "leaving" : "";
  if (aStatement.value("limited", false)) {
    text += fmt::format("{}{} requests/s",
                        text.empty() ? "" : ", ",
                        aStatement.value("per_second", 0.0));
  }
  return text.empty() ? "no limit" : text;
}

void
PrintOwn(const Json& aOwn)
{
  fmt::print(
    "own backend server {}: {}\n", aOwn.value("instance", ""), Describe(aOwn));
  if (aOwn.value("limited", false)) {
    fmt::print("  for {:.1f} s, last stated {:.1f} s ago; {} sent in the last "
               "4 s\n",
               aOwn.value("limited_ms", 0.0) / kMsInSecond,
               aOwn.value("stated_ms_ago", 0.0) / kMsInSecond,
               aOwn.value("sent_in_4_s", 0));
  }
}

void
PrintLink(const Json& aLink)
{
  if (!aLink.value("known", false)) {
    fmt::print("network link: rate not known, not booked\n");
    return;
  }
  fmt::print("network link: {} bytes in {} calls booked out, {} bytes booked "
             "in, backlog {} ms, {} calls refused\n",
             aLink.value("booked_out_bytes", 0),
             aLink.value("booked_out_calls", 0),
             aLink.value("booked_in_bytes", 0),
             aLink.value("backlog_ms", 0),
             aLink.value("refused", 0));
}

}

int
ShowLimits(const Options& aOptions)
{
  const auto answer = GetJson(aOptions, "/v1/limits");
  if (!answer) {
    return Unreachable;
  }
  if (aOptions.m_json) {
    fmt::print("{}\n", answer->dump());
    return Done;
  }
  PrintOwn(answer->value("own", Json::object()));
  PrintLink(answer->value("link", Json::object()));
  const Json known = answer->value("known", Json::array());
  for (const Json& each : known) {
    fmt::print("{}: {}, {:.1f} s ago\n",
               each.value("slot", ""),
               Describe(each),
               each.value("age_ms", 0.0) / kMsInSecond);
  }
  fmt::print("{} known from calls\n", known.size());
  for (const Json& each : answer->value("transit", Json::array())) {
    fmt::print("transit to {}: {:.1f} ms, {:.1f} s ago\n",
               each.value("slot", ""),
               each.value("transit_us", 0.0) / kMicrosInMs,
               each.value("age_ms", 0.0) / kMsInSecond);
  }
  return Done;
}

}
