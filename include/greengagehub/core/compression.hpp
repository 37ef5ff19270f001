#pragma once

#include "greengagehub/core/outcome.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace greengagehub {

/// \returns A zstd frame of the text; its header has the text's size.
[[nodiscard]] std::string
Compress(std::string_view aText);

/// \param aMaxBytes maximum decompressed size.
/// \returns The text, or Corrupt or TooLarge.
[[nodiscard]] Outcome<std::string>
Decompress(std::string_view aFrame, std::size_t aMaxBytes);

}
