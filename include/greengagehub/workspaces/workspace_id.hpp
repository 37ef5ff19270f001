#pragma once

#include <cstdint>

namespace greengagehub {

/// \brief Identifies a workspace in messages: ShortHash of its name.
using WorkspaceId = std::uint64_t;

}
