#pragma once

#include <cstdint>

namespace greengagehub {

/// \brief Short name of a workspace in messages, from ShortHashOf its name.
using WorkspaceId = std::uint64_t;

}
