#include "greengagehub/quarantine/quarantine.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace greengagehub {

namespace {

std::uint64_t
DigestOf(const QuarantineVerdict& aVerdict)
{
  return ShortHash(fmt::format("{}/{}/{}",
                               ToHex(aVerdict.m_fingerprint),
                               aVerdict.m_generation,
                               aVerdict.m_isQuarantined));
}

/// \returns Whether crashes during the request's runs are attributed to it. An
/// expired quarantine does not clear the request.
bool
IsKnownCause(const QuarantineVerdict& aVerdict) noexcept
{
  return aVerdict.m_isQuarantined || aVerdict.m_cause == VerdictCause::Expired;
}

bool
Overrides(const QuarantineVerdict& aNew, const QuarantineVerdict& aOld) noexcept
{
  if (aNew.m_generation != aOld.m_generation) {
    return aNew.m_generation > aOld.m_generation;
  }
  return aOld.m_isQuarantined && !aNew.m_isQuarantined;
}

}

std::string_view
NameOf(VerdictCause aCause) noexcept
{
  switch (aCause) {
    case VerdictCause::Crashes:
      return "ends";
    case VerdictCause::Succeeded:
      return "ran-well";
    case VerdictCause::Operator:
      return "operator";
    case VerdictCause::Expired:
      break;
  }
  return "time";
}

std::optional<std::chrono::milliseconds>
Quarantine::QuarantineTimeLeft(TimePoint aNow, Fingerprint aFingerprint) const
{
  const auto found = m_records.find(aFingerprint);
  if (found == m_records.end() || !found->second.m_verdict.m_isQuarantined) {
    return std::nullopt;
  }
  const TimePoint until = found->second.m_givenAt + kQuarantineTime;
  if (aNow >= until) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(until - aNow);
}

bool
Quarantine::IsQuarantined(TimePoint aNow, Fingerprint aFingerprint) const
{
  return QuarantineTimeLeft(aNow, aFingerprint).has_value();
}

std::uint32_t
Quarantine::CrashCount(Fingerprint aFingerprint) const
{
  const auto found = m_interruptedRequests.find(aFingerprint);
  if (found == m_interruptedRequests.end()) {
    return 0;
  }
  return CountCrashes(found->second,
                      aFingerprint,
                      LastSuccess(found->second, aFingerprint))
    .m_count;
}

std::optional<TimePoint>
Quarantine::LastSuccess(const InterruptedRequest& aRequest,
                        Fingerprint aFingerprint) const
{
  return std::max(aRequest.m_lastSuccess, m_successes.Find(aFingerprint));
}

bool
Quarantine::HasKnownCause(std::uint64_t aCrash, Fingerprint aFingerprint) const
{
  const auto crash = m_crashes.find(aCrash);
  return crash != m_crashes.end() &&
         std::ranges::any_of(
           crash->second.m_fingerprints, [&](Fingerprint aOther) {
             const auto record = m_records.find(aOther);
             return aOther != aFingerprint && record != m_records.end() &&
                    IsKnownCause(record->second.m_verdict);
           });
}

Quarantine::CrashTally
Quarantine::CountCrashes(const InterruptedRequest& aRequest,
                         Fingerprint aFingerprint,
                         std::optional<TimePoint> aLastSuccess) const
{
  std::vector<LostRun> runs;
  for (const LostRun& each : aRequest.m_runs) {
    const bool cleared = aLastSuccess && each.m_ended <= *aLastSuccess;
    if (!cleared && !HasKnownCause(each.m_crashId, aFingerprint)) {
      runs.push_back(each);
    }
  }
  std::ranges::sort(runs, {}, &LostRun::m_ended);
  CrashTally tally;
  TimePoint lastCounted{};
  for (const LostRun& each : runs) {
    ++tally.m_all;
    const bool isSeparate = tally.m_count == 0 ||
                            each.m_ended - lastCounted > kSameCauseWindow ||
                            each.m_begun + kAgeTolerance >= lastCounted;
    if (isSeparate) {
      tally.m_firstAt = tally.m_count == 0 ? each.m_ended : tally.m_firstAt;
      ++tally.m_count;
      lastCounted = each.m_ended;
    }
  }
  return tally;
}

