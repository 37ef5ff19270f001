#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_message.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

// Helper functions for responses to operators.

namespace greengagehub {

using Json = nlohmann::json;

/// \returns Compact JSON; invalid UTF-8 is replaced.
inline std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

inline HttpResponse
ErrorResponse(std::uint16_t aStatus,
              std::string_view aCode,
              std::string_view aDetail)
{
  return JsonResponse(aStatus,
                      Dump(Json{ { "error", aCode }, { "detail", aDetail } }));
}

inline std::int64_t
Millis(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

/// \returns The number, or nothing if the text is not a decimal number.
inline std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (aText.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}
