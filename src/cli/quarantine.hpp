#pragma once

#include "src/cli/common.hpp"

namespace greengagehub::cli {

/// \brief Prints the quarantined fingerprints and the workers they crashed.
[[nodiscard]] int
ShowQuarantine(const Options& aOptions);

[[nodiscard]] int
LiftQuarantine(const Options& aOptions);

}
