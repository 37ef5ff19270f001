#pragma once

#include "greengagehub/core/outcome.hpp"
#include "greengagehub/core/store_message.hpp"

#include <string>
#include <string_view>

namespace greengagehub {

/// Store key of the compressed copy of the operators' configuration.
inline constexpr std::string_view kConfigCopyKey = "config/copy";

/// \brief A copy of the operators' configuration document, stored compressed.
///
/// Shortens the start of instances on slow links. The reader must check with
/// the store that the original is still at `m_originalRevision`: the copy may
/// be stale.
struct ConfigCopy
{
  /// Revision of the original that the copy was made from.
  Revision m_originalRevision{ 0 };
  std::string m_document;
};

/// \returns The store value: the revision, a newline and a zstd frame.
[[nodiscard]] std::string
FormatConfigCopy(Revision aOriginal, std::string_view aDocument);

/// \param aMaxBytes largest decompressed document.
/// \returns The copy, or an error with the code Corrupt or TooLarge.
[[nodiscard]] Outcome<ConfigCopy>
ParseConfigCopy(std::string_view aValue, std::size_t aMaxBytes);

}
