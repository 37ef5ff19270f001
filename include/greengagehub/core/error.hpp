#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace greengagehub {

/// \brief What went wrong, as a value that callers can branch on.
enum class ErrorCode : std::uint8_t
{
  Invalid,
  NotFound,
  Conflict,
  Unreachable,
  OutcomeUnknown,
  TooLarge,
  Corrupt,
  Io,
};

/// \brief Where in an input text a fault stands; lines and columns from 1.
struct SourceRegion
{
  std::string m_file;
  std::uint32_t m_line{ 0 };
  std::uint32_t m_column{ 0 };
};

/// \brief An error with a message for people and, for parsed text, its place.
struct Error
{
  ErrorCode m_code{ ErrorCode::Invalid };
  std::string m_message;
  std::optional<SourceRegion> m_source{};
};

/// \returns "file:line:column: message", or the bare message without a place.
[[nodiscard]] std::string
Describe(const Error& aError);

}
