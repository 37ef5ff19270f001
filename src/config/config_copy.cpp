#include "greengagehub/config/config_copy.hpp"

#include "greengagehub/core/compression.hpp"

#include <charconv>
#include <fmt/format.h>

namespace greengagehub {

std::string
FormatConfigCopy(Revision aOriginal, std::string_view aDocument)
{
  return fmt::format("{}\n{}", aOriginal, Compress(aDocument));
}

Outcome<ConfigCopy>
ParseConfigCopy(std::string_view aValue, std::size_t aMaxBytes)
{
  const std::size_t line = aValue.find('\n');
  if (line == std::string_view::npos) {
    return Error{ ErrorCode::Corrupt,
                  "config copy: expected a revision and a newline" };
  }
  ConfigCopy copy;
  const char* end = aValue.data() + line;
  const auto [stop, error] =
    std::from_chars(aValue.data(), end, copy.m_originalRevision);
  if (error != std::errc{} || stop != end) {
    return Error{ ErrorCode::Corrupt,
                  "config copy: the revision is not a number" };
  }
  auto document = Decompress(aValue.substr(line + 1), aMaxBytes);
  if (!document) {
    return document.error();
  }
  copy.m_document = std::move(document.value());
  return copy;
}

}
