#pragma once

#include <cstdint>
#include <string_view>

namespace greengagehub {

/// \brief Why bytes that were received are not taken for a response.
enum class ResponseFault : std::uint8_t
{
  None,
  /// Any other error in the head or in the framing of the body.
  Syntax,
  /// No HTTP/1.x, or no interim or final status.
  StatusLine,
  FieldName,
  LineEnd,
  /// The connection failed while the request was written, so the end of the
  /// stream is not the end of a response without a length.
  ResetWhileSending,
};

[[nodiscard]] constexpr std::string_view
NameOf(ResponseFault aFault) noexcept
{
  switch (aFault) {
    case ResponseFault::None:
      return "none";
    case ResponseFault::Syntax:
      return "syntax";
    case ResponseFault::StatusLine:
      return "status-line";
    case ResponseFault::FieldName:
      return "field-name";
    case ResponseFault::LineEnd:
      return "line-end";
    case ResponseFault::ResetWhileSending:
      return "reset-while-sending";
  }
  return "none";
}

}
