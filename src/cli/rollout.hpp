#pragma once

#include "src/cli/common.hpp"

namespace greengagehub::cli {

/// \brief Starts, shows, explains or stops roll-outs.
[[nodiscard]] int
Rollout(const Options& aOptions);

}
