#include "greengagehub/daemon/call_headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace greengagehub {

namespace {

constexpr std::array<std::string_view, 8> kConnectionHeaders{
  "connection", "keep-alive", "transfer-encoding", "content-length",
  "te",         "trailer",    "upgrade",           "proxy-connection"
};
constexpr std::array<std::string_view, 4> kOwnHeaders{ kTraceparentHeader,
                                                       kDeadlineHeader,
                                                       kDepthHeader,
                                                       kTriesHeader };

template<std::size_t Count>
bool
IsOneOf(std::string_view aName,
        const std::array<std::string_view, Count>& aNames)
{
  return std::any_of(
    aNames.begin(), aNames.end(), [aName](std::string_view aEach) {
      return SameHeader(aName, aEach);
    });
}

std::uint16_t
StatusFor(const CallAnswer& aAnswer)
{
  constexpr std::uint16_t kNotFound = 404;
  constexpr std::uint16_t kBadGateway = 502;
  constexpr std::uint16_t kUnavailable = 503;
  constexpr std::uint16_t kTimeout = 504;
  constexpr std::uint16_t kLoop = 508;
  if (aAnswer.m_outcome == CallOutcome::Unknown) {
    return aAnswer.m_reason == RefusalReason::DeadlinePassed ? kTimeout
                                                             : kBadGateway;
  }
  switch (aAnswer.m_reason) {
    case RefusalReason::NoRoute:
      return kNotFound;
    case RefusalReason::TooDeep:
      return kLoop;
    default:
      return kUnavailable;
  }
}

HttpHeader
Header(std::string_view aName, std::string aValue)
{
  return { std::string{ aName }, std::move(aValue) };
}

}

std::vector<HttpHeader>
HeadersToWorker(const CallRequest& aCall,
                std::chrono::milliseconds aLeft,
                const TraceContext& aSpan)
{
  std::vector<HttpHeader> headers = aCall.m_headers;
  std::erase_if(headers, [](const HttpHeader& aHeader) {
    return SameHeader(aHeader.m_name, kTraceparentHeader);
  });
  headers.push_back(Header(kTraceparentHeader, FormatTraceparent(aSpan)));
  headers.push_back(Header(kDeadlineHeader, std::to_string(aLeft.count())));
  headers.push_back(Header(kDepthHeader, std::to_string(aCall.m_depth + 1)));
  headers.push_back(Header(kTriesHeader, std::to_string(aCall.m_triesLeft)));
  return headers;
}

std::vector<HttpHeader>
HeadersFromCaller(std::vector<HttpHeader> aHeaders)
{
  std::erase_if(aHeaders, [](const HttpHeader& aHeader) {
    return IsOneOf(aHeader.m_name, kConnectionHeaders) ||
           IsOneOf(aHeader.m_name, kOwnHeaders);
  });
  return aHeaders;
}

std::uint64_t
NumberHeader(const std::vector<HttpHeader>& aHeaders,
             std::string_view aName,
             std::uint64_t aDefault)
{
  const std::string_view text = HeaderValue(aHeaders, aName);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool whole =
    !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
  return whole ? number : aDefault;
}

HttpResponse
ResponseFor(CallAnswer aAnswer)
{
  if (aAnswer.m_outcome == CallOutcome::Answered) {
    std::erase_if(aAnswer.m_response.m_headers, [](const HttpHeader& aHeader) {
      return IsOneOf(aHeader.m_name, kConnectionHeaders);
    });
    return std::move(aAnswer.m_response);
  }
  HttpResponse response =
    JsonResponse(StatusFor(aAnswer),
                 fmt::format(R"({{"outcome":"{}","reason":"{}"}})",
                             NameOf(aAnswer.m_outcome),
                             NameOf(aAnswer.m_reason)));
  response.m_headers.push_back(
    Header(kOutcomeHeader, std::string{ NameOf(aAnswer.m_outcome) }));
  response.m_headers.push_back(
    Header(kReasonHeader, std::string{ NameOf(aAnswer.m_reason) }));
  if (aAnswer.m_retryAfter.count() > 0) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aAnswer.m_retryAfter);
    response.m_headers.push_back(
      Header("Retry-After", std::to_string(seconds.count())));
    response.m_headers.push_back(
      Header(kRetryAfterHeader, std::to_string(aAnswer.m_retryAfter.count())));
  }
  return response;
}

}
