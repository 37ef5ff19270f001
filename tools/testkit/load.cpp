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

/// One run of a plan on one event loop.
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
                return aLeft.m_after < aRight.m_after;
              });
  }

  std::vector<CallRecord> Run()
  {
    ScheduleNext();
    while (m_done < m_plan.m_count) {
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
        FireEvents();
        Send(m_sent++);
      }
      ScheduleNext();
    });
  }

  void FireEvents()
  {
    while (m_nextEvent < m_events.size() &&
           m_events[m_nextEvent].m_after <= m_sent) {
      // On a thread of its own: the load must go on while a daemon drains.
      m_threads.emplace_back(m_events[m_nextEvent++].m_action);
    }
  }

  void Send(std::size_t aNumber)
  {
    CallRecord& record = m_records[aNumber];
    record.m_id = m_plan.m_prefix + std::to_string(aNumber);
    HttpClientRequest request;
    request.m_method = m_plan.m_method;
    request.m_url =
      m_plan.m_urls[aNumber % m_plan.m_urls.size()] + m_plan.m_target;
    request.m_headers = m_plan.m_headers;
    request.m_headers.push_back(HttpHeader{ m_plan.m_idHeader, record.m_id });
    request.m_body = m_plan.m_body;
    request.m_timeout = m_plan.m_timeout;
    // From when it was due, not from when this loop got to it.
    const auto due = DueAt(aNumber);
    m_client.Send(std::move(request),
                  [this, aNumber, due](HttpClientResult aResult) {
                    Ended(m_records[aNumber], due, std::move(aResult));
                  });
  }

  void Ended(CallRecord& aRecord,
             ClockType::time_point aDue,
             HttpClientResult aResult)
  {
    aRecord.m_latency = ClockType::now() - aDue;
    const auto& headers = aResult.m_response.m_headers;
    aRecord.m_outcome = HeaderValue(headers, "Greengagehub-Outcome");
    aRecord.m_reason = HeaderValue(headers, "Greengagehub-Reason");
    aRecord.m_result = std::move(aResult);
    ++m_done;
  }

  const LoadPlan& m_plan;
  std::vector<LoadEvent> m_events;
  asio::io_context m_loop;
  HttpClient m_client;
  asio::steady_timer m_timer;
  ClockType::time_point m_started;
  std::vector<CallRecord> m_records;
  std::size_t m_sent{ 0 };
  std::size_t m_done{ 0 };
  std::size_t m_nextEvent{ 0 };
  std::vector<std::jthread> m_threads;
};

std::uint32_t
RunsOf(const RunCounts& aRuns, const std::string& aId)
{
  const auto found = aRuns.find(aId);
  return found == aRuns.end() ? 0 : found->second;
}

void
CheckAnswer(const CallRecord& aRecord, std::uint32_t aRuns, CallReport& aOut)
{
  ++aOut.m_answered;
  const auto body =
    nlohmann::json::parse(aRecord.m_result.m_response.m_body, nullptr, false);
  const bool own =
    body.is_object() && body.value("id", std::string{}) == aRecord.m_id;
  aOut.m_swapped += own ? 0 : 1;
  aOut.m_answeredUnrun += aRuns == 0 ? 1 : 0;
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
    const std::uint32_t runs = RunsOf(aRuns, each.m_id);
    report.m_doubled += runs > 1 ? 1 : 0;
    if (each.IsAnswered()) {
      CheckAnswer(each, runs, report);
    } else if (each.m_result.m_kind != HttpClientResult::Kind::Answered) {
      ++report.m_cut;
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
  return fmt::format("answered {}, not run {}, unknown {}, cut {}; doubled "
                     "{}, false not-run {}, swapped {}, answered unrun {}",
                     aReport.m_answered,
                     aReport.m_notRun,
                     aReport.m_unknown,
                     aReport.m_cut,
                     aReport.m_doubled,
                     aReport.m_falseNotRun,
                     aReport.m_swapped,
                     aReport.m_answeredUnrun);
}

}
