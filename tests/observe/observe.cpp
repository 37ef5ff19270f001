#include "greengagehub/observe/observe.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace greengagehub;

TEST_CASE("a log line is valid JSON for any text in its fields")
{
  const std::string line =
    FormatLogLine(WallTime{},
                  LogLevel::Warning,
                  "slot \"1\"",
                  "store",
                  "store_away",
                  { { "detail", "a\nb\xff" }, { "count", std::int64_t{ 3 } } });
  const auto json = nlohmann::json::parse(line, nullptr, false);
  REQUIRE(json.is_object());
  CHECK(json["level"] == "warning");
  CHECK(json["count"] == 3);
  CHECK(json["slot"] == "slot \"1\"");
}

TEST_CASE("a component's level overrides the general level")
{
  const Log log{ LogLevel::Warning, { { "calls", LogLevel::Debug } }, "a" };
  CHECK(log.Enabled(LogLevel::Debug, "calls"));
  CHECK_FALSE(log.Enabled(LogLevel::Info, "store"));
}

TEST_CASE("traceparent round trip, and invalid values")
{
  const std::string header =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto context = ParseTraceparent(header);
  REQUIRE(context);
  CHECK(FormatTraceparent(*context) == header);
  CHECK_FALSE(ParseTraceparent("00-xyz"));
  CHECK_FALSE(ParseTraceparent(
    "00-00000000000000000000000000000000-b7ad6b7169203331-01"));
}

TEST_CASE("a child span inherits trace and sampling from its parent")
{
  Random random{ 1 };
  const TraceContext parent = NewSpan(std::nullopt, true, random);
  const TraceContext child = NewSpan(parent, false, random);
  CHECK(child.m_trace == parent.m_trace);
  CHECK(child.m_span != parent.m_span);
  CHECK(child.m_sampled);
  Span span;
  span.m_context = child;
  span.m_parent = parent.m_span;
  const auto json = nlohmann::json::parse(SpanToOtlp(span));
  CHECK(json["resourceSpans"][0]["scopeSpans"][0]["spans"][0].contains(
    "parentSpanId"));
}

TEST_CASE("metrics are exposed with the project's prefix")
{
  Metrics metrics;
  metrics.CountCall("answered", "none");
  metrics.SetGauge("version", "Version in force", 7);
  const std::string text = metrics.Expose();
  CHECK(text.find("greengagehub_version 7") != std::string::npos);
  CHECK(text.find("greengagehub_calls_total{") != std::string::npos);
}
