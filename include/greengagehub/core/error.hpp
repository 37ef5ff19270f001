#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace greengagehub {

enum class ErrorCode : std::uint8_t
{
  Invalid,
  NotFound,
  Conflict,
  Unreachable,
  /// A request was sent, but whether it took effect is unknown.
  OutcomeUnknown,
  TooLarge,
  Corrupt,
  Io,
};

/// \brief Position in an input file; lines and columns start at 1.
struct SourceRegion
{
  std::string m_file;
  std::uint32_t m_line{ 0 };
  std::uint32_t m_column{ 0 };
};

/// \brief An error; m_source is set for parsed text.
struct Error
{
  ErrorCode m_code{ ErrorCode::Invalid };
  std::string m_message;
  std::optional<SourceRegion> m_source{};
};

/// \returns "file:line:column: message", or the message without a position.
[[nodiscard]] std::string
Describe(const Error& aError);

}
