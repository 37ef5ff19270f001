#pragma once

#include "greengagehub/http/http_client.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \brief Load from a number of callers, each of which sends its next call when
/// the previous one is answered.
struct ClosedLoopPlan
{
  std::string m_url;
  std::string m_method{ "GET" };
  std::vector<HttpHeader> m_headers{};
  std::string m_body{};
  std::size_t m_callers{ 1 };
  /// Calls of all callers together.
  std::size_t m_count{ 5000 };
};

struct ClosedLoopResult
{
  std::vector<std::chrono::nanoseconds> m_latencies;
  /// Calls without a 200 answer.
  std::size_t m_failures{ 0 };
  std::chrono::nanoseconds m_elapsed{ 0 };
};

[[nodiscard]] ClosedLoopResult
RunClosedLoop(const ClosedLoopPlan& aPlan);

}
