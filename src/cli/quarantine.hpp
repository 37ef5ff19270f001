#pragma once

#include "src/cli/common.hpp"

namespace greengagehub::cli {

/// \brief Prints the quarantined request fingerprints and the worker crashes
/// that caused each quarantine.
[[nodiscard]] int
ShowQuarantine(const Options& aOptions);

[[nodiscard]] int
LiftQuarantine(const Options& aOptions);

}
