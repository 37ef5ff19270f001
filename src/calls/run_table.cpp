#include "greengagehub/calls/run_table.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// A caller silent for this long sends no more messages about its attempts.
constexpr auto kEvictionMarkLife = std::chrono::hours{ 1 };
constexpr auto kMinRetryAfter = std::chrono::milliseconds{ 10 };
/// Lower values are too close to the normal variance of service times.
constexpr double kRefuseQueuedSlowness = 2.0;

}

RunTable::RunTable(RunTableSettings aSettings)
  : m_settings(aSettings)
  , m_limitedOrder(aSettings.m_decisions)
{
  m_limitedOrder.m_ranksPerSlotTime = false;
}

RunTable::~RunTable()
{
  m_queuedRuns.clear();
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
  ++m_workerIncarnation;
  m_serviceTimes = ServiceTimes{};
  m_limiter.Reset();
}

RunTable::Run&
RunTable::AddRun(TimePoint aNow, CallKey aKey, State aState)
{
  auto run = std::make_unique<Run>();
  run->m_key = aKey;
  run->m_state = aState;
  run->m_stateSince = aNow;
  Run& kept = *run;
  m_runs.emplace(aKey, std::move(run));
  return kept;
}

Admission
RunTable::RefuseArrival(TimePoint aNow, CallKey aKey, RefusalReason aReason)
{
  m_ended.push_back(AddRun(aNow, aKey, State::Refused));
  const auto wait = std::max(ExpectedWait(aNow), kMinRetryAfter);
  return { Admission::Kind::Refused, aReason, wait };
}

bool
RunTable::MakeRoom(TimePoint aNow, const Run& aFor, RunActions& aOut)
{
  const bool isClassFull =
    CountAgainstLimit(aFor.m_class) >= QueueLimit(aFor.m_class);
  if (!isClassFull && m_queued < m_settings.m_queue) {
    return true;
  }
  Run* last = FindDisplaceable(aNow, aFor, isClassFull);
  if (last == nullptr) {
    return false;
  }
  RefuseQueued(aNow, *last, RefusalReason::Overloaded, aOut);
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
    // Refused or cancelled before: "not run" was reported already.
    const bool isRefused = known->second->m_state == State::Refused;
    return { isRefused ? Admission::Kind::Refused : Admission::Kind::Duplicate,
             RefusalReason::Cancelled,
             {} };
  }
  if (IsEvicted(aKey)) {
    return { Admission::Kind::Duplicate, RefusalReason::None, {} };
  }
  if (m_draining) {
    return RefuseArrival(aNow, aKey, RefusalReason::Leaving);
  }
  if (aDemand.m_timeLeft <= m_settings.m_margin) {
    return RefuseArrival(aNow, aKey, RefusalReason::DeadlineTooShort);
  }
  Run offered;
  offered.m_key = aKey;
  offered.m_epoch = aEpoch;
  offered.m_class = aDemand.m_class;
  offered.m_priority = aDemand.m_priority;
  offered.m_kind = aDemand.m_kind;
  offered.m_target = aNow + aDemand.m_targetLeft;
  offered.m_deadline = aNow + aDemand.m_timeLeft;
  const bool starts = StartsAtOnce(aNow);
  offered.m_share = QueueShare(aNow, aDemand);
  if (!starts) {
    std::optional<RefusalReason> reason;
    if (aDemand.m_refuseIfBusy && IsBusyFor(aNow, offered)) {
      reason = RefusalReason::Busy;
    } else {
      reason = ReasonToRefuse(aNow, offered);
    }
    if (!reason && !MakeRoom(aNow, offered, aOut)) {
      reason = RefusalReason::Overloaded;
    }
    if (reason) {
      const RefusalReason cause = CauseOf(aNow, offered, *reason);
      m_shares.CountRefusal(offered.m_share);
      m_shares.Drop(offered.m_share);
      return RefuseArrival(aNow, aKey, cause);
    }
  }
  if (const WorkRank rank = Rank(aNow, offered);
      !rank.m_late && rank.m_lead == 0.0) {
    m_onTimeLoad.Add(aNow,
                     offered.m_kind,
                     rank.m_gain,
                     m_serviceTimes.Estimate(offered.m_kind));
  }
  Run& run = AddRun(aNow, aKey, State::Queued);
  CopyDemand(offered, run);
  if (starts) {
    StartRun(aNow, run);
    return { Admission::Kind::Start };
  }
  run.m_expires = ExpiryOf(aNow, run);
  m_queuedRuns.push_back(run);
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
  aTo.m_share = aFrom.m_share;
}

