#pragma once

#include "greengagehub/config/content.hpp"

#include <string>

namespace greengagehub {

/// \returns The merge patch (RFC 7396) that turns `aFrom` into `aTo`, with only
/// the fields that differ, at any depth.
[[nodiscard]] std::string
PatchBetween(const Content& aFrom, const Content& aTo);

}
