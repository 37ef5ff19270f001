#include "greengagehub/config/compaction_process.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

using Status = StoreReply::Status;

/// \returns Number of oldest decisions to archive to get below m_lowBytes.
std::size_t
CountToArchive(const DecisionLog& aLog, const CompactionLimits& aLimits)
{
  std::size_t bytes = LogToJson(aLog).size();
  if (bytes <= aLimits.m_highBytes) {
    return 0;
  }
  std::size_t count = 0;
  while (count < aLog.m_decisions.size() && bytes > aLimits.m_lowBytes) {
    const std::size_t entryBytes =
      DecisionToJson(aLog.m_decisions[count]).size();
    bytes -= std::min(bytes, entryBytes);
    ++count;
  }
  return count;
}

}

CompactionProcess::CompactionProcess(ActiveConfigPtr aActive,
                                     CompactionLimits aLimits)
  : m_active(std::move(aActive))
  , m_limits(aLimits)
{
}

CompactionProcess::Step
CompactionProcess::Start()
{
  return Request(State::ReadLog, MakeGet(std::string{ kLogKey }));
}

CompactionProcess::Step
CompactionProcess::Request(State aState, StoreRequest aRequest)
{
  m_state = aState;
  return aRequest;
}

CompactionProcess::Step
CompactionProcess::OnReply(const StoreReply& aReply)
{
  const bool failed = aReply.m_status == Status::Unavailable ||
                      aReply.m_status == Status::Unknown;
  if (failed) {
    return Result::Aborted;
  }
  const bool conflict = aReply.m_status == Status::Conflict;
  switch (m_state) {
    case State::ReadLog:
      return OnLog(aReply);
    case State::WriteSegment:
      if (conflict) {
        return Request(State::ReadSegment,
                       MakeGet(ArchiveKey(m_archived.front().m_sequence)));
      }
      return NextIndex();
    case State::ReadSegment:
      return OnSegmentRead(aReply);
    case State::ReadIndex:
      return OnIndexRead(aReply);
    case State::WriteIndex:
      if (!conflict) {
        ++m_indexedCount;
      }
      return NextIndex();
    case State::WritePart:
      ++m_nextPart;
      return NextPart();
    case State::WriteManifest:
      return SwapLog();
    case State::Swap:
      return conflict ? Step{ Result::Aborted } : DeleteStaleSnapshot();
    case State::DeleteManifest:
      return DeleteNextPart();
    case State::DeletePart:
      return aReply.m_status == Status::Ok ? DeleteNextPart()
                                           : Step{ Result::Compacted };
  }
  return Result::Aborted;
}

bool
CompactionProcess::CanSnapshot() const
{
  // The active content may become the snapshot only if its version is in the
  // log with the same chain digest.
  if (m_active->m_version == m_log.m_head) {
    return m_active->m_chain == m_log.m_chain;
  }
  for (const Decision& each : m_log.m_decisions) {
    if (each.m_accepted && each.m_entry.m_version == m_active->m_version) {
      return each.m_entry.m_chain == m_active->m_chain;
    }
  }
  return false;
}

CompactionProcess::Step
CompactionProcess::OnLog(const StoreReply& aReply)
{
  if (aReply.m_status != Status::Ok) {
    return Result::NothingToDo;
  }
  auto log = ParseLog(aReply.m_value);
  if (!log) {
    return Result::Aborted;
  }
  m_log = std::move(log.value());
  m_revision = aReply.m_revision;
  const std::size_t count = CountToArchive(m_log, m_limits);
  if (count == 0) {
    return Result::NothingToDo;
  }
  if (!CanSnapshot()) {
    return Result::Aborted;
  }
  const auto first = m_log.m_decisions.begin();
  m_archived.assign(first, first + static_cast<std::ptrdiff_t>(count));
  return Request(State::WriteSegment,
                 MakePut(ArchiveKey(m_archived.front().m_sequence),
                         Compress(DecisionsToJson(m_archived)),
                         0));
}

