#include "greengagehub/config/pack_process.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

using Status = StoreReply::Status;

/// How many of the oldest decisions have to go so that the rest is small.
std::size_t
CountToPack(const DecisionLog& aLog, const PackLimits& aLimits)
{
  std::size_t bytes = LogToJson(aLog).size();
  if (bytes <= aLimits.m_highBytes) {
    return 0;
  }
  std::size_t count = 0;
  while (count < aLog.m_decisions.size() && bytes > aLimits.m_lowBytes) {
    const std::size_t own = DecisionToJson(aLog.m_decisions[count]).size();
    bytes -= std::min(bytes, own);
    ++count;
  }
  return count;
}

}

PackProcess::PackProcess(ActiveConfigPtr aActive, PackLimits aLimits)
  : m_active(std::move(aActive))
  , m_limits(aLimits)
{
}

PackProcess::Step
PackProcess::Start()
{
  return Ask(State::ReadLog, MakeGet(std::string{ kLogKey }));
}

PackProcess::Step
PackProcess::Ask(State aState, StoreRequest aRequest)
{
  m_state = aState;
  return aRequest;
}

PackProcess::Step
PackProcess::On(const StoreReply& aReply)
{
  const bool lost = aReply.m_status == Status::Unavailable ||
                    aReply.m_status == Status::Unknown;
  if (lost) {
    return Result::GaveUp;
  }
  const bool conflict = aReply.m_status == Status::Conflict;
  switch (m_state) {
    case State::ReadLog:
      return OnLog(aReply);
    case State::WriteSegment:
      if (conflict) {
        return Ask(State::ReadSegment,
                   MakeGet(ArchiveKey(m_packed.front().m_sequence)));
      }
      return NextIndex();
    case State::ReadSegment:
      return OnSegmentRead(aReply);
    case State::ReadIndex:
      return OnIndexRead(aReply);
    case State::WriteIndex:
      if (!conflict) {
        ++m_indexed;
      }
      return NextIndex();
    case State::WritePart:
      ++m_part;
      return NextPart();
    case State::WriteManifest:
      return SwapLog();
    case State::Swap:
      return conflict ? Step{ Result::GaveUp } : DropOldSnapshot();
    case State::DropManifest:
      return DropNextPart();
    case State::DropPart:
      return aReply.m_status == Status::Ok ? DropNextPart()
                                           : Step{ Result::Packed };
  }
  return Result::GaveUp;
}

bool
PackProcess::CanSnapshot() const
{
  // The snapshot is taken from what this proxy runs: that must be a version
  // of the log's own history, at or past the last one that is to leave.
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

PackProcess::Step
PackProcess::OnLog(const StoreReply& aReply)
{
  if (aReply.m_status != Status::Ok) {
    return Result::NothingToDo;
  }
  auto log = ParseLog(aReply.m_value);
  if (!log) {
    return Result::GaveUp;
  }
  m_log = std::move(log.value());
  m_revision = aReply.m_revision;
  const std::size_t count = CountToPack(m_log, m_limits);
  if (count == 0) {
    return Result::NothingToDo;
  }
  if (!CanSnapshot()) {
    return Result::GaveUp;
  }
  const auto first = m_log.m_decisions.begin();
  m_packed.assign(first, first + static_cast<std::ptrdiff_t>(count));
  return Ask(State::WriteSegment,
             MakePut(ArchiveKey(m_packed.front().m_sequence),
                     Compress(DecisionsToJson(m_packed)),
                     0));
}

PackProcess::Step
PackProcess::OnSegmentRead(const StoreReply& aReply)
{
  // Another packer wrote this segment, perhaps with another end: use its end,
  // since the index may already say so.
  const auto text = Decompress(aReply.m_value, kMaxUnpackedBytes);
  if (!text) {
    return Result::GaveUp;
  }
  auto decisions = ParseDecisions(text.value());
  const bool fits = decisions && !decisions.value().empty() &&
                    decisions.value().size() <= m_log.m_decisions.size();
  if (!fits) {
    return Result::GaveUp;
  }
  m_packed = std::move(decisions.value());
  for (std::size_t i = 0; i < m_packed.size(); ++i) {
    if (m_packed[i] != m_log.m_decisions[i]) {
      return Result::GaveUp;
    }
  }
  return NextIndex();
}

PackProcess::Step
PackProcess::NextIndex()
{
  if (m_indexed >= m_packed.size()) {
    return StartSnapshot();
  }
  return Ask(State::ReadIndex, MakeGet(IndexKey(m_packed[m_indexed].m_id)));
}

PackProcess::Step
PackProcess::OnIndexRead(const StoreReply& aReply)
{
  const Decision& decision = m_packed[m_indexed];
  const IndexLine line{ IndexDigest(decision.m_id),
                        m_packed.front().m_sequence };
  std::string bucket = AddToIndex(aReply.m_value, line);
  if (aReply.m_status == Status::Ok && bucket == aReply.m_value) {
    ++m_indexed;
    return NextIndex();
  }
  return Ask(
    State::WriteIndex,
    MakePut(IndexKey(decision.m_id), std::move(bucket), aReply.m_revision));
}

PackProcess::Step
PackProcess::StartSnapshot()
{
  if (m_active->m_version <= m_log.m_snapshot) {
    return SwapLog();
  }
  m_snapshot = Compress(m_active->m_content.ToJson());
  m_parts = (m_snapshot.size() + kMaxPartBytes - 1) / kMaxPartBytes;
  m_part = 0;
  return NextPart();
}

PackProcess::Step
PackProcess::NextPart()
{
  const Version version = m_active->m_version;
  if (m_part < m_parts) {
    return Ask(State::WritePart,
               MakePut(SnapshotPartKey(version, m_part),
                       m_snapshot.substr(m_part * kMaxPartBytes, kMaxPartBytes),
                       0));
  }
  const SnapshotManifest manifest{
    VersionEntry{
      version, {}, m_active->m_chain, m_active->m_content.GetDigest() },
    m_parts
  };
  return Ask(State::WriteManifest,
             MakePut(SnapshotKey(version), ManifestToJson(manifest), 0));
}

PackProcess::Step
PackProcess::SwapLog()
{
  DecisionLog next = m_log;
  const auto first = next.m_decisions.begin();
  const auto count = static_cast<std::ptrdiff_t>(m_packed.size());
  next.m_decisions.erase(first, first + count);
  for (const Decision& each : m_packed) {
    if (each.m_accepted) {
      next.m_oldest = each.m_entry.m_version;
    }
  }
  if (m_active->m_version > m_log.m_snapshot) {
    m_toDrop = m_log.m_priorSnapshot;
    next.m_priorSnapshot = m_log.m_snapshot;
    next.m_snapshot = m_active->m_version;
  }
  if (next.m_snapshot < next.m_oldest) {
    // This proxy lags behind what would leave: the log would no longer lead
    // from its snapshot to its head.
    return Result::GaveUp;
  }
  return Ask(State::Swap,
             MakePut(std::string{ kLogKey }, LogToJson(next), m_revision));
}

PackProcess::Step
PackProcess::DropOldSnapshot()
{
  if (m_toDrop == Version{}) {
    return Result::Packed;
  }
  // The manifest goes first: without it nobody starts to read the parts, and
  // a packer that dies half-way leaves garbage, never a damaged snapshot.
  return Ask(State::DropManifest, MakeDelete(SnapshotKey(m_toDrop)));
}

PackProcess::Step
PackProcess::DropNextPart()
{
  return Ask(State::DropPart,
             MakeDelete(SnapshotPartKey(m_toDrop, m_dropped++)));
}

}