TimePoint
RunTable::ExpiryOf(TimePoint aNow, const Run& aRun) const
{
  // A call that starts after latestStart misses its deadline. A late call is
  // refused while its caller can still react.
  const TimePoint latestStart =
    aRun.m_deadline - m_settings.m_margin - ServiceTime(aNow, aRun.m_kind);
  const TimePoint waitUntil = std::max(
    aRun.m_target,
    aNow + (aRun.m_deadline - aNow) / m_settings.m_decisions.m_lateWaitDivisor);
  return std::max(aNow, std::min(latestStart, waitUntil));
}

void
RunTable::StartRun(TimePoint aNow, Run& aRun)
{
  aRun.m_state = State::Running;
  aRun.m_stateSince = aNow;
  aRun.m_workerIncarnation = m_workerIncarnation;
  aRun.m_expectedServiceTime = m_serviceTimes.FindMean(aRun.m_kind);
  if (aRun.m_expectedServiceTime) {
    m_slowness.RecordStart(aNow, *aRun.m_expectedServiceTime);
  }
  m_limiter.RecordSend(aNow);
  m_shares.Start(aRun.m_share, m_serviceTimes.Estimate(aRun.m_kind));
  ++m_running;
}

void
RunTable::RefuseQueued(TimePoint aNow, Run& aRun)
{
  m_queuedRuns.erase(m_queuedRuns.iterator_to(aRun));
  --m_queued;
  m_shares.Drop(aRun.m_share);
  aRun.m_state = State::Refused;
  aRun.m_stateSince = aNow;
  m_ended.push_back(aRun);
}

void
RunTable::RefuseQueued(TimePoint aNow,
                       Run& aRun,
                       RefusalReason aReason,
                       RunActions& aOut)
{
  aOut.m_refused.push_back(
    { aRun.m_key, aReason, std::max(ExpectedWait(aNow), kMinRetryAfter) });
  m_shares.CountRefusal(aRun.m_share);
  RefuseQueued(aNow, aRun);
}

