#include "testkit/load.hpp"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace greengagehub::testkit {

namespace {

using ClockType = std::chrono::steady_clock;

class LoadRun
{
public:
  LoadRun(const LoadPlan& aPlan, std::vector<LoadEvent> aEvents)
    : m_plan(aPlan)
    , m_events(std::move(aEvents))
    , m_client(m_loop, 256)
    , m_timer(m_loop)
    , m_started(ClockType::now())
  {
    m_records.resize(aPlan.m_count);
    std::sort(m_events.begin(),
              m_events.end(),
              [](const LoadEvent& aLeft, const LoadEvent& aRight) {
                return aLeft.m_afterCalls < aRight.m_afterCalls;
              });
  }

  std::vector<CallRecord> Run()
  {
    ScheduleNext();
    while (m_finished < m_plan.m_count) {
      m_loop.run_one();
    }
    m_threads.clear();
    return std::move(m_records);
  }

private:
  [[nodiscard]] ClockType::time_point DueAt(std::size_t aNumber) const
  {
    return m_started + std::chrono::duration_cast<ClockType::duration>(
                         std::chrono::duration<double>(
                           static_cast<double>(aNumber) / m_plan.m_rate));
  }

  void ScheduleNext()
  {
    if (m_sent >= m_plan.m_count) {
      return;
    }
    m_timer.expires_at(DueAt(m_sent));
    m_timer.async_wait([this](const asio::error_code& aError) {
      if (aError) {
        return;
      }
      while (m_sent < m_plan.m_count && DueAt(m_sent) <= ClockType::now()) {
        StartDueEvents();
        Send(m_sent++);
      }
      ScheduleNext();
    });
  }

  void StartDueEvents()
  {
    while (m_nextEvent < m_events.size() &&
           m_events[m_nextEvent].m_afterCalls <= m_sent) {
      // Actions may block, for example until a daemon has drained.
      m_threads.emplace_back(m_events[m_nextEvent++].m_action);
    }
  }

  void Send(std::size_t aNumber)
  {
    CallRecord& record = m_records[aNumber];
    record.m_id = m_plan.m_prefix + std::to_string(aNumber);
    record.m_sentAt = std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
    HttpClientRequest request;
    request.m_method = m_plan.m_method;
    request.m_url =
      m_plan.m_urls[aNumber % m_plan.m_urls.size()] + m_plan.m_target;
    request.m_headers = m_plan.m_headers;
    request.m_headers.push_back(HttpHeader{ m_plan.m_idHeader, record.m_id });
    request.m_body = m_plan.m_body;
    request.m_timeout = m_plan.m_timeout;
    // Latency counts from the due time, so that it includes delays of this
    // loop.
    const auto due = DueAt(aNumber);
    m_client.Send(std::move(request),
                  [this, aNumber, due](HttpClientResult aResult) {
                    RecordResult(m_records[aNumber], due, std::move(aResult));
                  });
  }

  void RecordResult(CallRecord& aRecord,
                    ClockType::time_point aDue,
                    HttpClientResult aResult)
  {
    aRecord.m_latency = ClockType::now() - aDue;
    const auto& headers = aResult.m_response.m_headers;
    aRecord.m_outcome = HeaderValue(headers, "Greengagehub-Outcome");
    aRecord.m_reason = HeaderValue(headers, "Greengagehub-Reason");
    aRecord.m_result = std::move(aResult);
    ++m_finished;
  }

  const LoadPlan& m_plan;
  std::vector<LoadEvent> m_events;
  asio::io_context m_loop;
  HttpClient m_client;
  asio::steady_timer m_timer;
  ClockType::time_point m_started;
  std::vector<CallRecord> m_records;
  std::size_t m_sent{ 0 };
  std::size_t m_finished{ 0 };
  std::size_t m_nextEvent{ 0 };
  std::vector<std::jthread> m_threads;
};

std::uint32_t
RunCountOf(const RunCounts& aRuns, const std::string& aId)
{
  const auto found = aRuns.find(aId);
  return found == aRuns.end() ? 0 : found->second;
}

void
CheckAnswer(const CallRecord& aRecord, std::uint32_t aRuns, CallReport& aOut)
{
  ++aOut.m_answered;
  const auto body = nlohmann::json::parse(
    aRecord.m_result.m_response.m_body.View(), nullptr, false);
  const bool isOwnAnswer =
    body.is_object() && body.value("id", std::string{}) == aRecord.m_id;
  aOut.m_wrongAnswers += isOwnAnswer ? 0 : 1;
  aOut.m_answersWithoutRun += aRuns == 0 ? 1 : 0;
}

}

std::vector<CallRecord>
RunLoad(const LoadPlan& aPlan, std::vector<LoadEvent> aEvents)
{
  return LoadRun{ aPlan, std::move(aEvents) }.Run();
}

CallReport
CheckCalls(const std::vector<CallRecord>& aRecords, const RunCounts& aRuns)
{
  CallReport report;
  for (const CallRecord& each : aRecords) {
    const std::uint32_t runs = RunCountOf(aRuns, each.m_id);
    report.m_duplicateRuns += runs > 1 ? 1 : 0;
    if (each.IsAnswered()) {
      CheckAnswer(each, runs, report);
    } else if (each.m_result.m_kind != HttpClientResult::Kind::Answered) {
      ++report.m_disconnected;
    } else if (each.m_outcome == "not-run") {
      ++report.m_notRun;
      report.m_falseNotRun += runs > 0 ? 1 : 0;
    } else {
      ++report.m_unknown;
    }
  }
  return report;
}

std::string
Describe(const CallReport& aReport)
{
  return fmt::format("answered {}, not run {}, unknown {}, disconnected {}; "
                     "duplicate runs {}, false not-run {}, wrong answers {}, "
                     "answers without a run {}",
                     aReport.m_answered,
                     aReport.m_notRun,
                     aReport.m_unknown,
                     aReport.m_disconnected,
                     aReport.m_duplicateRuns,
                     aReport.m_falseNotRun,
                     aReport.m_wrongAnswers,
                     aReport.m_answersWithoutRun);
}

}
