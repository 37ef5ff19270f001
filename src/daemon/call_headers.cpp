#include "greengagehub/daemon/call_headers.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace greengagehub {

namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders{
  "connection", "keep-alive", "transfer-encoding", "content-length", "te",
  "trailer",    "upgrade",    "proxy-connection",  "expect"
};
constexpr std::array<std::string_view, 3> kDaemonHeaders{ kTraceparentHeader,
                                                          kDepthHeader,
                                                          kRetriesHeader };

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

/// \param aList comma-separated, such as the value of Connection.
bool
ListContains(std::string_view aList, std::string_view aName)
{
  while (!aList.empty()) {
    const std::size_t comma = std::min(aList.find(','), aList.size());
    std::string_view item = aList.substr(0, comma);
    item.remove_prefix(std::min(item.find_first_not_of(' '), item.size()));
    item = item.substr(0, item.find_last_not_of(' ') + 1);
    if (SameHeader(item, aName)) {
      return true;
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
  return false;
}

std::uint16_t
RefusalStatus(const CallAnswer& aAnswer)
{
  constexpr std::uint16_t kUnauthorized = 401;
  constexpr std::uint16_t kNotFound = 404;
  constexpr std::uint16_t kTooManyRequests = 429;
  constexpr std::uint16_t kBadGateway = 502;
  constexpr std::uint16_t kUnavailable = 503;
  constexpr std::uint16_t kTimeout = 504;
  constexpr std::uint16_t kLoopDetected = 508;
  if (aAnswer.m_outcome == CallOutcome::Unknown) {
    return aAnswer.m_reason == RefusalReason::DeadlinePassed ? kTimeout
                                                             : kBadGateway;
  }
  switch (aAnswer.m_reason) {
    case RefusalReason::NoRoute:
      return kNotFound;
    case RefusalReason::TooDeep:
      return kLoopDetected;
    case RefusalReason::UnknownKey:
      return kUnauthorized;
    case RefusalReason::OverQuota:
      return kTooManyRequests;
    default:
      return kUnavailable;
  }
}

std::string
FormatRetryAfter(const CallDialect& aDialect, std::chrono::milliseconds aSpan)
{
  if (aDialect.m_fractionalRetryAfter) {
    const std::chrono::duration<double> seconds = aSpan;
    return fmt::format("{:.3f}", seconds.count());
  }
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(aSpan).count());
}

HttpHeader
Header(std::string_view aName, std::string aValue)
{
  return { std::string{ aName }, std::move(aValue) };
}

/// \returns Nothing unless the text is digits with an optional fraction.
std::optional<double>
ParseDecimal(std::string_view aText)
{
  double number = 0.0;
  const char* end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data(), end, number, std::chars_format::fixed);
  const bool isValid = !aText.empty() && aText.front() >= '0' &&
                       aText.front() <= '9' && parsed.ec == std::errc{} &&
                       parsed.ptr == end;
  return isValid ? std::optional{ number } : std::nullopt;
}

}

std::string
HostOf(const std::vector<HttpHeader>& aHeaders)
{
  const std::string_view value = HeaderValue(aHeaders, "host");
  std::string host{ value.substr(0, value.rfind(':')) };
  std::transform(host.begin(), host.end(), host.begin(), [](char aChar) {
    const bool isUpper = aChar >= 'A' && aChar <= 'Z';
    return isUpper ? static_cast<char>(aChar - 'A' + 'a') : aChar;
  });
  return host;
}

Fingerprint
CallFingerprint(const CallDialect& aDialect, const CallRequest& aCall)
{
  const std::string host = HostOf(aCall.m_headers);
  return FingerprintOf(
    { .m_caller = HeaderValue(aCall.m_headers, aDialect.m_callerService),
      .m_host = host,
      .m_method = aCall.m_method,
      .m_path = PathOf(aCall.m_target),
      .m_body = aCall.m_body });
}

