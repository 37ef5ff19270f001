#include "greengagehub/calls/run_table.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// A caller process that has been silent for longer than any connection lives
/// cannot ask any more.
constexpr auto kHorizonLife = std::chrono::hours{ 1 };
constexpr auto kLeastRetryAfter = std::chrono::milliseconds{ 10 };
/// A worker that has become this many times slower is left by what waits there
/// in vain. Below it the estimate is too near to usual spread to take back an
/// admission.
constexpr double kMuchSlower = 2.0;

}

RunTable::RunTable(RunTableSettings aSettings)
  : m_settings(aSettings)
{
}

RunTable::~RunTable()
{
  m_waiting.clear();
  m_ended.clear();
}

void
RunTable::SetLimits(std::uint32_t aSlots, std::uint32_t aQueue) noexcept
{
  m_settings.m_slots = aSlots;
  m_settings.m_queue = aQueue;
}

void
RunTable::OnWorkerRestarted()
{
  ++m_workerStarts;
  m_services = ServiceTimes{};
}

RunTable::Run&
RunTable::Remember(TimePoint aNow, CallKey aKey, State aState)
{
  auto run = std::make_unique<Run>();
  run->m_key = aKey;
  run->m_state = aState;
  run->m_since = aNow;
  Run& kept = *run;
  m_runs.emplace(aKey, std::move(run));
  return kept;
}

Admission
RunTable::Refused(TimePoint aNow, CallKey aKey, RefusalReason aReason)
{
  m_ended.push_back(Remember(aNow, aKey, State::Refused));
  const auto wait = std::max(ExpectedWait(aNow), kLeastRetryAfter);
  return { Admission::Kind::Refused, aReason, wait };
}

bool
RunTable::MakeRoom(TimePoint aNow, const Run& aFor, RunActions& aOut)
{
  if (QueuedOf(aFor.m_class) >= QueueLimit(aFor.m_class)) {
    return false;
  }
  if (m_queued < m_settings.m_queue) {
    return true;
  }
  Run* last = nullptr;
  for (Run& each : m_waiting) {
    if (last == nullptr || !Rank(aNow, each).IsBefore(Rank(aNow, *last))) {
      last = &each;
    }
  }
  if (last == nullptr || !Rank(aNow, aFor).IsBefore(Rank(aNow, *last))) {
    return false;
  }
  aOut.m_refused.push_back({ last->m_key,
                             RefusalReason::Overloaded,
                             std::max(ExpectedWait(aNow), kLeastRetryAfter) });
  EndQueued(aNow, *last);
  return true;
}

Admission
RunTable::Admit(TimePoint aNow,
                CallKey aKey,
                std::uint64_t aEpoch,
                const WorkDemand& aDemand,
                RunActions& aOut)
{
  if (m_firstCall == TimePoint{}) {
    m_firstCall = aNow;
  }
  const auto known = m_runs.find(aKey);
  if (known != m_runs.end()) {
    // Cancelled before it came: the mark says that "not run" was told.
    const bool marked = known->second->m_state == State::Refused;
    return { marked ? Admission::Kind::Refused : Admission::Kind::Repeated,
             RefusalReason::Cancelled,
             {} };
  }
  if (IsForgotten(aKey)) {
    return { Admission::Kind::Repeated, RefusalReason::None, {} };
  }
  if (m_leaving) {
    return Refused(aNow, aKey, RefusalReason::Leaving);
  }
  if (aDemand.m_timeLeft <= m_settings.m_margin) {
    return Refused(aNow, aKey, RefusalReason::DeadlineTooShort);
  }
  Run offered;
  offered.m_key = aKey;
  offered.m_epoch = aEpoch;
  offered.m_class = aDemand.m_class;
  offered.m_priority = aDemand.m_priority;
  offered.m_kind = aDemand.m_kind;
  offered.m_target = aNow + aDemand.m_targetLeft;
  offered.m_deadline = aNow + aDemand.m_timeLeft;
  const bool starts = m_running < OpenSlots(aNow);
  if (!starts) {
    if (aDemand.m_refuseIfBusy && IsBusyFor(aNow, offered)) {
      return Refused(aNow, aKey, RefusalReason::Busy);
    }
    if (const auto reason = ReasonToRefuse(aNow, offered)) {
      return Refused(aNow, aKey, *reason);
    }
    if (!MakeRoom(aNow, offered, aOut)) {
      return Refused(aNow, aKey, RefusalReason::Overloaded);
    }
  }
  if (const WorkRank rank = Rank(aNow, offered); !rank.m_late) {
    m_onTime.Add(
      aNow, offered.m_kind, rank.m_gain, m_services.Of(offered.m_kind));
  }
  Run& run = Remember(aNow, aKey, State::Queued);
  CopyDemand(offered, run);
  if (starts) {
    StartRun(aNow, run);
    return { Admission::Kind::Start };
  }
  run.m_expires = ExpiryOf(aNow, run);
  m_waiting.push_back(run);
  ++m_queued;
  return { Admission::Kind::Queued };
}

