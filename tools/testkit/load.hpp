#pragma once

#include "greengagehub/http/http_client.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \brief Calls to send, at set times whatever the answers do (open loop), so
/// that slow answers do not hide themselves.
struct LoadPlan
{
  /// Callers' endpoints, used in turn.
  std::vector<std::string> m_urls;
  std::string m_method{ "POST" };
  std::string m_target{ "/release" };
  double m_rate{ 200.0 };
  std::size_t m_count{ 200 };
  std::vector<HttpHeader> m_headers{};
  std::string m_body{};
  /// In front of the numbers that make request ids.
  std::string m_prefix{ "call-" };
  std::string m_idHeader{ "X-Request-Id" };
  std::chrono::milliseconds m_timeout{ std::chrono::seconds{ 10 } };
};

/// \brief What one caller was told, and when.
struct CallRecord
{
  std::string m_id;
  HttpClientResult m_result;
  std::chrono::nanoseconds m_latency{ 0 };
  /// "not-run", "unknown", or empty for a worker's answer.
  std::string m_outcome;
  std::string m_reason;

  [[nodiscard]] bool IsAnswered() const
  {
    return m_result.m_kind == HttpClientResult::Kind::Answered &&
           m_outcome.empty();
  }
};

/// \brief Something to do while the load runs, on another thread.
struct LoadEvent
{
  /// After this many calls were sent.
  std::size_t m_after{ 0 };
  std::function<void()> m_action;
};

/// \brief Sends the plan's calls and waits for all answers.
[[nodiscard]] std::vector<CallRecord>
RunLoad(const LoadPlan& aPlan, std::vector<LoadEvent> aEvents = {});

/// \brief How often each request id ran, over all workers.
using RunCounts = std::map<std::string, std::uint32_t>;

/// \brief What callers were told against what ran.
struct CallReport
{
  std::size_t m_answered{ 0 };
  std::size_t m_notRun{ 0 };
  std::size_t m_unknown{ 0 };
  /// The caller's own connection failed: no word from the daemon.
  std::size_t m_cut{ 0 };
  // Violations.
  std::size_t m_doubled{ 0 };
  std::size_t m_falseNotRun{ 0 };
  std::size_t m_swapped{ 0 };
  std::size_t m_answeredUnrun{ 0 };

  [[nodiscard]] bool IsClean() const
  {
    return m_doubled + m_falseNotRun + m_swapped + m_answeredUnrun == 0;
  }
};

[[nodiscard]] CallReport
CheckCalls(const std::vector<CallRecord>& aRecords, const RunCounts& aRuns);

/// \returns "answered 90, not run 10, ..." for messages.
[[nodiscard]] std::string
Describe(const CallReport& aReport);

}
