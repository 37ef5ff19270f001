#include "greengagehub/calls/run_table.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Weight of one sample in the moving mean of service times, as a shift.
constexpr int kMeanShift = 4;
/// A caller process that has been silent for longer than any connection lives
/// cannot ask any more.
constexpr auto kHorizonLife = std::chrono::hours{ 1 };
constexpr auto kLeastRetryAfter = std::chrono::milliseconds{ 10 };

std::chrono::milliseconds
RoundUp(Duration aSpan)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aSpan);
}

}

RunTable::RunTable(RunTableSettings aSettings)
  : m_settings(aSettings)
{
}

RunTable::~RunTable()
{
  for (RunList& each : m_queues) {
    each.clear();
  }
  m_ended.clear();
}

void
RunTable::SetLimits(std::uint32_t aSlots, std::uint32_t aQueue) noexcept
{
  m_settings.m_slots = aSlots;
  m_settings.m_queue = aQueue;
}

std::uint32_t
RunTable::OpenSlots(TimePoint aNow) const
{
  const Duration warmUp = m_settings.m_warmUp;
  const Duration age = aNow - m_firstCall;
  if (warmUp <= Duration::zero() || age >= warmUp) {
    return m_settings.m_slots;
  }
  const double share =
    std::chrono::duration<double>(age) / std::chrono::duration<double>(warmUp);
  return std::max(1U, static_cast<std::uint32_t>(share * m_settings.m_slots));
}

std::uint32_t
RunTable::QueueLimit(CallClass aClass) const noexcept
{
  // Lower classes may fill only a part, so that overload sheds them first.
  switch (aClass) {
    case CallClass::Critical:
      return m_settings.m_queue;
    case CallClass::Lookup:
      return m_settings.m_queue * 3 / 4;
    case CallClass::Export:
      return m_settings.m_queue / 4;
  }
  return 0;
}

std::uint32_t
RunTable::QueuedAhead(CallClass aClass) const noexcept
{
  std::size_t ahead = 0;
  for (std::size_t each = 0; each <= static_cast<std::size_t>(aClass); ++each) {
    ahead += m_queues[each].size();
  }
  return static_cast<std::uint32_t>(ahead);
}

Duration
RunTable::WaitFor(TimePoint aNow, CallClass aClass) const
{
  const std::uint32_t slots = OpenSlots(aNow);
  if (m_running < slots) {
    return Duration::zero();
  }
  return m_serviceTime * (QueuedAhead(aClass) + 1) / slots;
}

std::chrono::milliseconds
RunTable::ExpectedWait(TimePoint aNow) const
{
  return RoundUp(WaitFor(aNow, CallClass::Export));
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
RunTable::MakeRoom(TimePoint aNow, CallClass aClass, RunActions& aOut)
{
  if (QueuedAhead(aClass) >= QueueLimit(aClass)) {
    return false;
  }
  if (m_queued < m_settings.m_queue) {
    return true;
  }
  for (std::size_t lower = kClasses - 1;
       lower > static_cast<std::size_t>(aClass);
       --lower) {
    if (!m_queues[lower].empty()) {
      Run& victim = m_queues[lower].back();
      aOut.m_refused.push_back(
        { victim.m_key,
          RefusalReason::Overloaded,
          std::max(ExpectedWait(aNow), kLeastRetryAfter) });
      EndQueued(aNow, victim);
      return true;
    }
  }
  return false;
}

Admission
RunTable::Admit(TimePoint aNow,
                CallKey aKey,
                std::uint64_t aEpoch,
                CallClass aClass,
                std::chrono::microseconds aTimeLeft,
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
  const Duration wait = WaitFor(aNow, aClass);
  if (wait + m_settings.m_margin > aTimeLeft) {
    return Refused(aNow, aKey, RefusalReason::DeadlineTooShort);
  }
  if (m_running < OpenSlots(aNow)) {
    Run& run = Remember(aNow, aKey, State::Queued);
    run.m_epoch = aEpoch;
    StartRun(aNow, run);
    return { Admission::Kind::Start };
  }
  if (!MakeRoom(aNow, aClass, aOut)) {
    return Refused(aNow, aKey, RefusalReason::Overloaded);
  }
  Run& run = Remember(aNow, aKey, State::Queued);
  run.m_epoch = aEpoch;
  run.m_class = aClass;
  run.m_deadline = aNow + aTimeLeft - m_settings.m_margin;
  m_queues[static_cast<std::size_t>(aClass)].push_back(run);
  ++m_queued;
  return { Admission::Kind::Queued };
}

void
RunTable::StartRun(TimePoint aNow, Run& aRun)
{
  aRun.m_state = State::Running;
  aRun.m_since = aNow;
  ++m_running;
}

void
RunTable::EndQueued(TimePoint aNow, Run& aRun)
{
  RunList& queue = m_queues[static_cast<std::size_t>(aRun.m_class)];
  queue.erase(queue.iterator_to(aRun));
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
  for (const RunList& queue : m_queues) {
    for (const Run& run : queue) {
      next = next ? std::min(*next, run.m_deadline) : run.m_deadline;
    }
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
  const Duration took = aNow - run.m_since;
  m_serviceTime += (took - m_serviceTime) / (1 << kMeanShift);
  run.m_state = State::Finished;
  run.m_since = aNow;
  m_ended.push_back(run);
  --m_running;
  StartWaiting(aNow, out);
  Forget(aNow);
  return out;
}

void
RunTable::StartWaiting(TimePoint aNow, RunActions& aOut)
{
  for (RunList& queue : m_queues) {
    while (!queue.empty() && m_running < OpenSlots(aNow)) {
      Run& run = queue.front();
      if (run.m_deadline <= aNow) {
        aOut.m_refused.push_back(
          { run.m_key, RefusalReason::DeadlinePassed, {} });
        EndQueued(aNow, run);
        continue;
      }
      queue.pop_front();
      --m_queued;
      StartRun(aNow, run);
      aOut.m_start.push_back(run.m_key);
    }
  }
}

void
RunTable::CloseEpochs(TimePoint aNow,
                      std::uint64_t aProcess,
                      std::uint64_t aBelowEpoch)
{
  for (RunList& queue : m_queues) {
    for (auto it = queue.begin(); it != queue.end();) {
      Run& run = *it++;
      if (run.m_key.m_process == aProcess && run.m_epoch < aBelowEpoch) {
        EndQueued(aNow, run);
      }
    }
  }
}

RunActions
RunTable::OnTick(TimePoint aNow)
{
  RunActions out;
  for (RunList& queue : m_queues) {
    for (auto it = queue.begin(); it != queue.end();) {
      Run& run = *it++;
      if (run.m_deadline <= aNow) {
        out.m_refused.push_back(
          { run.m_key, RefusalReason::DeadlinePassed, {} });
        EndQueued(aNow, run);
      }
    }
  }
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
  for (RunList& queue : m_queues) {
    while (!queue.empty()) {
      Run& run = queue.front();
      out.m_refused.push_back({ run.m_key, RefusalReason::Leaving, {} });
      EndQueued(aNow, run);
    }
  }
  return out;
}

}
