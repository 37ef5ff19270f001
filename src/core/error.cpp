#include "greengagehub/core/error.hpp"

#include <fmt/format.h>

namespace greengagehub {

std::string
Describe(const Error& aError)
{
  if (!aError.m_source) {
    return aError.m_message;
  }
  const SourceRegion& source = *aError.m_source;
  return fmt::format("{}:{}:{}: {}",
                     source.m_file,
                     source.m_line,
                     source.m_column,
                     aError.m_message);
}

}
