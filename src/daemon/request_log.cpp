#include "greengagehub/daemon/request_log.hpp"

#include "greengagehub/daemon/call_headers.hpp"

namespace greengagehub {

namespace {

constexpr std::string_view kComponent = "calls";

std::int64_t
Micros(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aSpan).count();
}

}

void
RequestLog::OnFinished(TimePoint aNow, const Finished& aEnd)
{
  const CallAnswer& answer = aEnd.m_answer;
  const bool good = answer.m_outcome == CallOutcome::Answered &&
                    answer.m_response.m_status < kFirstServerError &&
                    aEnd.m_sends <= 1;
  if (good && ++m_good % kSampled != 0) {
    return;
  }
  if (!m_budget.Take(aNow)) {
    return;
  }
  m_log.Info(kComponent,
             "request_finished",
             { { "request", aEnd.m_id },
               { "route", aEnd.m_route },
               { "service", aEnd.m_service },
               { "workspace", aEnd.m_workspace },
               { "outcome", NameOf(answer.m_outcome) },
               { "reason", NameOf(answer.m_reason) },
               { "status", std::uint64_t{ StatusOf(answer) } },
               { "last_slot", aEnd.m_slot },
               { "sends", std::uint64_t{ aEnd.m_sends } },
               { "took_us", Micros(aEnd.m_took) },
               { "retry_after_ms", answer.m_retryAfter.count() },
               { "version", aEnd.m_version.m_number } });
}

void
RequestLog::OnHeld(TimePoint aNow,
                   std::string_view aId,
                   Fingerprint aContent,
                   Duration aLeft)
{
  if (m_budget.Take(aNow)) {
    m_log.Info(kComponent,
               "request_held",
               { { "request", aId },
                 { "content", ToHex(aContent) },
                 { "left_us", Micros(aLeft) } });
  }
}

void
RequestLog::OnPlacedAgain(TimePoint aNow,
                          std::string_view aId,
                          std::string_view aSlot,
                          std::uint32_t aSends,
                          std::chrono::microseconds aTimeLeft)
{
  if (!m_budget.Take(aNow)) {
    return;
  }
  m_log.Info(kComponent,
             "request_placed",
             { { "request", aId },
               { "slot", aSlot },
               { "sends", std::uint64_t{ aSends } },
               { "left_us", aTimeLeft.count() } });
}

void
RequestLog::OnRunRefused(TimePoint aNow,
                         std::string_view aId,
                         RefusalReason aReason,
                         std::chrono::microseconds aTimeLeft,
                         const WorkerState& aState)
{
  if (!m_budget.Take(aNow)) {
    return;
  }
  m_log.Info(kComponent,
             "run_refused",
             { { "request", aId },
               { "reason", NameOf(aReason) },
               { "left_us", aTimeLeft.count() },
               { "instance", aState.m_instance },
               { "running", std::uint64_t{ aState.m_running } },
               { "queued", std::uint64_t{ aState.m_queued } },
               { "slots", std::uint64_t{ aState.m_slots } },
               { "wait_us", aState.m_wait.count() } });
}

void
RequestLog::OnRunLost(TimePoint aNow,
                      std::string_view aId,
                      Fingerprint aContent,
                      RefusalReason aReason,
                      Duration aRan,
                      const WorkerState& aState)
{
  if (!m_budget.Take(aNow)) {
    return;
  }
  m_log.Info(kComponent,
             "run_lost",
             { { "request", aId },
               { "content", ToHex(aContent) },
               { "reason", NameOf(aReason) },
               { "ran_us", Micros(aRan) },
               { "instance", aState.m_instance },
               { "running", std::uint64_t{ aState.m_running } } });
}

void
RequestLog::OnWorkerEnded(std::string_view aInstance,
                          bool aIsLeaving,
                          const WorkerEnd& aEnd)
{
  std::string contents;
  for (const Witness& each : aEnd.m_runs) {
    contents += contents.empty() ? "" : " ";
    contents += ToHex(each.m_content);
  }
  m_log.Warning("worker",
                "worker_ended",
                { { "instance", aInstance },
                  { "leaving", aIsLeaving },
                  { "number", aEnd.m_number },
                  { "runs", std::uint64_t{ aEnd.m_runs.size() } },
                  { "contents", contents } });
}

void
RequestLog::OnRunCancelled(TimePoint aNow, std::string_view aId, bool aStarted)
{
  if (m_budget.Take(aNow)) {
    m_log.Info(kComponent,
               "run_cancelled",
               { { "request", aId }, { "started", aStarted } });
  }
}

void
RequestLog::OnTick()
{
  if (const std::uint64_t left = m_budget.TakeLeftOut(); left > 0) {
    m_log.Warning(kComponent, "lines_left_out", { { "count", left } });
  }
}

}
