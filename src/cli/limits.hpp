#pragma once

#include "src/cli/common.hpp"

namespace greengagehub::cli {

/// \brief Prints the limits and departures that backend servers have stated: of
/// the daemon's own one, and of those that its callers' requests reached; and
/// what is booked on the network link of its instance.
[[nodiscard]] int
ShowLimits(const Options& aOptions);

}
