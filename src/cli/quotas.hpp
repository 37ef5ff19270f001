#pragma once

#include "src/cli/common.hpp"

namespace greengagehub::cli {

/// \brief Prints the quota shards with their coordinators, and the workspaces
/// that are busy at the daemon.
[[nodiscard]] int
ShowQuotas(const Options& aOptions);

}
