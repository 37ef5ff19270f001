#pragma once

#include "src/cli/common.hpp"

namespace greengagehub::cli {

/// \brief Prints how workspaces use the backend server of the daemon.
[[nodiscard]] int
ShowShares(const Options& aOptions);

}