CompactionProcess::Step
CompactionProcess::OnSegmentRead(const StoreReply& aReply)
{
  // Another process wrote this segment, possibly with another length, and the
  // index may already refer to it.
  const auto text = Decompress(aReply.m_value, kMaxUnpackedBytes);
  if (!text) {
    return Result::Aborted;
  }
  auto decisions = ParseDecisions(text.value());
  const bool isValid = decisions && !decisions.value().empty() &&
                       decisions.value().size() <= m_log.m_decisions.size();
  if (!isValid) {
    return Result::Aborted;
  }
  m_archived = std::move(decisions.value());
  for (std::size_t i = 0; i < m_archived.size(); ++i) {
    if (m_archived[i] != m_log.m_decisions[i]) {
      return Result::Aborted;
    }
  }
  return NextIndex();
}

CompactionProcess::Step
CompactionProcess::NextIndex()
{
  if (m_indexedCount >= m_archived.size()) {
    return StartSnapshot();
  }
  return Request(State::ReadIndex,
                 MakeGet(IndexKey(m_archived[m_indexedCount].m_id)));
}

CompactionProcess::Step
CompactionProcess::OnIndexRead(const StoreReply& aReply)
{
  const Decision& decision = m_archived[m_indexedCount];
  const IndexLine line{ IndexDigest(decision.m_id),
                        m_archived.front().m_sequence };
  std::string bucket = AddToIndex(aReply.m_value, line);
  if (aReply.m_status == Status::Ok && bucket == aReply.m_value) {
    ++m_indexedCount;
    return NextIndex();
  }
  return Request(
    State::WriteIndex,
    MakePut(IndexKey(decision.m_id), std::move(bucket), aReply.m_revision));
}

CompactionProcess::Step
CompactionProcess::StartSnapshot()
{
  if (m_active->m_version <= m_log.m_snapshot) {
    return SwapLog();
  }
  m_snapshot = Compress(m_active->m_content.ToJson());
  m_partCount = (m_snapshot.size() + kMaxPartBytes - 1) / kMaxPartBytes;
  m_nextPart = 0;
  return NextPart();
}

CompactionProcess::Step
CompactionProcess::NextPart()
{
  const Version version = m_active->m_version;
  if (m_nextPart < m_partCount) {
    return Request(
      State::WritePart,
      MakePut(SnapshotPartKey(version, m_nextPart),
              m_snapshot.substr(m_nextPart * kMaxPartBytes, kMaxPartBytes),
              0));
  }
  const SnapshotManifest manifest{
    VersionEntry{
      version, {}, m_active->m_chain, m_active->m_content.GetDigest() },
    m_partCount
  };
  return Request(State::WriteManifest,
                 MakePut(SnapshotKey(version), ManifestToJson(manifest), 0));
}

CompactionProcess::Step
CompactionProcess::SwapLog()
{
  DecisionLog next = m_log;
  const auto first = next.m_decisions.begin();
  const auto count = static_cast<std::ptrdiff_t>(m_archived.size());
  next.m_decisions.erase(first, first + count);
  for (const Decision& each : m_archived) {
    if (each.m_accepted) {
      next.m_archivedVersion = each.m_entry.m_version;
    }
  }
  if (m_active->m_version > m_log.m_snapshot) {
    m_staleSnapshot = m_log.m_previousSnapshot;
    next.m_previousSnapshot = m_log.m_snapshot;
    next.m_snapshot = m_active->m_version;
  }
  if (next.m_snapshot < next.m_archivedVersion) {
    // Decisions after the snapshot would be archived, so the head could not be
    // rebuilt from the log.
    return Result::Aborted;
  }
  return Request(State::Swap,
                 MakePut(std::string{ kLogKey }, LogToJson(next), m_revision));
}

CompactionProcess::Step
CompactionProcess::DeleteStaleSnapshot()
{
  if (m_staleSnapshot == Version{}) {
    return Result::Compacted;
  }
  // The manifest goes first, so that no incomplete snapshot can be read.
  return Request(State::DeleteManifest,
                 MakeDelete(SnapshotKey(m_staleSnapshot)));
}

CompactionProcess::Step
CompactionProcess::DeleteNextPart()
{
  return Request(
    State::DeletePart,
    MakeDelete(SnapshotPartKey(m_staleSnapshot, m_deletedParts++)));
}

}
