#include "greengagehub/calls/worker_table.hpp"

#include <algorithm>

// Limits and departures that workers state.

namespace greengagehub {

namespace {

/// Longest time without a call after a refusal by a worker's limit, so that its
/// end is noticed.
constexpr auto kMaxLimitedTime = std::chrono::milliseconds{ 500 };

}

void
WorkerTable::MarkLeaving(TimePoint aNow,
                         const std::string& aSlot,
                         IncarnationTag aIncarnation)
{
  m_signals.MarkLeaving(aNow, aSlot, aIncarnation);
  const auto known = Find(aSlot);
  if (!known) {
    return;
  }
  WorkerRow& row = m_rows.At(*known);
  if (aIncarnation != 0) {
    UpdateIncarnation(row, aIncarnation);
  }
  row.m_isUnavailable = true;
}

void
WorkerTable::RecordStatement(TimePoint aNow,
                             const std::string& aSlot,
                             const CallAnswer& aAnswer)
{
  m_signals.OnAnswer(aNow, aSlot, aAnswer);
  if (aAnswer.m_statement.m_isLeaving) {
    MarkLeaving(aNow, aSlot, aAnswer.m_statement.m_incarnation);
  }
  const auto known = Find(aSlot);
  if (known && aAnswer.m_reason == RefusalReason::RateLimited) {
    m_rows.At(*known).m_limitedUntil =
      aNow + std::min(aAnswer.m_retryAfter, kMaxLimitedTime);
  }
}

std::optional<std::chrono::milliseconds>
WorkerTable::TimeUntilRoom(TimePoint aNow, const std::string& aService) const
{
  std::optional<TimePoint> first;
  const auto group = m_byService.find(aService);
  if (group == m_byService.end()) {
    return std::nullopt;
  }
  for (const Index index : group->second) {
    const WorkerRow& row = m_rows.At(index);
    if (!row.m_isUnavailable && row.m_limitedUntil > aNow) {
      first = std::min(first.value_or(TimePoint::max()), row.m_limitedUntil);
    }
  }
  return first ? std::optional{ std::chrono::ceil<std::chrono::milliseconds>(
                   *first - aNow) }
               : std::nullopt;
}

}