bool
Quarantine::HasLocalCrash(const InterruptedRequest& aRequest) const
{
  return std::ranges::any_of(aRequest.m_runs, [this](const LostRun& aRun) {
    const auto crash = m_crashes.find(aRun.m_crashId);
    return crash != m_crashes.end() && crash->second.m_isLocal;
  });
}

std::vector<Quarantine::KnownCrash>
Quarantine::KnownCrashes(TimePoint aNow, Fingerprint aFingerprint) const
{
  std::vector<KnownCrash> known;
  const auto request = m_interruptedRequests.find(aFingerprint);
  if (request == m_interruptedRequests.end()) {
    return known;
  }
  for (const LostRun& each : request->second.m_runs) {
    known.push_back({ m_crashes.at(each.m_crashId).m_slot,
                      aNow - each.m_ended,
                      each.m_ended - each.m_begun });
  }
  return known;
}

std::vector<QuarantineVerdict>
Quarantine::Verdicts(TimePoint aNow) const
{
  std::vector<QuarantineVerdict> all;
  all.reserve(m_records.size());
  for (const auto& [fingerprint, record] : m_records) {
    all.push_back(record.m_verdict);
    all.back().m_age = aNow - record.m_givenAt;
  }
  return all;
}

QuarantineChanges
Quarantine::OnLocalCrash(TimePoint aNow, CrashReport aReport)
{
  QuarantineChanges out;
  for (Witness& each : aReport.m_ran) {
    if (const auto lastSuccess = m_successes.Find(each.m_fingerprint)) {
      each.m_lastSuccess = aNow - aReport.m_age - *lastSuccess;
    }
  }
  if (AddCrash(aNow, aReport, true)) {
    EvaluateCrash(aNow, aReport, out);
    out.m_update.m_crashes.push_back(std::move(aReport));
  }
  return out;
}

bool
Quarantine::AddCrash(TimePoint aNow, const CrashReport& aReport, bool aIsLocal)
{
  if (aReport.m_age > kRetention) {
    return false;
  }
  const auto [found, isNew] = m_crashes.try_emplace(aReport.m_id);
  Crash& crash = found->second;
  if (isNew) {
    crash.m_slot = aReport.m_slot;
    crash.m_crashedAt = aNow - aReport.m_age;
    crash.m_isLocal = aIsLocal;
    m_crashOrder.push_back(aReport.m_id);
  }
  bool addsRuns = false;
  for (const Witness& each : aReport.m_ran) {
    if (std::ranges::find(crash.m_fingerprints, each.m_fingerprint) !=
        crash.m_fingerprints.end()) {
      continue;
    }
    addsRuns = true;
    crash.m_fingerprints.push_back(each.m_fingerprint);
    InterruptedRequest& request = m_interruptedRequests[each.m_fingerprint];
    request.m_runs.push_back(
      { aReport.m_id, crash.m_crashedAt - each.m_ran, crash.m_crashedAt });
    if (each.m_lastSuccess) {
      request.m_lastSuccess = std::max<std::optional<TimePoint>>(
        request.m_lastSuccess, crash.m_crashedAt - *each.m_lastSuccess);
    }
  }
  if (m_crashes.size() > kMaxCrashes) {
    DropOldestCrash();
  }
  return addsRuns;
}

void
Quarantine::EvaluateCrash(TimePoint aNow,
                          const CrashReport& aReport,
                          QuarantineChanges& aOut)
{
  for (const Witness& each : aReport.m_ran) {
    EvaluateFingerprint(aNow, aReport.m_service, each.m_fingerprint, aOut);
  }
}

void
Quarantine::EvaluateFingerprint(TimePoint aNow,
                                const std::string& aService,
                                Fingerprint aFingerprint,
                                QuarantineChanges& aOut)
{
  const auto found = m_interruptedRequests.find(aFingerprint);
  if (found == m_interruptedRequests.end() ||
      IsQuarantined(aNow, aFingerprint)) {
    return;
  }
  InterruptedRequest& request = found->second;
  PublishSuccess(aNow, request, aFingerprint, aOut);
  const auto lastSuccess = LastSuccess(request, aFingerprint);
  const CrashTally tally = CountCrashes(request, aFingerprint, lastSuccess);
  if (tally.m_count < (HadRecentSuccess(tally, lastSuccess)
                         ? kCrashLimitAfterSuccess
                         : kCrashLimit)) {
    return;
  }
  const auto record = m_records.find(aFingerprint);
  QuarantineVerdict verdict;
  verdict.m_fingerprint = aFingerprint;
  verdict.m_service = aService;
  verdict.m_generation =
    record == m_records.end() ? 1 : record->second.m_verdict.m_generation + 1;
  verdict.m_isQuarantined = true;
  verdict.m_crashCount = tally.m_count;
  SetVerdict(aNow, verdict, aOut);
  if (HasLocalCrash(request)) {
    aOut.m_ownVerdicts.push_back(std::move(verdict));
  }
}

