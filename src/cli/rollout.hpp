#pragma once

#include "src/cli/common.hpp"

namespace greengagehub::cli {

/// \brief Starts, shows, explains or stops roll-outs, as the first argument
/// says.
[[nodiscard]] int
Rollout(const Options& aOptions);

}