void
RunTable::CopyDemand(const Run& aFrom, Run& aTo)
{
  aTo.m_epoch = aFrom.m_epoch;
  aTo.m_class = aFrom.m_class;
  aTo.m_priority = aFrom.m_priority;
  aTo.m_kind = aFrom.m_kind;
  aTo.m_target = aFrom.m_target;
  aTo.m_deadline = aFrom.m_deadline;
}

TimePoint
RunTable::ExpiryOf(TimePoint aNow, const Run& aRun) const
{
  // Past the first it could not be answered in time; past the second it is
  // late already, and its caller has better things to do than wait.
  const TimePoint inVain =
    aRun.m_deadline - m_settings.m_margin - ServiceTime(aNow, aRun.m_kind);
  const TimePoint patience = std::max(
    aRun.m_target,
    aNow + (aRun.m_deadline - aNow) / m_settings.m_decisions.m_latePart);
  return std::max(aNow, std::min(inVain, patience));
}

void
RunTable::StartRun(TimePoint aNow, Run& aRun)
{
  aRun.m_state = State::Running;
  aRun.m_since = aNow;
  aRun.m_workerStarts = m_workerStarts;
  aRun.m_expected = m_services.Known(aRun.m_kind);
  if (aRun.m_expected) {
    m_runningAge.Started(aNow, *aRun.m_expected);
  }
  ++m_running;
}

void
RunTable::EndQueued(TimePoint aNow, Run& aRun)
{
  m_waiting.erase(m_waiting.iterator_to(aRun));
  --m_queued;
  aRun.m_state = State::Refused;
  aRun.m_since = aNow;
  m_ended.push_back(aRun);
}

CancelResult
RunTable::Cancel(TimePoint aNow, CallKey aKey)
{
  const auto known = m_runs.find(aKey);
  if (known == m_runs.end() && IsForgotten(aKey)) {
    return CancelResult::Forgotten;
  }
  if (known == m_runs.end()) {
    // The cancellation overtook its request: leave a mark, so that the
    // request is not run when it arrives.
    m_ended.push_back(Remember(aNow, aKey, State::Refused));
    return CancelResult::NotStarted;
  }
  Run& run = *known->second;
  if (run.m_state == State::Queued) {
    EndQueued(aNow, run);
  }
  switch (run.m_state) {
    case State::Running:
      return CancelResult::Running;
    case State::Finished:
      return CancelResult::Finished;
    default:
      return CancelResult::NotStarted;
  }
}

std::optional<TimePoint>
RunTable::NextExpiry() const
{
  std::optional<TimePoint> next;
  for (const Run& run : m_waiting) {
    next = next ? std::min(*next, run.m_expires) : run.m_expires;
  }
  return next;
}

