#include "greengagehub/daemon/rollout_keeper.hpp"

#include "platform/names.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr std::string_view kComponent = "rollout";
/// Between two tries to read the store while it is away.
constexpr std::chrono::milliseconds kReadAgain{ 1000 };
/// Between two tellings of counts to who leads.
constexpr std::chrono::milliseconds kCountsEvery{ 300 };
/// A daemon that leads writes within a call's time; after this it is taken for
/// lost, or for cut off from the store.
constexpr std::chrono::milliseconds kWriteForOthersAfter{ 700 };

/// \returns What the store is to say of it.
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
Millis(Duration aSpan)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aSpan).count();
}

}

RolloutKeeper::RolloutKeeper(Parts aParts)
  : m_parts(std::move(aParts))
{
}

void
RolloutKeeper::OnTick(TimePoint aNow, bool aReads)
{
  if (aReads && !m_hasRead && !m_isReading && aNow >= m_nextRead) {
    m_nextRead = aNow + kReadAgain;
    Read();
  }
  if (m_table.IsEmpty()) {
    return;
  }
  TellCounts(aNow);
  Lead(aNow);
  Write(m_writer.OnTick(aNow));
}

void
RolloutKeeper::OnNews(const std::vector<RolloutRecord>& aRecords)
{
  const TimePoint now = Clock::now();
  for (const RolloutRecord& each : aRecords) {
    Carry(now, each.m_order.m_service, m_table.Take(now, each), Reach::Domain);
  }
}

void
RolloutKeeper::Carry(TimePoint aNow,
                     const std::string& aService,
                     Change aChange,
                     Reach aReach)
{
  if (aChange == Change::None) {
    return;
  }
  const RolloutRecord record = *m_table.Find(aNow, aService);
  if (aChange == Change::State) {
    LogChange(record, aReach);
    WantStatus(aNow, record, aReach);
  }
  m_parts.m_spread({ record }, aReach, aChange);
}

void
RolloutKeeper::WantStatus(TimePoint aNow,
                          const RolloutRecord& aRecord,
                          Reach aReach)
{
  const std::string& service = aRecord.m_order.m_service;
  if (aRecord.m_isWritten) {
    m_writer.Drop(service);
    return;
  }
  const bool isOwn = aReach == Reach::All && m_parts.m_leads();
  const bool writes = isOwn || (aRecord.m_state != RolloutState::Running &&
                                m_parts.m_writesForOthers());
  if (!writes || aRecord.m_isResumed) {
    return;
  }
  m_writer.Want(StatusOf(aRecord), isOwn ? aNow : aNow + kWriteForOthersAfter);
}

// ---------------------------------------------------------------------------
// Leading

void
RolloutKeeper::Lead(TimePoint aNow)
{
  const std::vector<RolloutRecord> all = m_table.All(aNow);
  const bool isOpen = std::ranges::any_of(
    all, [](const RolloutRecord& aRecord) { return !aRecord.m_isWritten; });
  if (!isOpen || !m_parts.m_leads()) {
    m_holders.clear();
    return;
  }
  for (const RolloutRecord& each : all) {
    if (!IsFinal(each.m_state)) {
      LeadOne(aNow, each);
    }
  }
}

void
RolloutKeeper::LeadOne(TimePoint aNow, const RolloutRecord& aRecord)
{
  const std::string& service = aRecord.m_order.m_service;
  const std::string& target = aRecord.m_order.m_target;
  auto holder = m_holders.find(service);
  if (holder != m_holders.end() && holder->second.Target() != target) {
    m_holders.erase(holder);
    holder = m_holders.end();
  }
  if (holder == m_holders.end()) {
    holder =
      m_holders
        .emplace(service, RolloutHolder{ aNow, target, m_parts.m_limits() })
        .first;
    m_parts.m_log.Info(kComponent,
                       "leads",
                       { { "service", service },
                         { "target", target },
                         { "age_ms", Millis(aRecord.m_age) },
                         { "step", aRecord.m_step } });
    // The first to lead says so; what stands there already is kept.
    if (aRecord.m_state == RolloutState::Running && !aRecord.m_isResumed) {
      m_writer.Want({ service, target, RolloutState::Running }, aNow);
    }
  }
  const auto lead =
    holder->second.OnTick(aNow, aRecord, m_parts.m_workers(aRecord));
  if (!lead) {
    return;
  }
  if (lead->m_isStep) {
    LogLead(*lead);
  }
  Carry(aNow, service, m_table.Take(aNow, lead->m_record), Reach::All);
}

