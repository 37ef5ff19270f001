#include "greengagehub/quarantine/quarantine_update.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

/// Keep a datagram below 1,200 bytes, at about 30 bytes per run, 50 per verdict
/// and 200 for the sender.
constexpr std::size_t kMaxRunsPerPart = 30;
constexpr std::size_t kMaxVerdictsPerPart = 18;

void
AppendCrash(std::vector<QuarantineUpdate>& aParts, const CrashReport& aReport)
{
  for (std::size_t i = 0; i < aReport.m_ran.size(); i += kMaxRunsPerPart) {
    const std::size_t end = std::min(i + kMaxRunsPerPart, aReport.m_ran.size());
    CrashReport part{
      aReport.m_id, aReport.m_slot, aReport.m_service, aReport.m_age, {}
    };
    const auto first = aReport.m_ran.begin();
    part.m_ran.assign(first + static_cast<std::ptrdiff_t>(i),
                      first + static_cast<std::ptrdiff_t>(end));
    aParts.push_back({ { std::move(part) }, {} });
  }
}

}

std::vector<QuarantineUpdate>
SplitIntoDatagrams(const QuarantineUpdate& aUpdate)
{
  std::vector<QuarantineUpdate> parts;
  // Verdicts first, so that receivers need not reach them from the crashes.
  for (std::size_t i = 0; i < aUpdate.m_verdicts.size();
       i += kMaxVerdictsPerPart) {
    const std::size_t end =
      std::min(i + kMaxVerdictsPerPart, aUpdate.m_verdicts.size());
    const auto first = aUpdate.m_verdicts.begin();
    parts.push_back({ {},
                      { first + static_cast<std::ptrdiff_t>(i),
                        first + static_cast<std::ptrdiff_t>(end) } });
  }
  for (const CrashReport& each : aUpdate.m_crashes) {
    AppendCrash(parts, each);
  }
  return parts;
}

}