std::vector<HttpHeader>
HeadersToWorker(const CallDialect& aDialect,
                const CallRequest& aCall,
                std::chrono::milliseconds aTimeLeft,
                const TraceContext& aSpan,
                const std::string& aInstance)
{
  std::vector<HttpHeader> headers = aCall.m_headers;
  std::erase_if(headers, [](const HttpHeader& aHeader) {
    return SameHeader(aHeader.m_name, kTraceparentHeader);
  });
  headers.push_back(
    Header(aDialect.m_deadline, std::to_string(aTimeLeft.count())));
  if (!aInstance.empty()) {
    headers.push_back(Header(aDialect.m_expectInstance, aInstance));
  }
  if (aDialect.m_sendsHopHeaders) {
    headers.push_back(Header(kTraceparentHeader, FormatTraceparent(aSpan)));
    headers.push_back(Header(kDepthHeader, std::to_string(aCall.m_depth + 1)));
    headers.push_back(
      Header(kRetriesHeader, std::to_string(aCall.m_retriesLeft)));
  }
  return headers;
}

std::vector<HttpHeader>
HeadersFromCaller(const CallDialect& aDialect, std::vector<HttpHeader> aHeaders)
{
  const std::string connectionHeaders{ HeaderValue(aHeaders, "connection") };
  std::erase_if(aHeaders, [&](const HttpHeader& aHeader) {
    const std::string& name = aHeader.m_name;
    return IsOneOf(name, kConnectionHeaders) || IsOneOf(name, kDaemonHeaders) ||
           SameHeader(name, aDialect.m_deadline) ||
           SameHeader(name, aDialect.m_callerService) ||
           SameHeader(name, aDialect.m_apiKey) ||
           SameHeader(name, aDialect.m_workspace) ||
           SameHeader(name, aDialect.m_expectInstance) ||
           ListContains(connectionHeaders, name);
  });
  return aHeaders;
}

std::uint16_t
StatusOf(const CallAnswer& aAnswer)
{
  return aAnswer.m_outcome == CallOutcome::Answered
           ? aAnswer.m_response.m_status
           : RefusalStatus(aAnswer);
}

std::uint64_t
ParseNumberHeader(const std::vector<HttpHeader>& aHeaders,
                  std::string_view aName,
                  std::uint64_t aDefault)
{
  const std::string_view text = HeaderValue(aHeaders, aName);
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool isValid =
    !text.empty() && parsed.ec == std::errc{} && parsed.ptr == end;
  return isValid ? number : aDefault;
}

WorkerSignals
ParseWorkerSignals(const CallDialect& aDialect,
                   const std::vector<HttpHeader>& aHeaders)
{
  constexpr std::string_view kYes = "1";
  WorkerSignals signals;
  signals.m_isLeaving = HeaderValue(aHeaders, aDialect.m_leaving) == kYes;
  const auto isLimit = [&](const HttpHeader& aHeader) {
    return SameHeader(aHeader.m_name, aDialect.m_rateLimit);
  };
  const auto first = std::ranges::find_if(aHeaders, isLimit);
  if (first == aHeaders.end()) {
    return signals;
  }
  if (std::ranges::count_if(aHeaders, isLimit) == 1) {
    signals.m_rateLimit = ParseDecimal(first->m_value);
  }
  if (!signals.m_rateLimit) {
    signals.m_invalidRateLimit = first->m_value;
  }
  return signals;
}

HttpResponse
ResponseFor(const CallDialect& aDialect, CallAnswer aAnswer)
{
  if (aAnswer.m_outcome == CallOutcome::Answered) {
    std::erase_if(aAnswer.m_response.m_headers, [](const HttpHeader& aHeader) {
      return IsOneOf(aHeader.m_name, kConnectionHeaders);
    });
    return std::move(aAnswer.m_response);
  }
  HttpResponse response =
    JsonResponse(StatusOf(aAnswer),
                 fmt::format(R"({{"outcome":"{}","reason":"{}"}})",
                             NameOf(aAnswer.m_outcome),
                             NameOf(aAnswer.m_reason)));
  response.m_headers.push_back(
    Header(kOutcomeHeader, std::string{ NameOf(aAnswer.m_outcome) }));
  response.m_headers.push_back(
    Header(kReasonHeader, std::string{ NameOf(aAnswer.m_reason) }));
  if (aAnswer.m_retryAfter.count() > 0) {
    response.m_headers.push_back(
      Header("Retry-After", FormatRetryAfter(aDialect, aAnswer.m_retryAfter)));
    response.m_headers.push_back(
      Header(kRetryAfterHeader, std::to_string(aAnswer.m_retryAfter.count())));
  }
  return response;
}

}