bool
RolloutKeeper::Start(const RolloutOrder& aOrder)
{
  const TimePoint now = Clock::now();
  const Change change =
    m_table.OnOrder(now, aOrder, m_parts.m_mainVersion(aOrder.m_service));
  Carry(now, aOrder.m_service, change, Reach::All);
  return change == Change::State;
}

bool
RolloutKeeper::Stop(const std::string& aService)
{
  const TimePoint now = Clock::now();
  auto record = m_table.Find(now, aService);
  if (!record || IsFinal(record->m_state)) {
    return false;
  }
  record->m_state = RolloutState::RolledBack;
  record->m_cause = RollbackCause::Operator;
  record->m_leave = {};
  Carry(now, aService, m_table.Take(now, *record), Reach::All);
  return true;
}

void
RolloutKeeper::OnStoreRestored()
{
  m_hasRead = false;
  m_writer.OnStoreRestored();
  const TimePoint now = Clock::now();
  const bool leads = m_parts.m_leads();
  if (!leads && !m_parts.m_writesForOthers()) {
    return;
  }
  for (const RolloutRecord& each : m_table.All(now)) {
    m_writer.Want(StatusOf(each), leads ? now : now + kWriteForOthersAfter);
  }
}

void
RolloutKeeper::OnCounts(const WorkerCounts& aCounts)
{
  const auto holder = m_holders.find(aCounts.m_service);
  if (holder != m_holders.end()) {
    holder->second.OnCounts(aCounts);
  }
}

void
RolloutKeeper::TellCounts(TimePoint aNow)
{
  if (aNow < m_nextCounts) {
    return;
  }
  m_nextCounts = aNow + kCountsEvery;
  WorkerCounts counts = m_parts.m_ownCounts();
  const auto record = m_table.Find(aNow, counts.m_service);
  if (!record || IsFinal(record->m_state) || counts.m_version.empty()) {
    return;
  }
  if (m_countedFor != record->m_order.m_target) {
    m_countedFor = record->m_order.m_target;
    m_parts.m_countAnew();
    return;
  }
  if (m_parts.m_leads()) {
    OnCounts(counts);
  } else {
    m_parts.m_tell(std::move(counts));
  }
}

// ---------------------------------------------------------------------------
// Store

void
RolloutKeeper::TakeOrder(const StoreItem& aItem, bool aIsUnderWay)
{
  const auto order = platform::ParseRolloutOrder(aItem.m_key, aItem.m_value);
  if (!order) {
    m_parts.m_log.Warning(
      kComponent,
      "order_not_read",
      { { "key", aItem.m_key }, { "detail", order.error().m_message } });
    return;
  }
  const TimePoint now = Clock::now();
  const std::string& service = order.value().m_service;
  const Change change = m_table.OnOrder(
    now, order.value(), m_parts.m_mainVersion(service), aIsUnderWay);
  Carry(now, service, change, aIsUnderWay ? Reach::Domain : Reach::All);
}

void
RolloutKeeper::OnStoreItems(const std::vector<StoreItem>& aItems)
{
  for (const StoreItem& each : aItems) {
    if (each.m_key.starts_with(platform::kRolloutOrders)) {
      TakeOrder(each, false);
    }
  }
}

void
RolloutKeeper::Read()
{
  m_isReading = true;
  m_parts.m_store.Carry(
    MakeList(std::string{ platform::kRolloutOrders }),
    [this](const StoreReply& aReply) { OnOrdersRead(aReply); });
}

void
RolloutKeeper::OnOrdersRead(const StoreReply& aReply)
{
  const bool ok = aReply.m_status == StoreReply::Status::Ok;
  if (!ok || aReply.m_items.empty()) {
    m_isReading = false;
    m_hasRead = ok;
    return;
  }
  m_parts.m_store.Carry(
    MakeList(std::string{ platform::kRolloutStatuses }),
    [this, orders = aReply.m_items](const StoreReply& aStatuses) {
      OnStatusesRead(orders, aStatuses);
    });
}