void
Quarantine::DropOldestCrash()
{
  const std::uint64_t id = m_crashOrder.front();
  m_crashOrder.pop_front();
  for (const Fingerprint fingerprint : m_crashes.at(id).m_fingerprints) {
    const auto request = m_interruptedRequests.find(fingerprint);
    if (request == m_interruptedRequests.end()) {
      continue;
    }
    std::erase_if(request->second.m_runs,
                  [id](const LostRun& aRun) { return aRun.m_crashId == id; });
    if (request->second.m_runs.empty()) {
      m_interruptedRequests.erase(request);
    }
  }
  m_crashes.erase(id);
}

QuarantineChanges
Quarantine::OnSuccess(TimePoint aNow, Fingerprint aFingerprint)
{
  QuarantineChanges out;
  m_successes.Record(aNow, aFingerprint);
  if (const auto record = m_records.find(aFingerprint);
      record != m_records.end() && record->second.m_verdict.m_isQuarantined) {
    LiftVerdict(aNow, record->second.m_verdict, VerdictCause::Succeeded, out);
  } else if (const auto request = m_interruptedRequests.find(aFingerprint);
             request != m_interruptedRequests.end()) {
    PublishSuccess(aNow, request->second, aFingerprint, out);
  }
  return out;
}

void
Quarantine::PublishSuccess(TimePoint aNow,
                           InterruptedRequest& aRequest,
                           Fingerprint aFingerprint,
                           QuarantineChanges& aOut)
{
  const auto localSuccess = m_successes.Find(aFingerprint);
  if (!localSuccess || localSuccess <= aRequest.m_lastSuccess) {
    return;
  }
  // Most requests that were interrupted once succeed soon after; publishing
  // those successes would dominate the traffic.
  if (!ClearsCrashes(aRequest, aFingerprint, localSuccess)) {
    return;
  }
  aRequest.m_lastSuccess = localSuccess;
  QuarantineVerdict update;
  update.m_fingerprint = aFingerprint;
  update.m_cause = VerdictCause::Succeeded;
  update.m_age = aNow - *localSuccess;
  aOut.m_update.m_verdicts.push_back(std::move(update));
}

void
Quarantine::ApplySuccess(TimePoint aNow,
                         const QuarantineVerdict& aVerdict,
                         QuarantineChanges& aOut)
{
  const auto request = m_interruptedRequests.find(aVerdict.m_fingerprint);
  if (request == m_interruptedRequests.end()) {
    return;
  }
  std::optional<TimePoint>& lastSuccess = request->second.m_lastSuccess;
  const TimePoint at = aNow - aVerdict.m_age;
  const CrashTally before =
    CountCrashes(request->second, aVerdict.m_fingerprint, lastSuccess);
  const CrashTally after =
    CountCrashes(request->second, aVerdict.m_fingerprint, at);
  const bool isNew = !(lastSuccess >= at) && after.m_all < before.m_all;
  if (isNew) {
    lastSuccess = at;
    aOut.m_update.m_verdicts.push_back(aVerdict);
  }
}

QuarantineChanges
Quarantine::OnUpdate(TimePoint aNow, const QuarantineUpdate& aUpdate)
{
  QuarantineChanges out;
  // Verdicts first; otherwise this daemon would reach them again from the
  // crashes.
  for (const QuarantineVerdict& each : aUpdate.m_verdicts) {
    ApplyVerdict(aNow, each, out);
  }
  for (const CrashReport& each : aUpdate.m_crashes) {
    if (AddCrash(aNow, each, false)) {
      out.m_update.m_crashes.push_back(each);
      EvaluateCrash(aNow, each, out);
    }
  }
  return out;
}

