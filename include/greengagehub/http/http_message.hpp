#pragma once

#include "greengagehub/core/body.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

struct HttpHeader
{
  std::string m_name;
  std::string m_value;
};

inline constexpr std::uint16_t kFirstServerError = 500;
inline constexpr std::uint16_t kMisdirectedRequestStatus = 421;

[[nodiscard]] constexpr bool
IsSuccess(std::uint16_t aStatus) noexcept
{
  return aStatus >= 200 && aStatus < 300;
}

[[nodiscard]] constexpr bool
IsFinalStatus(std::uint16_t aStatus) noexcept
{
  return aStatus >= 200 && aStatus < 600;
}

/// \returns False for 101, too, as no request asks for another protocol.
[[nodiscard]] constexpr bool
IsInterimStatus(std::uint16_t aStatus) noexcept
{
  return aStatus >= 100 && aStatus < 200 && aStatus != 101;
}

/// \returns Whether the character may occur in a field name (RFC 9110, 5.6.2).
[[nodiscard]] constexpr bool
IsTokenChar(char aChar) noexcept
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') ||
         kSymbols.find(aChar) != std::string_view::npos;
}

[[nodiscard]] constexpr bool
HasOnlyTokenChars(std::string_view aText) noexcept
{
  return std::all_of(aText.begin(), aText.end(), IsTokenChar);
}

/// \returns Whether the text has no control characters but tabs.
[[nodiscard]] constexpr bool
IsFieldValue(std::string_view aText) noexcept
{
  constexpr unsigned char kFirstVisible = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    const auto byte = static_cast<unsigned char>(aChar);
    return aChar == '\t' || (byte >= kFirstVisible && byte != kDelete);
  });
}

/// \returns Value of the first header with this name, ignoring case, or empty.
[[nodiscard]] std::string_view
HeaderValue(const std::vector<HttpHeader>& aHeaders,
            std::string_view aName) noexcept;

/// \returns Whether two header names are equal, ignoring case.
[[nodiscard]] bool
SameHeader(std::string_view aLeft, std::string_view aRight) noexcept;

struct HttpRequest
{
  std::string m_method;
  /// Path and query, as on the request line.
  std::string m_target;
  std::vector<HttpHeader> m_headers;
  Body m_body;
  /// Connection id, as passed to the server's ClosedHandler.
  std::uint64_t m_connection{ 0 };
  /// Whether the client is on this instance, so that the answer does not cross
  /// its network link.
  bool m_isFromThisInstance{ false };
  bool m_isFirstOnConnection{ true };
};

struct HttpResponse
{
  std::uint16_t m_status{ 200 };
  std::vector<HttpHeader> m_headers{};
  Body m_body{};
};

/// \returns Path of a request target, without the query.
[[nodiscard]] std::string_view
PathOf(std::string_view aTarget) noexcept;

/// \returns Percent-decoded value of a query parameter, or empty.
[[nodiscard]] std::string
QueryValue(std::string_view aTarget, std::string_view aName);

[[nodiscard]] HttpResponse
JsonResponse(std::uint16_t aStatus, std::string aJson);

}
