#include "greengagehub/daemon/run_service.hpp"

#include "greengagehub/http/listen_check.hpp"

#include <fmt/format.h>

// The backend server's process: its starts and its ends.

namespace greengagehub {

namespace {

/// Calls that wait here for each slot of the worker.
constexpr std::uint32_t kQueuePerSlot = 4;
/// A worker that does not tell its id within this will report by itself.
constexpr auto kProbeTimeout = std::chrono::milliseconds{ 1000 };
/// A worker that has started again cannot answer what its former start was
/// given, but for answers that are on their way within this machine.
constexpr auto kFormerAnswers = std::chrono::milliseconds{ 100 };
/// A connection within one instance is taken or refused at once; one that is
/// neither after this says nothing of the worker.
constexpr auto kLookTime = std::chrono::milliseconds{ 20 };

asio::ip::tcp::endpoint
WorkerAddress(const Settings& aSettings)
{
  return { asio::ip::make_address(aSettings.m_worker.m_host),
           aSettings.m_worker.m_port };
}

}

void
RunService::LookAfterLoss(CallKey aKey)
{
  const Held& held = m_held.at(aKey);
  m_doubted.push_back(aKey);
  const Witness lost{ held.m_content,
                      Clock::now() - held.m_started,
                      std::nullopt };
  if (!m_ends.OnLost(lost)) {
    return;
  }
  CheckListening(
    m_parts.m_loop,
    WorkerAddress(m_parts.m_settings),
    kLookTime,
    [this](Listening aShown) { OnLooked(aShown == Listening::No); });
}

void
RunService::OnLooked(bool aNobodyListens)
{
  auto end = m_ends.OnLooked(aNobodyListens);
  if (end) {
    m_parts.m_requests.OnWorkerEnded(m_start.m_id, m_runs.IsLeaving(), *end);
    m_parts.m_metrics.CountWorkerEnd();
  }
  // One that leaves ends by itself.
  const bool counts = end && !m_runs.IsLeaving();
  if (counts) {
    const std::string name = fmt::format(
      "{}/{}/{}", m_parts.m_settings.m_slot, m_parts.m_seed, end->m_number);
    m_parts.m_onEnd({ .m_id = ShortHashOf(name),
                      .m_slot = m_parts.m_settings.m_slot,
                      .m_service = m_parts.m_settings.m_service,
                      .m_ran = std::move(end->m_runs) });
  }
  for (const CallKey& each : std::exchange(m_doubted, {})) {
    ConcludeLost(each, counts);
  }
}

void
RunService::ConcludeLost(CallKey aKey, bool aWorkerEnded)
{
  const auto held = m_held.find(aKey);
  if (held == m_held.end()) {
    return;
  }
  CallAnswer answer = Refuse(aKey.m_call,
                             CallOutcome::Unknown,
                             aWorkerEnded ? RefusalReason::WorkerEnded
                                          : RefusalReason::AnswerLost);
  answer.m_reachedWorker = true;
  if (aWorkerEnded) {
    answer.m_ends = m_parts.m_quarantine.EndsUnder(held->second.m_content);
  }
  Conclude(aKey, std::move(answer));
}

void
RunService::Probe(const std::string& aPath,
                  std::function<void(std::string)> aDone)
{
  BackendRequest request;
  request.m_target = aPath;
  request.m_headers = { { "Host", m_parts.m_settings.m_worker.m_host } };
  request.m_deadline = Clock::now() + kProbeTimeout;
  m_client.Send(std::move(request),
                [this, done = std::move(aDone)](const BackendResult& aResult) {
                  const HttpResponse& response = aResult.m_response;
                  const bool well =
                    aResult.m_kind == BackendResult::Kind::Answered &&
                    IsSuccess(response.m_status);
                  const std::string_view id = HeaderValue(
                    response.m_headers, m_parts.m_dialect.m_instance);
                  if (well && !id.empty()) {
                    done(std::string{ id });
                  }
                });
}

void
RunService::OnWorker(const WorkerPresence& aPresence)
{
  const auto& worker = aPresence.Current();
  if (!aPresence.TakesCalls()) {
    if (m_hasWorker) {
      StartLeaving();
    }
    return;
  }
  TakeStart(worker->m_start, aPresence.FormerHeardAt());
  m_version = worker->m_version;
  m_coldUntil = Clock::now() + worker->m_coldLeft;
  m_hasWorker = true;
  m_runs.Reopen();
  m_runs.SetLimits(worker->m_slots, kQueuePerSlot * worker->m_slots);
}

WorkerCounts
RunService::Counts() const
{
  WorkerCounts counts;
  counts.m_slot = m_parts.m_settings.m_slot;
  counts.m_process = m_parts.m_seed;
  counts.m_service = m_parts.m_settings.m_service;
  counts.m_version = m_hasWorker ? m_version : std::string{};
  counts.m_atWork = m_runs.Load();
  counts.m_arrived = m_tally.CountArrived();
  counts.m_routes = m_tally.Routes();
  return counts;
}

void
RunService::Tally(const Held& aHeld, const CallAnswer& aAnswer)
{
  constexpr std::uint16_t kGatewayTimeout = 504;
  RunTally::Result result = RunTally::Result::Good;
  if (aAnswer.m_outcome == CallOutcome::NotRun) {
    return;
  }
  if (aAnswer.m_outcome == CallOutcome::Unknown) {
    result = aAnswer.m_reason == RefusalReason::DeadlinePassed
               ? RunTally::Result::Expired
               : RunTally::Result::Lost;
  } else if (aAnswer.m_response.m_status == kGatewayTimeout) {
    result = RunTally::Result::Expired;
  } else if (aAnswer.m_response.m_status >= kFirstServerError) {
    result = RunTally::Result::Failed;
  }
  const TimePoint now = Clock::now();
  m_tally.Ended(aHeld.m_request.m_kind.m_route,
                result,
                now - aHeld.m_started,
                now < m_coldUntil);
}

void
RunService::TakeStart(const WorkerStart& aStart, TimePoint aFormerHeardAt)
{
  if (!MayBeSame(m_start, aStart)) {
    m_client.CloseIdle();
    // A crash that closed no connection leaves its requests without an answer
    // up to their deadlines, in slots that the new start has free.
    m_client.LimitBusy(aFormerHeardAt, Clock::now() + kFormerAnswers);
    m_runs.OnWorkerRestarted();
  }
  m_start = aStart;
}

}
