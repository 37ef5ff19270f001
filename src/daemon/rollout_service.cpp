#include "greengagehub/daemon/rollout_service.hpp"

#include "platform/names.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr std::string_view kComponent = "rollout";
/// Shortest time between two reads of an unreachable store.
constexpr std::chrono::milliseconds kReadInterval{ 1000 };
constexpr std::chrono::milliseconds kCountsInterval{ 300 };
/// Delay before this daemon writes in place of the leader, which writes first
/// unless it has failed or cannot reach the store.
constexpr std::chrono::milliseconds kBackupWriteDelay{ 700 };

RolloutStatus
StatusOf(const RolloutRecord& aRecord)
{
  return { aRecord.m_order.m_service,
           aRecord.m_order.m_target,
           aRecord.m_state == RolloutState::Completing ? RolloutState::Completed
                                                       : aRecord.m_state,
           aRecord.m_cause };
}

std::int64_t
ToMilliseconds(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

}

RolloutService::RolloutService(Dependencies aDependencies)
  : m_deps(std::move(aDependencies))
{
}

void
RolloutService::OnTick(TimePoint aNow, bool aReadsStore)
{
  if (aReadsStore && !m_hasRead && !m_isReading && aNow >= m_nextRead) {
    m_nextRead = aNow + kReadInterval;
    Read();
  }
  if (m_table.IsEmpty()) {
    return;
  }
  ReportCounts(aNow);
  LeadRollouts(aNow);
  Write(m_writer.OnTick(aNow));
}

void
RolloutService::OnUpdate(const std::vector<RolloutRecord>& aRecords)
{
  const TimePoint now = Clock::now();
  for (const RolloutRecord& each : aRecords) {
    ApplyChange(now,
                each.m_order.m_service,
                m_table.ApplyRecord(now, each),
                Scope::OwnDomain);
  }
}

void
RolloutService::ApplyChange(TimePoint aNow,
                            const std::string& aService,
                            Change aChange,
                            Scope aScope)
{
  if (aChange == Change::None) {
    return;
  }
  const RolloutRecord record = *m_table.Find(aNow, aService);
  if (aChange == Change::State) {
    LogChange(record, aScope);
    ScheduleStatus(aNow, record, aScope);
  }
  m_deps.m_publish({ record }, aScope, aChange);
}

void
RolloutService::ScheduleStatus(TimePoint aNow,
                               const RolloutRecord& aRecord,
                               Scope aScope)
{
  const std::string& service = aRecord.m_order.m_service;
  if (aRecord.m_isWritten) {
    m_writer.CancelWrite(service);
    return;
  }
  const bool isOwn = aScope == Scope::AllDomains && m_deps.m_isLeader();
  const bool isWriter = isOwn || (aRecord.m_state != RolloutState::Running &&
                                  m_deps.m_isBackupWriter());
  if (!isWriter || aRecord.m_isFromStore) {
    return;
  }
  m_writer.QueueWrite(StatusOf(aRecord),
                      isOwn ? aNow : aNow + kBackupWriteDelay);
}

void
RolloutService::LeadRollouts(TimePoint aNow)
{
  const std::vector<RolloutRecord> all = m_table.All(aNow);
  const bool isOpen = std::ranges::any_of(
    all, [](const RolloutRecord& aRecord) { return !aRecord.m_isWritten; });
  if (!isOpen || !m_deps.m_isLeader()) {
    m_leaders.clear();
    return;
  }
  for (const RolloutRecord& each : all) {
    if (!IsFinal(each.m_state)) {
      LeadRollout(aNow, each);
    }
  }
}

void
RolloutService::LeadRollout(TimePoint aNow, const RolloutRecord& aRecord)
{
  const std::string& service = aRecord.m_order.m_service;
  const std::string& target = aRecord.m_order.m_target;
  auto leader = m_leaders.find(service);
  if (leader != m_leaders.end() && leader->second.Target() != target) {
    m_leaders.erase(leader);
    leader = m_leaders.end();
  }
  if (leader == m_leaders.end()) {
    leader =
      m_leaders
        .emplace(service, RolloutLeader{ aNow, target, m_deps.m_limits() })
        .first;
    m_deps.m_log.Info(kComponent,
                      "leads",
                      { { "service", service },
                        { "target", target },
                        { "age_ms", ToMilliseconds(aRecord.m_age) },
                        { "step", aRecord.m_step } });
    // The first leader writes the running state; an existing status is kept.
    if (aRecord.m_state == RolloutState::Running && !aRecord.m_isFromStore) {
      m_writer.QueueWrite({ service, target, RolloutState::Running }, aNow);
    }
  }
  const auto decision =
    leader->second.OnTick(aNow, aRecord, m_deps.m_workers(aRecord));
  if (!decision) {
    return;
  }
  if (decision->m_isStep) {
    LogStep(*decision);
  }
  ApplyChange(aNow,
              service,
              m_table.ApplyRecord(aNow, decision->m_record),
              Scope::AllDomains);
}

