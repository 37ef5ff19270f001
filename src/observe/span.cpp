#include "greengagehub/observe/span.hpp"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace greengagehub {

namespace {

constexpr std::size_t kTraceparentSize = 55;

std::optional<std::uint64_t>
ParseHex64(std::string_view aText)
{
  std::uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, 16);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

nlohmann::json
Attribute(const char* aName, std::string_view aValue)
{
  return { { "key", aName }, { "value", { { "stringValue", aValue } } } };
}

}

std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader)
{
  const bool hasValidFormat = aHeader.size() == kTraceparentSize &&
                              aHeader.starts_with("00-") &&
                              aHeader[35] == '-' && aHeader[52] == '-';
  if (!hasValidFormat) {
    return std::nullopt;
  }
  const auto high = ParseHex64(aHeader.substr(3, 16));
  const auto low = ParseHex64(aHeader.substr(19, 16));
  const auto span = ParseHex64(aHeader.substr(36, 16));
  const auto flags = ParseHex64(aHeader.substr(53, 2));
  const bool valid =
    high && low && span && flags && *span != 0 && (*high != 0 || *low != 0);
  if (!valid) {
    return std::nullopt;
  }
  return TraceContext{ { *high, *low }, *span, (*flags & 1U) != 0 };
}

std::string
FormatTraceparent(const TraceContext& aContext)
{
  return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}",
                     aContext.m_trace[0],
                     aContext.m_trace[1],
                     aContext.m_span,
                     aContext.m_sampled ? 1 : 0);
}

TraceContext
NewSpan(const std::optional<TraceContext>& aParent,
        bool aSample,
        Random& aRandom)
{
  TraceContext context;
  if (aParent) {
    context.m_trace = aParent->m_trace;
    context.m_sampled = aParent->m_sampled;
  } else {
    context.m_trace = { aRandom(), aRandom() | 1U };
    context.m_sampled = aSample;
  }
  context.m_span = aRandom() | 1U;
  return context;
}

std::string
SpanToOtlp(const Span& aSpan)
{
  const TraceContext& context = aSpan.m_context;
  nlohmann::json span{
    { "traceId",
      fmt::format("{:016x}{:016x}", context.m_trace[0], context.m_trace[1]) },
    { "spanId", fmt::format("{:016x}", context.m_span) },
    { "name", aSpan.m_name },
    { "kind", static_cast<int>(aSpan.m_kind) },
    { "startTimeUnixNano",
      std::to_string(aSpan.m_start.time_since_epoch().count()) },
    { "endTimeUnixNano",
      std::to_string(aSpan.m_end.time_since_epoch().count()) },
    { "attributes",
      { Attribute("greengagehub.outcome", aSpan.m_outcome),
        Attribute("http.response.status_code",
                  std::to_string(aSpan.m_status)) } }
  };
  if (aSpan.m_parent != 0) {
    span["parentSpanId"] = fmt::format("{:016x}", aSpan.m_parent);
  }
  const nlohmann::json resource{
    { "attributes",
      { Attribute("service.name", aSpan.m_service),
        Attribute("service.instance.id", aSpan.m_slot) } }
  };
  const nlohmann::json scope{ { "scope", { { "name", "greengagehub" } } },
                              { "spans", { span } } };
  return nlohmann::json{
    { "resourceSpans",
      { { { "resource", resource }, { "scopeSpans", { scope } } } } }
  }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
