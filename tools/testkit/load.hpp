#pragma once

#include "greengagehub/http/http_client.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace greengagehub::testkit {

/// \brief Open-loop load: calls are sent at fixed times, whether or not earlier
/// ones are answered, so that slow answers do not lower the rate.
struct LoadPlan
{
  /// Base URLs, used in turn.
  std::vector<std::string> m_urls;
  std::string m_method{ "POST" };
  std::string m_target{ "/release" };
  /// Calls per second.
  double m_rate{ 200.0 };
  std::size_t m_count{ 200 };
  std::vector<HttpHeader> m_headers{};
  std::string m_body{};
  /// A request's id is this prefix and the number of the call.
  std::string m_prefix{ "call-" };
  std::string m_idHeader{ "X-Request-Id" };
  std::chrono::milliseconds m_timeout{ std::chrono::seconds{ 10 } };
};

struct CallRecord
{
  std::string m_id;
  HttpClientResult m_result;
  std::chrono::sys_time<std::chrono::milliseconds> m_sentAt{};
  /// From the time at which the call was due.
  std::chrono::nanoseconds m_latency{ 0 };
  /// "not-run" or "unknown"; empty for a worker's answer.
  std::string m_outcome;
  std::string m_reason;

  [[nodiscard]] bool IsAnswered() const
  {
    return m_result.m_kind == HttpClientResult::Kind::Answered &&
           m_outcome.empty();
  }
};

/// \brief An action during the load, run on a thread of its own.
struct LoadEvent
{
  std::size_t m_afterCalls{ 0 };
  std::function<void()> m_action;
};

[[nodiscard]] std::vector<CallRecord>
RunLoad(const LoadPlan& aPlan, std::vector<LoadEvent> aEvents = {});

/// \brief Number of runs of each request id, over all workers.
using RunCounts = std::map<std::string, std::uint32_t>;

struct CallReport
{
  std::size_t m_answered{ 0 };
  std::size_t m_notRun{ 0 };
  std::size_t m_unknown{ 0 };
  /// Calls whose connection to the daemon failed before an answer.
  std::size_t m_disconnected{ 0 };
  // Violations: a request ran twice, ran although reported as not run, got
  // another request's answer, or got an answer without a run.
  std::size_t m_duplicateRuns{ 0 };
  std::size_t m_falseNotRun{ 0 };
  std::size_t m_wrongAnswers{ 0 };
  std::size_t m_answersWithoutRun{ 0 };

  [[nodiscard]] bool IsClean() const
  {
    return m_duplicateRuns + m_falseNotRun + m_wrongAnswers +
             m_answersWithoutRun ==
           0;
  }
};

[[nodiscard]] CallReport
CheckCalls(const std::vector<CallRecord>& aRecords, const RunCounts& aRuns);

/// \returns A line of text such as "answered 90, not run 10, ...".
[[nodiscard]] std::string
Describe(const CallReport& aReport);

}
