#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengagehub {

/// \brief Identifies one hop of a call, as defined by W3C Trace Context.
struct TraceContext
{
  std::array<std::uint64_t, 2> m_trace{};
  std::uint64_t m_span{ 0 };
  bool m_sampled{ false };
};

/// \param aHeader value of a `traceparent` header.
[[nodiscard]] std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader);

/// \returns The `traceparent` value that names this span as the parent.
[[nodiscard]] std::string
FormatTraceparent(const TraceContext& aContext);

/// \returns A child of the parent, or the root of a new trace without one.
/// \param aSample whether a new trace is sampled; a child inherits the flag.
[[nodiscard]] TraceContext
NewSpan(const std::optional<TraceContext>& aParent,
        bool aSample,
        Random& aRandom);

/// \brief A finished hop of a call.
struct Span
{
  /// Values of the OTLP enum SpanKind.
  enum class Kind : std::uint8_t
  {
    Server = 2,
    Client = 3,
  };

  TraceContext m_context;
  /// 0: a root span.
  std::uint64_t m_parent{ 0 };
  Kind m_kind{ Kind::Server };
  std::string m_name;
  std::string m_service;
  std::string m_slot;
  std::chrono::sys_time<std::chrono::nanoseconds> m_start;
  std::chrono::sys_time<std::chrono::nanoseconds> m_end;
  std::string m_outcome;
  std::uint16_t m_status{ 0 };
};

/// \returns The span as one line of OTLP JSON (`resourceSpans`).
[[nodiscard]] std::string
SpanToOtlp(const Span& aSpan);

}
