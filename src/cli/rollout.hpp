#pragma once

#include "src/cli/common.hpp"

namespace greengagehub::cli {

/// \brief Orders, shows, explains or rolls back versions on trial; the
/// command's argument says which.
[[nodiscard]] int
Rollout(const Options& aOptions);

}
