#include "greengagehub/quarantine/quarantine.hpp"

// Requests that are suspected of crashes.

namespace greengagehub {

bool
Quarantine::HadRecentSuccess(const CrashTally& aTally,
                             std::optional<TimePoint> aLastSuccess)
{
  return aLastSuccess && aTally.m_firstAt - *aLastSuccess <= kRecentSuccess;
}

bool
Quarantine::IsSuspect(const CrashTally& aTally,
                      std::optional<TimePoint> aLastSuccess) const
{
  return aTally.m_count >= kSuspectCrashes ||
         (aTally.m_all >= kSuspectCrashes &&
          !HadRecentSuccess(aTally, aLastSuccess));
}

bool
Quarantine::IsSuspect(Fingerprint aFingerprint) const
{
  const auto found = m_interruptedRequests.find(aFingerprint);
  if (found == m_interruptedRequests.end()) {
    return false;
  }
  const auto lastSuccess = LastSuccess(found->second, aFingerprint);
  return IsSuspect(CountCrashes(found->second, aFingerprint, lastSuccess),
                   lastSuccess);
}

bool
Quarantine::ClearsCrashes(const InterruptedRequest& aRequest,
                          Fingerprint aFingerprint,
                          std::optional<TimePoint> aSuccess) const
{
  const CrashTally before =
    CountCrashes(aRequest, aFingerprint, aRequest.m_lastSuccess);
  return IsSuspect(before, aRequest.m_lastSuccess) &&
         CountCrashes(aRequest, aFingerprint, aSuccess).m_all < before.m_all;
}

}
