#include "greengagehub/quarantine/crash_detector.hpp"

#include <utility>

namespace greengagehub {

bool
CrashDetector::OnLost(const Witness& aRun)
{
  m_lost.push_back(aRun);
  return !std::exchange(m_looking, true);
}

std::optional<WorkerEnd>
CrashDetector::OnLooked(bool aNobodyListens)
{
  m_looking = false;
  std::vector<Witness> lost = std::exchange(m_lost, {});
  if (!aNobodyListens) {
    m_ended = false;
    return std::nullopt;
  }
  if (!std::exchange(m_ended, true)) {
    ++m_number;
  }
  return WorkerEnd{ m_number, std::move(lost) };
}

}
