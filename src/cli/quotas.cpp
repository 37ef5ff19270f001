#include "src/cli/quotas.hpp"

#include <cstdio>
#include <fmt/format.h>

namespace greengagehub::cli {

namespace {

constexpr double kMsInSecond = 1000.0;

void
PrintShard(std::size_t aIndex, const Json& aShard)
{
  const std::string coordinator = aShard.value("coordinator", "");
  fmt::print("shard {}: {}{}",
             aIndex,
             coordinator.empty() ? "no known coordinator" : coordinator,
             aShard.value("silent", false) ? ", silent" : "");
  if (aShard.value("own", false)) {
    fmt::print(", this daemon; {} daemons query it",
               aShard.value("queriers", 0));
  }
  fmt::print("\n");
}

void
PrintWorkspace(const Json& aWorkspace)
{
  fmt::print("{}: {:.1f} requests/s here, limit {:.1f}; {} tokens, {} waiting, "
             "reserve {}",
             aWorkspace.value("workspace", ""),
             aWorkspace.value("per_second", 0.0),
             aWorkspace.value("limit_per_second", 0.0),
             aWorkspace.value("tokens", 0),
             aWorkspace.value("waiting", 0),
             aWorkspace.value("reserve", 0));
  const double overQuota = aWorkspace.value("over_quota_ms", 0.0);
  if (overQuota > 0.0) {
    fmt::print(", over quota for {:.2f} s", overQuota / kMsInSecond);
  }
  fmt::print("\n");
}

}

int
ShowQuotas(const Options& aOptions)
{
  const auto answer = GetJson(aOptions, "/v1/quotas");
  if (!answer) {
    return Unreachable;
  }
  if (aOptions.m_json) {
    fmt::print("{}\n", answer->dump());
    return Done;
  }
  const Json shards = answer->value("shards", Json::array());
  for (std::size_t i = 0; i < shards.size(); ++i) {
    PrintShard(i, shards[i]);
  }
  for (const Json& each : answer->value("workspaces", Json::array())) {
    PrintWorkspace(each);
  }
  return Done;
}

}
