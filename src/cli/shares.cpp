#include "src/cli/shares.hpp"

#include <cstdio>
#include <fmt/format.h>

namespace greengagehub::cli {

int
ShowShares(const Options& aOptions)
{
  const auto answer = GetJson(aOptions, "/v1/shares");
  if (!answer) {
    return Unreachable;
  }
  if (aOptions.m_json) {
    fmt::print("{}\n", answer->dump());
    return Done;
  }
  fmt::print("{} slots: {} running, {} queued, {} workspaces active\n",
             answer->value("slots", 0),
             answer->value("running", 0),
             answer->value("queued", 0),
             answer->value("active", 0));
  const Json workspaces = answer->value("workspaces", Json::array());
  for (const Json& each : workspaces) {
    const std::string name = each.value("workspace", "");
    fmt::print("{:24} weight {:>7.3f} share {:.3f} queued {:>3} running {:>3} "
               "slot time {:>8.2f} s refused {}\n",
               name.empty() ? "(none)" : name,
               each.value("weight", 0.0) / 1000.0,
               each.value("share", 0.0),
               each.value("queued", 0),
               each.value("running", 0),
               each.value("slot_s", 0.0),
               each.value("refused", 0));
  }
  return Done;
}

}
