#include "message_text.hpp"

#include "greengagehub/core/byte_budget.hpp"

#include <fmt/format.h>
#include <http_parser.h>

namespace greengagehub {

namespace {

std::string_view
ReasonPhrase(std::uint16_t aStatus)
{
  return http_status_str(static_cast<http_status>(aStatus));
}

/// \returns Whether the header describes the connection or the body length,
/// which ResponseHead() sets itself.
bool
IsFramingHeader(std::string_view aName)
{
  return SameHeader(aName, "connection") ||
         SameHeader(aName, "content-length") ||
         SameHeader(aName, "transfer-encoding") ||
         SameHeader(aName, "keep-alive");
}

}

std::string
ResponseHead(const HttpResponse& aResponse, bool aClose)
{
  std::string out = fmt::format(
    "HTTP/1.1 {} {}\r\n", aResponse.m_status, ReasonPhrase(aResponse.m_status));
  for (const HttpHeader& each : aResponse.m_headers) {
    if (!IsFramingHeader(each.m_name)) {
      out += fmt::format("{}: {}\r\n", each.m_name, each.m_value);
    }
  }
  out += fmt::format("Content-Length: {}\r\n", aResponse.m_body.Size());
  out += aClose ? "Connection: close\r\n\r\n" : "\r\n";
  return out;
}

HttpResponse
NoRoomResponse()
{
  constexpr std::uint16_t kUnavailable = 503;
  const std::chrono::duration<double> seconds = ByteBudget::kRetryAfter;
  return { kUnavailable,
           { HttpHeader{ "Retry-After",
                         fmt::format("{}", seconds.count()) } } };
}

std::string
RequestHead(const BackendRequest& aRequest)
{
  std::string out =
    fmt::format("{} {} HTTP/1.1\r\n", aRequest.m_method, aRequest.m_target);
  for (const HttpHeader& each : aRequest.m_headers) {
    out += fmt::format("{}: {}\r\n", each.m_name, each.m_value);
  }
  const bool hasBody =
    !aRequest.m_body.IsEmpty() || aRequest.m_method == "POST" ||
    aRequest.m_method == "PUT" || aRequest.m_method == "PATCH";
  if (hasBody) {
    out += fmt::format("Content-Length: {}\r\n", aRequest.m_body.Size());
  }
  out += "\r\n";
  return out;
}

}