bool
RolloutService::Start(const RolloutOrder& aOrder)
{
  const TimePoint now = Clock::now();
  const Change change =
    m_table.OnOrder(now, aOrder, m_deps.m_mostCommonVersion(aOrder.m_service));
  ApplyChange(now, aOrder.m_service, change, Scope::AllDomains);
  return change == Change::State;
}

bool
RolloutService::Stop(const std::string& aService)
{
  const TimePoint now = Clock::now();
  auto record = m_table.Find(now, aService);
  if (!record || IsFinal(record->m_state)) {
    return false;
  }
  record->m_state = RolloutState::RolledBack;
  record->m_cause = RollbackCause::Operator;
  record->m_permit = {};
  ApplyChange(
    now, aService, m_table.ApplyRecord(now, *record), Scope::AllDomains);
  return true;
}

void
RolloutService::OnStoreRestored()
{
  m_hasRead = false;
  m_writer.OnStoreRestored();
  const TimePoint now = Clock::now();
  const bool isLeader = m_deps.m_isLeader();
  if (!isLeader && !m_deps.m_isBackupWriter()) {
    return;
  }
  for (const RolloutRecord& each : m_table.All(now)) {
    m_writer.QueueWrite(StatusOf(each),
                        isLeader ? now : now + kBackupWriteDelay);
  }
}

void
RolloutService::OnCounts(const WorkerCounts& aCounts)
{
  const auto leader = m_leaders.find(aCounts.m_service);
  if (leader != m_leaders.end()) {
    leader->second.OnCounts(aCounts);
  }
}

void
RolloutService::ReportCounts(TimePoint aNow)
{
  if (aNow < m_nextCounts) {
    return;
  }
  m_nextCounts = aNow + kCountsInterval;
  WorkerCounts counts = m_deps.m_workerCounts();
  const auto record = m_table.Find(aNow, counts.m_service);
  if (!record || IsFinal(record->m_state) || counts.m_version.empty()) {
    return;
  }
  if (m_countedTarget != record->m_order.m_target) {
    m_countedTarget = record->m_order.m_target;
    m_deps.m_resetWorkerCounts();
    return;
  }
  if (m_deps.m_isLeader()) {
    OnCounts(counts);
  } else {
    m_deps.m_sendCounts(std::move(counts));
  }
}

void
RolloutService::ApplyOrder(const StoreItem& aItem, bool aIsInProgress)
{
  const auto order = platform::ParseRolloutOrder(aItem.m_key, aItem.m_value);
  if (!order) {
    m_deps.m_log.Warning(
      kComponent,
      "order_not_read",
      { { "key", aItem.m_key }, { "detail", order.error().m_message } });
    return;
  }
  const TimePoint now = Clock::now();
  const std::string& service = order.value().m_service;
  const Change change = m_table.OnOrder(
    now, order.value(), m_deps.m_mostCommonVersion(service), aIsInProgress);
  ApplyChange(
    now, service, change, aIsInProgress ? Scope::OwnDomain : Scope::AllDomains);
}

void
RolloutService::OnStoreItems(const std::vector<StoreItem>& aItems)
{
  for (const StoreItem& each : aItems) {
    if (each.m_key.starts_with(platform::kRolloutOrders)) {
      ApplyOrder(each, false);
    }
  }
}

void
RolloutService::Read()
{
  m_isReading = true;
  m_deps.m_store.Execute(
    MakeList(std::string{ platform::kRolloutOrders }),
    [this](const StoreReply& aReply) { OnOrdersRead(aReply); });
}

void
RolloutService::OnOrdersRead(const StoreReply& aReply)
{
  const bool isOk = aReply.m_status == StoreReply::Status::Ok;
  if (!isOk || aReply.m_items.empty()) {
    m_isReading = false;
    m_hasRead = isOk;
    return;
  }
  m_deps.m_store.Execute(
    MakeList(std::string{ platform::kRolloutStatuses }),
    [this, orders = aReply.m_items](const StoreReply& aStatuses) {
      OnStatusesRead(orders, aStatuses);
    });
}

