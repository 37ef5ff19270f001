#pragma once

#include "greengagehub/core/outcome.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief zstd frame of the text, with its size in the header.
[[nodiscard]] std::string
Compress(std::string_view aText);

/// \param aMaxBytes refuse frames that claim more; guards memory against a
/// frame from a broken peer or store.
[[nodiscard]] Outcome<std::string>
Decompress(std::string_view aFrame, std::size_t aMaxBytes);

}
