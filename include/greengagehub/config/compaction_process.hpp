#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/core/compression.hpp"
#include "greengagehub/core/store_message.hpp"

#include <variant>

namespace greengagehub {

/// \brief Log size at which compaction starts, and the size it aims for.
///
/// Every watcher reads the whole log on every change, so a large log costs
/// bandwidth.
struct CompactionLimits
{
  std::size_t m_highBytes{ 24UL * 1024 };
  std::size_t m_lowBytes{ 8UL * 1024 };
};

/// \brief Moves old decisions from the log to the archive.
///
/// Writes the segment, the index, the snapshot and last the log. Each step can
/// be repeated and can race with another process: segments and snapshots are
/// create-only and immutable, index lines form a set. An interrupted process
/// leaves the log intact, and the log's revision rejects a delayed one.
class CompactionProcess
{
public:
  enum class Result : std::uint8_t
  {
    NothingToDo,
    Compacted,
    /// Conflict with another process, or the store failed; retry later.
    Aborted,
  };
  using Step = std::variant<StoreRequest, Result>;

  CompactionProcess(ActiveConfigPtr aActive, CompactionLimits aLimits);

  [[nodiscard]] Step Start();
  [[nodiscard]] Step On(const StoreReply& aReply);

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
  std::size_t m_part{ 0 };
  std::size_t m_parts{ 0 };
  Version m_staleSnapshot;
  std::size_t m_deletedParts{ 0 };
};

}
