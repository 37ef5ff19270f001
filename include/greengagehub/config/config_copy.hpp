#pragma once

#include "greengagehub/core/outcome.hpp"
#include "greengagehub/core/store_message.hpp"

#include <string>
#include <string_view>

namespace greengagehub {

/// Where the fleet keeps a compressed copy of the operators' configuration.
inline constexpr std::string_view kConfigCopyKey = "config/copy";

/// \brief A compressed copy of the configuration that operators keep under one
/// key of the store.
///
/// The whole of it may take a second on the link of a small instance, which
/// takes no callers until it has it; the copy takes a tenth. It is only ever
/// used after the store has confirmed that the original is still at the
/// revision it was made from, so that an old copy costs time and nothing else.
struct ConfigCopy
{
  /// Of the original, when the copy was made.
  Revision m_original{ 0 };
  std::string m_document;
};

/// \returns The copy as a value of the store.
[[nodiscard]] std::string
FormatConfigCopy(Revision aOriginal, std::string_view aDocument);

/// \param aMaxBytes longest document that is unpacked.
[[nodiscard]] Outcome<ConfigCopy>
ParseConfigCopy(std::string_view aValue, std::size_t aMaxBytes);

}
