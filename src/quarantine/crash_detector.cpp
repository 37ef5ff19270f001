#include "greengagehub/quarantine/crash_detector.hpp"

#include <utility>

namespace greengagehub {

bool
CrashDetector::OnConnectionLost(const Witness& aRun, TimePoint aConnectedAt)
{
  if (aConnectedAt > m_crashedAt) {
    m_hasCrashed = false;
  }
  m_lostRuns.push_back(aRun);
  return !std::exchange(m_isProbing, true);
}

std::optional<WorkerCrash>
CrashDetector::OnProbed(TimePoint aNow, bool aIsRefused)
{
  m_isProbing = false;
  std::vector<Witness> lost = std::exchange(m_lostRuns, {});
  if (!aIsRefused) {
    m_hasCrashed = false;
    return std::nullopt;
  }
  if (!std::exchange(m_hasCrashed, true)) {
    ++m_number;
    m_crashedAt = aNow;
  }
  return WorkerCrash{ m_number, std::move(lost) };
}

}
