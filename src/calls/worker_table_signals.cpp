#include "greengagehub/calls/worker_table.hpp"

#include <algorithm>

// Limits and departures that workers state.

namespace greengagehub {

namespace {

/// Longest back-off after a refusal by a worker's limit, so that its end is
/// noticed.
constexpr auto kMaxLimitBackoff = std::chrono::milliseconds{ 1000 };
/// With these, a third of the calls sent to a worker at its limit are refused.
constexpr int kBackoffFactor = 4;
constexpr int kBackoffDivisor = 2;

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
  // A late answer of a former incarnation must not exclude its successor.
  WorkerRow& row = m_rows.At(*known);
  const bool isOfCurrent = aIncarnation == 0 || row.m_incarnation == 0 ||
                           row.m_incarnation == aIncarnation;
  row.m_isUnavailable = row.m_isUnavailable || isOfCurrent;
}

void
WorkerTable::UpdateBackoff(WorkerRow& aRow,
                           TimePoint aNow,
                           const CallAnswer& aAnswer,
                           Random& aRandom)
{
  if (aAnswer.m_reason == RefusalReason::RateLimited) {
    aRow.m_limitBackoff = std::min(
      std::max(aRow.m_limitBackoff * kBackoffFactor, aAnswer.m_retryAfter),
      kMaxLimitBackoff);
    aRow.m_limitedUntil =
      aNow + aRow.m_limitBackoff / 2 + Jittered(aRandom, aRow.m_limitBackoff);
  } else if (aAnswer.m_outcome == CallOutcome::Answered) {
    const bool isLimited = aAnswer.m_statement.m_rateLimit.has_value();
    aRow.m_limitBackoff = isLimited ? aRow.m_limitBackoff / kBackoffDivisor
                                    : std::chrono::milliseconds{ 0 };
  }
}

void
WorkerTable::RecordStatement(TimePoint aNow,
                             const std::string& aSlot,
                             const CallAnswer& aAnswer,
                             Random& aRandom)
{
  m_signals.OnAnswer(aNow, aSlot, aAnswer);
  if (aAnswer.m_statement.m_isLeaving) {
    MarkLeaving(aNow, aSlot, aAnswer.m_statement.m_incarnation);
  }
  if (const auto known = Find(aSlot)) {
    UpdateBackoff(m_rows.At(*known), aNow, aAnswer, aRandom);
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
