#include "greengagehub/daemon/quarantine_service.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr std::string_view kComponent = "quarantine";
/// Shortest time between two reads of an unreachable store.
constexpr auto kReadInterval = std::chrono::milliseconds{ 1000 };
/// Delay before verdicts of other daemons are written; the daemon beside the
/// crashed worker writes them first unless it has failed.
constexpr auto kBackupWriteDelay = std::chrono::milliseconds{ 1500 };

}

QuarantineService::QuarantineService(Dependencies aDependencies)
  : m_deps(std::move(aDependencies))
{
}

void
QuarantineService::Start()
{
  Read(true);
}

void
QuarantineService::OnTick(TimePoint aNow, bool aReadsStore)
{
  if (aReadsStore && !m_hasRead && !m_isReading && aNow >= m_nextRead) {
    m_nextRead = aNow + kReadInterval;
    Read(false);
  }
  ApplyChanges(aNow, m_quarantine.OnTick(aNow), Scope::OwnDomain);
  Write(m_writer.OnTick(aNow));
}

void
QuarantineService::OnLocalCrash(CrashReport aReport)
{
  const TimePoint now = Clock::now();
  ApplyChanges(
    now, m_quarantine.OnLocalCrash(now, std::move(aReport)), Scope::AllDomains);
}

void
QuarantineService::OnSuccess(Fingerprint aFingerprint)
{
  const TimePoint now = Clock::now();
  ApplyChanges(
    now, m_quarantine.OnSuccess(now, aFingerprint), Scope::AllDomains);
}

void
QuarantineService::OnUpdate(const QuarantineUpdate& aUpdate)
{
  const TimePoint now = Clock::now();
  ApplyChanges(now, m_quarantine.OnUpdate(now, aUpdate), Scope::OwnDomain);
}

void
QuarantineService::OnStoreRestored()
{
  if (!m_deps.m_isBackupWriter()) {
    return;
  }
  const TimePoint now = Clock::now();
  for (const QuarantineVerdict& each : m_quarantine.Verdicts(now)) {
    if (each.m_isQuarantined) {
      m_writer.QueueWrite(each, now, true);
    }
  }
  Write(m_writer.OnTick(now));
}

bool
QuarantineService::Lift(Fingerprint aFingerprint)
{
  const TimePoint now = Clock::now();
  const auto changes = m_quarantine.Lift(now, aFingerprint);
  if (changes) {
    ApplyChanges(now, *changes, Scope::AllDomains);
  }
  return changes.has_value();
}

void
QuarantineService::ApplyChanges(TimePoint aNow,
                                const QuarantineChanges& aChanges,
                                Scope aScope)
{
  for (const QuarantineVerdict& each : aChanges.m_verdicts) {
    LogVerdict(each, aScope);
    const bool isOwn = std::ranges::any_of(
      aChanges.m_ownVerdicts, [&](const QuarantineVerdict& aOwn) {
        return aOwn.m_fingerprint == each.m_fingerprint;
      });
    if (!each.m_isQuarantined) {
      // The daemon that lifts a verdict deletes its key; expired keys are
      // deleted by the store.
      if (aScope == Scope::AllDomains) {
        m_writer.Lift(each.m_fingerprint, aNow);
      }
    } else if (isOwn) {
      m_writer.QueueWrite(each, aNow, false);
    } else if (m_deps.m_isBackupWriter()) {
      m_writer.QueueWrite(each, aNow + kBackupWriteDelay, true);
    }
  }
  if (!aChanges.m_update.IsEmpty()) {
    m_deps.m_publish(aChanges.m_update, aScope);
  }
  if (!aChanges.m_verdicts.empty()) {
    Write(m_writer.OnTick(aNow));
  }
}

void
QuarantineService::LogVerdict(const QuarantineVerdict& aVerdict,
                              Scope aScope) const
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  m_deps.m_log.Warning(
    kComponent,
    aVerdict.m_isQuarantined ? "content_held" : "content_lifted",
    { { "content", ToHex(aVerdict.m_fingerprint) },
      { "cause", NameOf(aVerdict.m_cause) },
      { "service", aVerdict.m_service },
      { "ends", std::uint64_t{ aVerdict.m_crashCount } },
      { "generation", std::uint64_t{ aVerdict.m_generation } },
      { "age_ms", duration_cast<milliseconds>(aVerdict.m_age).count() },
      { "decided", aScope == Scope::AllDomains ? "here" : "elsewhere" } });
}

void
QuarantineService::Read(bool aAllowStale)
{
  m_isReading = true;
  const std::string prefix{ kVerdictPrefix };
  m_deps.m_store.Execute(aAllowStale ? MakeStaleList(prefix) : MakeList(prefix),
                         [this, aAllowStale](const StoreReply& aReply) {
                           OnRead(aReply, aAllowStale);
                         });
}

void
QuarantineService::OnRead(const StoreReply& aReply, bool aAllowStale)
{
  m_isReading = false;
  if (aReply.m_status != StoreReply::Status::Ok) {
    // Peers also send verdicts, and domain relays read again on a later tick.
    m_deps.m_log.Info(kComponent, "store_not_read", { { "old", aAllowStale } });
    return;
  }
  m_hasRead = m_hasRead || !aAllowStale;
  QuarantineUpdate update;
  for (const StoreItem& each : aReply.m_items) {
    const auto verdict = ParseVerdict(each.m_key, each.m_value);
    if (verdict) {
      update.m_verdicts.push_back(verdict.value());
    } else {
      m_deps.m_log.Warning(
        kComponent,
        "entry_not_read",
        { { "key", each.m_key }, { "detail", verdict.error().m_message } });
    }
  }
  OnUpdate(update);
}

void
QuarantineService::Write(std::optional<StoreRequest> aRequest)
{
  if (!aRequest) {
    return;
  }
  m_deps.m_store.Execute(std::move(*aRequest),
                         [this](const StoreReply& aReply) {
                           Write(m_writer.OnReply(Clock::now(), aReply));
                         });
}

}
