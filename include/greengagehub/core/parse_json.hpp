#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace greengagehub {

/// Deeper values are rejected: copying and writing them is recursive.
inline constexpr int kMaxJsonDepth = 64;

/// \returns The value; a discarded one if the text is not JSON or is nested
/// deeper than kMaxJsonDepth.
[[nodiscard]] nlohmann::json
ParseJson(std::string_view aText);

}
