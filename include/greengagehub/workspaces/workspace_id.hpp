#pragma once

#include <cstdint>

namespace greengagehub {

/// \brief Identifies a workspace in messages: ShortHashOf its name.
using WorkspaceId = std::uint64_t;

}
