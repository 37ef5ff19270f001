#pragma once

#include "greengagehub/core/outcome.hpp"
#include "greengagehub/core/store_message.hpp"

#include <string>
#include <string_view>

namespace greengagehub {

inline constexpr std::string_view kConfigCopyKey = "config/copy";

/// \brief Compressed copy of the operators' configuration, for slow links,
/// where it takes a tenth of the time of the original. It may be stale: the
/// reader checks that the original is still at `m_originalRevision`.
struct ConfigCopy
{
  Revision m_originalRevision{ 0 };
  std::string m_document;
};

/// \returns The store value: the revision, a newline and a zstd frame.
[[nodiscard]] std::string
FormatConfigCopy(Revision aOriginal, std::string_view aDocument);

/// \param aMaxBytes largest decompressed document.
/// \returns The copy, or Corrupt or TooLarge.
[[nodiscard]] Outcome<ConfigCopy>
ParseConfigCopy(std::string_view aValue, std::size_t aMaxBytes);

}
