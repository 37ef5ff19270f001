#include "greengagehub/calls/worker_signal_table.hpp"

namespace greengagehub {

namespace {

/// A worker that is leaving exits within seconds.
constexpr auto kEntryLife = std::chrono::minutes{ 10 };

}

WorkerSignalTable::Entry&
WorkerSignalTable::Update(TimePoint aNow, const std::string& aSlot)
{
  std::erase_if(m_entries, [aNow](const auto& aEach) {
    return aNow - aEach.second.m_updatedAt > kEntryLife;
  });
  Entry& entry = m_entries[aSlot];
  entry.m_updatedAt = aNow;
  return entry;
}

void
WorkerSignalTable::OnAnswer(TimePoint aNow,
                            const std::string& aSlot,
                            const CallAnswer& aAnswer)
{
  const WorkerStatement& statement = aAnswer.m_statement;
  if (statement.m_isLeaving) {
    MarkLeaving(aNow, aSlot, statement.m_incarnation);
  }
  if (statement.m_rateLimit) {
    WorkerStatement& known = Update(aNow, aSlot).m_statement;
    if (known.m_incarnation != statement.m_incarnation) {
      known = { statement.m_incarnation };
    }
    known.m_rateLimit = statement.m_rateLimit;
    return;
  }
  // A daemon that has no response of its worker yet states nothing either.
  const auto found = m_entries.find(aSlot);
  if (found == m_entries.end() || aAnswer.m_outcome != CallOutcome::Answered) {
    return;
  }
  found->second.m_statement.m_rateLimit.reset();
  if (found->second.m_statement.IsEmpty()) {
    m_entries.erase(found);
  }
}

void
WorkerSignalTable::MarkLeaving(TimePoint aNow,
                               const std::string& aSlot,
                               IncarnationTag aIncarnation)
{
  if (aIncarnation != 0) {
    Update(aNow, aSlot).m_statement = { aIncarnation, std::nullopt, true };
  }
}

bool
WorkerSignalTable::IsLeaving(std::string_view aSlot,
                             IncarnationTag aIncarnation) const
{
  const auto found = m_entries.find(aSlot);
  return found != m_entries.end() && found->second.m_statement.m_isLeaving &&
         (aIncarnation == 0 ||
          aIncarnation == found->second.m_statement.m_incarnation);
}

WorkerStatement
WorkerSignalTable::KnownLimit(std::string_view aSlot) const
{
  const auto found = m_entries.find(aSlot);
  if (found == m_entries.end() || !found->second.m_statement.m_rateLimit) {
    return {};
  }
  return { found->second.m_statement.m_incarnation,
           found->second.m_statement.m_rateLimit };
}

}