RunActions
RunTable::Finish(TimePoint aNow, CallKey aKey)
{
  RunActions out;
  const auto known = m_runs.find(aKey);
  if (known == m_runs.end() || known->second->m_state != State::Running) {
    return out;
  }
  Run& run = *known->second;
  if (run.m_expected) {
    m_runningAge.Ended(run.m_since, *run.m_expected);
  }
  if (run.m_workerStarts == m_workerStarts) {
    m_services.Note(run.m_kind, aNow - run.m_since);
  }
  run.m_state = State::Finished;
  run.m_since = aNow;
  m_ended.push_back(run);
  --m_running;
  StartWaiting(aNow, out);
  Forget(aNow);
  return out;
}

RunTable::Run*
RunTable::NextInTurn(TimePoint aNow)
{
  Run* next = nullptr;
  for (Run& each : m_waiting) {
    if (next == nullptr || Rank(aNow, each).IsBefore(Rank(aNow, *next))) {
      next = &each;
    }
  }
  return next;
}

void
RunTable::StartWaiting(TimePoint aNow, RunActions& aOut)
{
  ExpireWaiting(aNow, aOut);
  while (m_running < OpenSlots(aNow)) {
    Run* run = NextInTurn(aNow);
    if (run == nullptr) {
      return;
    }
    m_waiting.erase(m_waiting.iterator_to(*run));
    --m_queued;
    StartRun(aNow, *run);
    aOut.m_start.push_back(run->m_key);
  }
}

void
RunTable::ExpireWaiting(TimePoint aNow, RunActions& aOut)
{
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    Run& run = *it++;
    if (run.m_expires <= aNow) {
      aOut.m_refused.push_back(
        { run.m_key,
          RefusalReason::DeadlinePassed,
          std::max(ExpectedWait(aNow), kLeastRetryAfter) });
      EndQueued(aNow, run);
    }
  }
}

void
RunTable::CloseEpochs(TimePoint aNow,
                      std::uint64_t aProcess,
                      std::uint64_t aBelowEpoch)
{
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    Run& run = *it++;
    if (run.m_key.m_process == aProcess && run.m_epoch < aBelowEpoch) {
      EndQueued(aNow, run);
    }
  }
}

void
RunTable::RefuseInVain(TimePoint aNow, RunActions& aOut)
{
  if (SlownessAt(aNow) < kMuchSlower) {
    return;
  }
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    Run& run = *it++;
    if (const auto reason = ReasonToRefuse(aNow, run)) {
      aOut.m_refused.push_back(
        { run.m_key, *reason, std::max(ExpectedWait(aNow), kLeastRetryAfter) });
      EndQueued(aNow, run);
    }
  }
}

RunActions
RunTable::OnTick(TimePoint aNow)
{
  RunActions out;
  RefuseInVain(aNow, out);
  StartWaiting(aNow, out);
  Forget(aNow);
  std::erase_if(m_horizons, [aNow](const auto& aHorizon) {
    return aNow - aHorizon.second.m_since > kHorizonLife;
  });
  return out;
}

bool
RunTable::IsForgotten(CallKey aKey) const
{
  const auto horizon = m_horizons.find(aKey.m_process);
  return horizon != m_horizons.end() && aKey.m_call <= horizon->second.m_call;
}

void
RunTable::Forget(TimePoint aNow)
{
  while (!m_ended.empty()) {
    Run& oldest = m_ended.front();
    const bool old = aNow - oldest.m_since >= m_settings.m_remember;
    if (!old && m_ended.size() <= m_settings.m_maxRemembered) {
      return;
    }
    Horizon& horizon = m_horizons[oldest.m_key.m_process];
    horizon.m_call = std::max(horizon.m_call, oldest.m_key.m_call);
    horizon.m_since = aNow;
    m_ended.pop_front();
    m_runs.erase(oldest.m_key);
  }
}

RunActions
RunTable::StartLeaving(TimePoint aNow)
{
  RunActions out;
  m_leaving = true;
  while (!m_waiting.empty()) {
    Run& run = m_waiting.front();
    out.m_refused.push_back({ run.m_key, RefusalReason::Leaving, {} });
    EndQueued(aNow, run);
  }
  return out;
}

}