void
RolloutService::OnStatusesRead(std::vector<StoreItem> aOrders,
                               const StoreReply& aReply)
{
  m_isReading = false;
  if (aReply.m_status != StoreReply::Status::Ok) {
    return;
  }
  m_hasRead = true;
  std::vector<RolloutStatus> statuses;
  for (const StoreItem& each : aReply.m_items) {
    const auto status = platform::RolloutCodec::Parse(each.m_key, each.m_value);
    if (status) {
      statuses.push_back(status.value());
    } else {
      m_deps.m_log.Warning(
        kComponent,
        "status_not_read",
        { { "key", each.m_key }, { "detail", status.error().m_message } });
    }
  }
  for (const StoreItem& each : aOrders) {
    const auto order = platform::ParseRolloutOrder(each.m_key, each.m_value);
    const bool isInProgress =
      order && std::ranges::any_of(statuses, [&](const RolloutStatus& aStatus) {
        return aStatus.m_service == order.value().m_service &&
               aStatus.m_target == order.value().m_target;
      });
    ApplyOrder(each, isInProgress);
  }
  const TimePoint now = Clock::now();
  for (const RolloutStatus& each : statuses) {
    const Change change =
      m_table.OnStatus(now, each.m_service, each.m_target, each.m_state);
    ApplyChange(now, each.m_service, change, Scope::OwnDomain);
  }
}

void
RolloutService::Write(std::optional<StoreRequest> aRequest)
{
  if (!aRequest) {
    return;
  }
  m_deps.m_store.Execute(std::move(*aRequest),
                         [this](const StoreReply& aReply) {
                           auto step = m_writer.OnReply(Clock::now(), aReply);
                           if (step.m_written) {
                             OnWritten(*step.m_written);
                           }
                           Write(std::move(step.m_next));
                         });
}

void
RolloutService::OnWritten(const RolloutStatus& aStatus)
{
  const TimePoint now = Clock::now();
  m_deps.m_log.Info(kComponent,
                    "status_written",
                    { { "service", aStatus.m_service },
                      { "target", aStatus.m_target },
                      { "state", NameOf(aStatus.m_state) } });
  ApplyChange(
    now,
    aStatus.m_service,
    m_table.OnStatus(now, aStatus.m_service, aStatus.m_target, aStatus.m_state),
    Scope::AllDomains);
}

void
RolloutService::LogStep(const RolloutLeader::Decision& aDecision) const
{
  const RolloutRecord& record = aDecision.m_record;
  const CanaryAnalyzer::Judgement& judged = aDecision.m_judgement;
  m_deps.m_log.Warning(
    kComponent,
    "step",
    { { "service", record.m_order.m_service },
      { "target", record.m_order.m_target },
      { "state", NameOf(record.m_state) },
      { "cause", NameOf(record.m_cause) },
      { "permille", std::uint64_t{ record.m_permit.m_permille } },
      { "workers", std::uint64_t{ record.m_permit.m_workers } },
      { "age_ms", ToMilliseconds(record.m_age) },
      { "verdict", static_cast<std::int64_t>(judged.m_verdict) },
      { "route", judged.m_route },
      { "runs", judged.m_runs },
      { "harmed", judged.m_badRuns },
      { "harmed_expected", judged.m_expected },
      { "old_workers", std::uint64_t{ aDecision.m_inputs.m_oldWorkers } },
      { "new_workers", std::uint64_t{ aDecision.m_inputs.m_newWorkers } },
      { "calls_per_second", aDecision.m_inputs.m_callsPerSecond } });
}

void
RolloutService::LogChange(const RolloutRecord& aRecord, Scope aScope) const
{
  m_deps.m_log.Info(
    kComponent,
    "state",
    { { "service", aRecord.m_order.m_service },
      { "target", aRecord.m_order.m_target },
      { "base", aRecord.m_base },
      { "state", NameOf(aRecord.m_state) },
      { "cause", NameOf(aRecord.m_cause) },
      { "written", aRecord.m_isWritten },
      { "generation", aRecord.m_generation },
      { "age_ms", ToMilliseconds(aRecord.m_age) },
      { "decided", aScope == Scope::AllDomains ? "here" : "elsewhere" } });
}

}
