#include "src/cli/common.hpp"

#include <cstdio>
#include <fmt/format.h>

namespace greengagehub::cli {

HttpClientRequest
MakeRequest(const Options& aOptions,
            std::string aMethod,
            const std::string& aPath)
{
  HttpClientRequest request;
  request.m_method = std::move(aMethod);
  request.m_url = aOptions.m_daemon + aPath;
  request.m_timeout = aOptions.m_timeout;
  if (!aOptions.m_token.empty()) {
    request.m_headers.push_back(
      HttpHeader{ "Authorization", "Bearer " + aOptions.m_token });
  }
  return request;
}

std::string
PercentEncoded(std::string_view aText)
{
  std::string out;
  for (const char each : aText) {
    const bool isUnreserved =
      (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') ||
      (each >= '0' && each <= '9') || each == '-' || each == '.' || each == '_';
    out += isUnreserved
             ? std::string{ each }
             : fmt::format("%{:02X}", static_cast<unsigned char>(each));
  }
  return out;
}

int
ReportUnreachable(const Options& aOptions, const HttpClientResult& aResult)
{
  fmt::print(stderr, "{}: {}\n", aOptions.m_daemon, aResult.m_detail);
  return aResult.m_kind == HttpClientResult::Kind::NotSent ? Unreachable
                                                           : Unknown;
}

std::optional<Json>
GetJson(const Options& aOptions, const std::string& aPath)
{
  constexpr std::uint16_t kOk = 200;
  const HttpClientResult result =
    SendAndWait(MakeRequest(aOptions, "GET", aPath));
  if (result.m_kind != HttpClientResult::Kind::Answered) {
    ReportUnreachable(aOptions, result);
    return std::nullopt;
  }
  const HttpResponse& response = result.m_response;
  Json body = Json::parse(response.m_body.View(), nullptr, false);
  // An error has a body as well, without the fields of an answer.
  if (response.m_status != kOk || !body.is_object()) {
    fmt::print(stderr,
               "{}{}: expected status {} and a JSON object, got status {} and "
               "\"{}\"\n",
               aOptions.m_daemon,
               aPath,
               kOk,
               response.m_status,
               response.m_body);
    return std::nullopt;
  }
  return body;
}

}
