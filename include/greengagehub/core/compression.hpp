#pragma once

#include "greengagehub/core/outcome.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace greengagehub {

/// \returns A zstd frame of the text; its header has the text's size.
[[nodiscard]] std::string
Compress(std::string_view aText);

/// \param aMaxBytes maximum decompressed size; bounds the memory that a
/// malformed frame can claim.
/// \returns The text, or an error with the code Corrupt or TooLarge.
[[nodiscard]] Outcome<std::string>
Decompress(std::string_view aFrame, std::size_t aMaxBytes);

}
