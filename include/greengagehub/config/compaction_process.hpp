#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/core/compression.hpp"
#include "greengagehub/core/store_message.hpp"

#include <variant>

namespace greengagehub {

/// \brief Log size at which compaction starts, and the size after it. Watchers
/// read the whole log on every change: at 0.22 changes a second, 24 KiB cost
/// each of them about 5 KB/s.
struct CompactionLimits
{
  std::size_t m_highBytes{ 24UL * 1024 };
  std::size_t m_lowBytes{ 8UL * 1024 };
};

/// \brief Moves old decisions from the log to the archive.
///
/// Writes the segment, the index, the snapshot and last the log. Each step is
/// idempotent and may race with another process: segments and snapshots are
/// immutable, index lines form a set, and the log is swapped at its revision.
class CompactionProcess
{
public:
  enum class Result : std::uint8_t
  {
    NothingToDo,
    Compacted,
    /// Conflict or store failure; retry later.
    Aborted,
  };
  using Step = std::variant<StoreRequest, Result>;

  CompactionProcess(ActiveConfigPtr aActive, CompactionLimits aLimits);

  [[nodiscard]] Step Start();
  [[nodiscard]] Step OnReply(const StoreReply& aReply);

private:
  enum class State : std::uint8_t
  {
    ReadLog,
    WriteSegment,
    ReadSegment,
    ReadIndex,
    WriteIndex,
    WritePart,
    WriteManifest,
    Swap,
    DeleteManifest,
    DeletePart,
  };

  Step Request(State aState, StoreRequest aRequest);
  Step OnLog(const StoreReply& aReply);
  Step OnSegmentRead(const StoreReply& aReply);
  Step NextIndex();
  Step OnIndexRead(const StoreReply& aReply);
  Step StartSnapshot();
  Step NextPart();
  Step SwapLog();
  Step DeleteStaleSnapshot();
  Step DeleteNextPart();
  [[nodiscard]] bool CanSnapshot() const;

  ActiveConfigPtr m_active;
  CompactionLimits m_limits;
  State m_state{ State::ReadLog };
  DecisionLog m_log;
  Revision m_revision{ 0 };
  std::vector<Decision> m_archived;
  std::size_t m_indexedCount{ 0 };
  std::string m_snapshot;
  std::size_t m_nextPart{ 0 };
  std::size_t m_partCount{ 0 };
  Version m_staleSnapshot;
  std::size_t m_deletedParts{ 0 };
};

}