void
RolloutKeeper::OnStatusesRead(std::vector<StoreItem> aOrders,
                              const StoreReply& aReply)
{
  m_isReading = false;
  if (aReply.m_status != StoreReply::Status::Ok) {
    return;
  }
  m_hasRead = true;
  std::vector<RolloutStatus> statuses;
  for (const StoreItem& each : aReply.m_items) {
    const auto status = platform::RolloutForm::Parse(each.m_key, each.m_value);
    if (status) {
      statuses.push_back(status.value());
    } else {
      m_parts.m_log.Warning(
        kComponent,
        "status_not_read",
        { { "key", each.m_key }, { "detail", status.error().m_message } });
    }
  }
  for (const StoreItem& each : aOrders) {
    const auto order = platform::ParseRolloutOrder(each.m_key, each.m_value);
    const bool isUnderWay =
      order && std::ranges::any_of(statuses, [&](const RolloutStatus& aStatus) {
        return aStatus.m_service == order.value().m_service &&
               aStatus.m_target == order.value().m_target;
      });
    TakeOrder(each, isUnderWay);
  }
  const TimePoint now = Clock::now();
  for (const RolloutStatus& each : statuses) {
    const Change change =
      m_table.OnStatus(now, each.m_service, each.m_target, each.m_state);
    Carry(now, each.m_service, change, Reach::Domain);
  }
}

void
RolloutKeeper::Write(std::optional<StoreRequest> aRequest)
{
  if (!aRequest) {
    return;
  }
  m_parts.m_store.Carry(std::move(*aRequest), [this](const StoreReply& aReply) {
    auto step = m_writer.OnReply(Clock::now(), aReply);
    if (step.m_written) {
      OnWritten(*step.m_written);
    }
    Write(std::move(step.m_next));
  });
}

void
RolloutKeeper::OnWritten(const RolloutStatus& aStatus)
{
  const TimePoint now = Clock::now();
  m_parts.m_log.Info(kComponent,
                     "status_written",
                     { { "service", aStatus.m_service },
                       { "target", aStatus.m_target },
                       { "state", NameOf(aStatus.m_state) } });
  Carry(
    now,
    aStatus.m_service,
    m_table.OnStatus(now, aStatus.m_service, aStatus.m_target, aStatus.m_state),
    Reach::All);
}

// ---------------------------------------------------------------------------
// Log

void
RolloutKeeper::LogLead(const RolloutHolder::Lead& aLead) const
{
  const RolloutRecord& record = aLead.m_record;
  const VersionJudge::Judgement& judged = aLead.m_judgement;
  m_parts.m_log.Warning(
    kComponent,
    "step",
    { { "service", record.m_order.m_service },
      { "target", record.m_order.m_target },
      { "state", NameOf(record.m_state) },
      { "cause", NameOf(record.m_cause) },
      { "permille", std::uint64_t{ record.m_leave.m_permille } },
      { "workers", std::uint64_t{ record.m_leave.m_workers } },
      { "age_ms", Millis(record.m_age) },
      { "verdict", static_cast<std::int64_t>(judged.m_verdict) },
      { "route", judged.m_route },
      { "runs", judged.m_runs },
      { "harmed", judged.m_hits },
      { "harmed_expected", judged.m_expected },
      { "old_workers", std::uint64_t{ aLead.m_view.m_oldWorkers } },
      { "new_workers", std::uint64_t{ aLead.m_view.m_newWorkers } },
      { "calls_per_second", aLead.m_view.m_callsPerSecond } });
}

void
RolloutKeeper::LogChange(const RolloutRecord& aRecord, Reach aReach) const
{
  m_parts.m_log.Info(
    kComponent,
    "state",
    { { "service", aRecord.m_order.m_service },
      { "target", aRecord.m_order.m_target },
      { "base", aRecord.m_base },
      { "state", NameOf(aRecord.m_state) },
      { "cause", NameOf(aRecord.m_cause) },
      { "written", aRecord.m_isWritten },
      { "generation", aRecord.m_generation },
      { "age_ms", Millis(aRecord.m_age) },
      { "decided", aReach == Reach::All ? "here" : "elsewhere" } });
}

}