CancelResult
RunTable::Cancel(TimePoint aNow, CallKey aKey)
{
  const auto known = m_runs.find(aKey);
  if (known == m_runs.end() && IsEvicted(aKey)) {
    return CancelResult::Evicted;
  }
  if (known == m_runs.end()) {
    // Prevents the execution of a request that arrives later.
    m_ended.push_back(AddRun(aNow, aKey, State::Refused));
    return CancelResult::NotStarted;
  }
  Run& run = *known->second;
  if (run.m_state == State::Queued) {
    RefuseQueued(aNow, run);
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
  for (const Run& run : m_queuedRuns) {
    next = next ? std::min(*next, run.m_expires) : run.m_expires;
  }
  return next;
}

std::optional<TimePoint>
RunTable::NextWakeUp(TimePoint aNow) const
{
  const auto expiry = NextExpiry();
  if (!expiry || m_running >= OpenSlots(aNow)) {
    return expiry;
  }
  return std::min(*expiry, m_limiter.NextSendAt(aNow));
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
  if (run.m_expectedServiceTime) {
    m_slowness.RecordEnd(run.m_stateSince, *run.m_expectedServiceTime);
  }
  if (run.m_workerIncarnation == m_workerIncarnation) {
    m_serviceTimes.Record(run.m_kind, aNow - run.m_stateSince);
  }
  m_shares.Finish(aNow, run.m_share, aNow - run.m_stateSince);
  run.m_state = State::Finished;
  run.m_stateSince = aNow;
  m_ended.push_back(run);
  --m_running;
  StartQueued(aNow, out);
  EvictEnded(aNow);
  return out;
}

RunTable::Run*
RunTable::HighestRanked(TimePoint aNow)
{
  Run* best = nullptr;
  WorkRank highest;
  for (Run& each : m_queuedRuns) {
    const WorkRank rank = Rank(aNow, each);
    if (best == nullptr || rank.IsWorthMore(highest)) {
      best = &each;
      highest = rank;
    }
  }
  return highest.m_lead == 0.0 ? best : FirstWithinShare(aNow, *best);
}

void
RunTable::StartQueued(TimePoint aNow, RunActions& aOut)
{
  ExpireQueued(aNow, aOut);
  while (m_running < OpenSlots(aNow) && m_limiter.NextSendAt(aNow) <= aNow) {
    Run* run = HighestRanked(aNow);
    if (run == nullptr) {
      return;
    }
    m_queuedRuns.erase(m_queuedRuns.iterator_to(*run));
    --m_queued;
    StartRun(aNow, *run);
    aOut.m_start.push_back(run->m_key);
  }
}

void
RunTable::ExpireQueued(TimePoint aNow, RunActions& aOut)
{
  for (auto it = m_queuedRuns.begin(); it != m_queuedRuns.end();) {
    Run& run = *it++;
    if (run.m_expires <= aNow) {
      const auto cause = CauseOf(aNow, run, RefusalReason::DeadlinePassed);
      RefuseQueued(aNow, run, cause, aOut);
    }
  }
}

void
RunTable::CloseEpochs(TimePoint aNow,
                      std::uint64_t aProcess,
                      std::uint64_t aBelowEpoch)
{
  for (auto it = m_queuedRuns.begin(); it != m_queuedRuns.end();) {
    Run& run = *it++;
    if (run.m_key.m_process == aProcess && run.m_epoch < aBelowEpoch) {
      RefuseQueued(aNow, run);
    }
  }
}

void
RunTable::RefuseQueuedIfSlow(TimePoint aNow, RunActions& aOut)
{
  if (SlownessAt(aNow) < kRefuseQueuedSlowness) {
    return;
  }
  for (auto it = m_queuedRuns.begin(); it != m_queuedRuns.end();) {
    Run& run = *it++;
    if (const auto reason = ReasonToRefuse(aNow, run)) {
      RefuseQueued(aNow, run, *reason, aOut);
    }
  }
}

RunActions
RunTable::OnTick(TimePoint aNow)
{
  RunActions out;
  RefuseQueuedIfSlow(aNow, out);
  StartQueued(aNow, out);
  EvictEnded(aNow);
  std::erase_if(m_evictionMarks, [aNow](const auto& aMark) {
    return aNow - aMark.second.m_updatedAt > kEvictionMarkLife;
  });
  return out;
}

bool
RunTable::IsEvicted(CallKey aKey) const
{
  const auto mark = m_evictionMarks.find(aKey.m_process);
  return mark != m_evictionMarks.end() && aKey.m_call <= mark->second.m_call;
}

void
RunTable::EvictEnded(TimePoint aNow)
{
  while (!m_ended.empty()) {
    Run& oldest = m_ended.front();
    const bool old = aNow - oldest.m_stateSince >= m_settings.m_retention;
    if (!old && m_ended.size() <= m_settings.m_maxRetained) {
      return;
    }
    EvictionMark& mark = m_evictionMarks[oldest.m_key.m_process];
    mark.m_call = std::max(mark.m_call, oldest.m_key.m_call);
    mark.m_updatedAt = aNow;
    m_ended.pop_front();
    m_runs.erase(oldest.m_key);
  }
}

RunActions
RunTable::StartDraining(TimePoint aNow)
{
  RunActions out;
  m_draining = true;
  while (!m_queuedRuns.empty()) {
    Run& run = m_queuedRuns.front();
    out.m_refused.push_back({ run.m_key, RefusalReason::Leaving, {} });
    RefuseQueued(aNow, run);
  }
  return out;
}

}
