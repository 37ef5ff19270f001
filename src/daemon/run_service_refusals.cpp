#include "greengagehub/daemon/run_service.hpp"

#include <algorithm>

// Runs that are refused before they start.

namespace greengagehub {

namespace {

/// Retry time of a suspect request while another one runs; long enough for that
/// run to crash the worker or succeed.
constexpr auto kSuspectRetryAfter = std::chrono::milliseconds{ 100 };

}

std::optional<RunService::Refusal>
RunService::CheckRefusal(TimePoint aNow, Fingerprint aFingerprint) const
{
  if (!m_deps.m_rollouts.MayRun(aNow, m_deps.m_settings.m_service, m_version)) {
    return Refusal{ RefusalReason::NotInService, {} };
  }
  const Quarantine& quarantine = m_deps.m_quarantine;
  if (const auto timeLeft = quarantine.QuarantineTimeLeft(aNow, aFingerprint)) {
    return Refusal{ RefusalReason::Quarantined, *timeLeft };
  }
  const bool runsBesideSuspect =
    quarantine.IsSuspect(aFingerprint) &&
    std::ranges::any_of(m_activeRuns, [&](const auto& aEach) {
      const ActiveRun& run = aEach.second;
      return run.m_ticket != 0 && quarantine.IsSuspect(run.m_fingerprint);
    });
  if (runsBesideSuspect) {
    // RefusalReason::Quarantined prevents a retry at another worker, where
    // another suspect request may run.
    return Refusal{ RefusalReason::Quarantined, kSuspectRetryAfter };
  }
  return std::nullopt;
}

void
RunService::RefuseRun(TimePoint aNow,
                      CallKey aKey,
                      const CallRequest& aRequest,
                      Fingerprint aFingerprint,
                      const Refusal& aRefusal)
{
  if (aRefusal.m_reason == RefusalReason::Quarantined) {
    m_deps.m_requestLog.OnQuarantined(
      aNow, RequestIdOf(aRequest), aFingerprint, aRefusal.m_retryAfter);
  }
  m_deps.m_requestLog.OnRunRefused(aNow,
                                   RequestIdOf(aRequest),
                                   aRefusal.m_reason,
                                   aRequest.m_timeLeft,
                                   WorkerStateFor(aRequest));
  m_deps.m_metrics.CountRun(NameOf(aRefusal.m_reason));
  Deliver(aKey,
          aRequest,
          Refuse(aKey.m_call,
                 CallOutcome::NotRun,
                 aRefusal.m_reason,
                 aRefusal.m_retryAfter));
}

}