void
Quarantine::ApplyVerdict(TimePoint aNow,
                         const QuarantineVerdict& aVerdict,
                         QuarantineChanges& aOut)
{
  if (aVerdict.m_generation == 0) {
    ApplySuccess(aNow, aVerdict, aOut);
    return;
  }
  const bool isExpired =
    aVerdict.m_age > kRetention ||
    (aVerdict.m_isQuarantined && aVerdict.m_age > kQuarantineTime);
  if (isExpired) {
    return;
  }
  const TimePoint at = aNow - aVerdict.m_age;
  const auto known = m_records.find(aVerdict.m_fingerprint);
  if (known == m_records.end() ||
      Overrides(aVerdict, known->second.m_verdict)) {
    SetVerdict(at, aVerdict, aOut);
  } else if (!Overrides(known->second.m_verdict, aVerdict)) {
    known->second.m_givenAt = std::min(known->second.m_givenAt, at);
  }
}

void
Quarantine::SetVerdict(TimePoint aAt,
                       const QuarantineVerdict& aVerdict,
                       QuarantineChanges& aOut)
{
  EraseRecord(aVerdict.m_fingerprint);
  if (m_records.size() >= kMaxVerdicts) {
    DropOldestRecord();
  }
  m_records.emplace(aVerdict.m_fingerprint, Record{ aVerdict, aAt });
  m_summary ^= DigestOf(aVerdict);
  m_quarantinedCount += aVerdict.m_isQuarantined ? 1 : 0;
  const auto request = m_interruptedRequests.find(aVerdict.m_fingerprint);
  const bool clearsCrashes =
    !aVerdict.m_isQuarantined && aVerdict.m_cause != VerdictCause::Expired;
  if (clearsCrashes && request != m_interruptedRequests.end()) {
    request->second.m_lastSuccess =
      std::max<std::optional<TimePoint>>(request->second.m_lastSuccess, aAt);
  }
  aOut.m_verdicts.push_back(aVerdict);
  aOut.m_update.m_verdicts.push_back(aVerdict);
}

void
Quarantine::LiftVerdict(TimePoint aNow,
                        QuarantineVerdict aVerdict,
                        VerdictCause aCause,
                        QuarantineChanges& aOut)
{
  aVerdict.m_isQuarantined = false;
  aVerdict.m_cause = aCause;
  aVerdict.m_age = Duration{};
  SetVerdict(aNow, aVerdict, aOut);
}

std::optional<QuarantineChanges>
Quarantine::Lift(TimePoint aNow, Fingerprint aFingerprint)
{
  const auto record = m_records.find(aFingerprint);
  if (record == m_records.end() || !record->second.m_verdict.m_isQuarantined) {
    return std::nullopt;
  }
  QuarantineChanges out;
  LiftVerdict(aNow, record->second.m_verdict, VerdictCause::Operator, out);
  return out;
}

QuarantineChanges
Quarantine::OnTick(TimePoint aNow)
{
  QuarantineChanges out;
  while (!m_crashOrder.empty() &&
         aNow - m_crashes.at(m_crashOrder.front()).m_crashedAt > kRetention) {
    DropOldestCrash();
  }
  std::vector<QuarantineVerdict> expired;
  std::vector<Fingerprint> forgotten;
  for (const auto& [fingerprint, record] : m_records) {
    const Duration age = aNow - record.m_givenAt;
    if (record.m_verdict.m_isQuarantined && age >= kQuarantineTime) {
      expired.push_back(record.m_verdict);
    } else if (age > kRetention) {
      forgotten.push_back(fingerprint);
    }
  }
  for (const QuarantineVerdict& each : expired) {
    LiftVerdict(aNow, each, VerdictCause::Expired, out);
  }
  for (const Fingerprint each : forgotten) {
    EraseRecord(each);
  }
  // Each daemon expires verdicts on its own.
  out.m_update = {};
  return out;
}

void
Quarantine::EraseRecord(Fingerprint aFingerprint)
{
  const auto found = m_records.find(aFingerprint);
  if (found == m_records.end()) {
    return;
  }
  m_summary ^= DigestOf(found->second.m_verdict);
  m_quarantinedCount -= found->second.m_verdict.m_isQuarantined ? 1 : 0;
  m_records.erase(found);
}

void
Quarantine::DropOldestRecord()
{
  // Lifted verdicts first, since quarantined ones protect workers.
  const auto oldest =
    std::ranges::min_element(m_records, {}, [](const auto& aEach) {
      return std::pair{ aEach.second.m_verdict.m_isQuarantined,
                        aEach.second.m_givenAt };
    });
  EraseRecord(oldest->first);
}

}
