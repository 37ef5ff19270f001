#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/core/compression.hpp"
#include "greengagehub/core/store_message.hpp"

#include <variant>

namespace greengagehub {

/// \brief How large the log may grow before its older part is packed away.
///
/// Every watcher reads the whole log on every change, so its size is paid
/// 0.22 times a second at the target: 24 KiB cost a watcher about 5 KB/s.
struct PackLimits
{
  std::size_t m_highBytes{ 24UL * 1024 };
  std::size_t m_lowBytes{ 8UL * 1024 };
};

/// \brief Moves old decisions from the log to the archive.
///
/// Order: segment, index, snapshot, and only then the log. Each step can be
/// repeated and can race with another packer: segments and snapshots are
/// create-only and hold what can no longer change, index lines form a set.
/// A packer that dies or pauses at any step leaves the log whole; the log's
/// revision stops one that wakes up late.
class PackProcess
{
public:
  enum class Result : std::uint8_t
  {
    NothingToDo,
    Packed,
    /// Another packer or the store was in the way; try again later.
    GaveUp,
  };
  using Step = std::variant<StoreRequest, Result>;

  PackProcess(ActiveConfigPtr aActive, PackLimits aLimits);

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
    DropManifest,
    DropPart,
  };

  Step Ask(State aState, StoreRequest aRequest);
  Step OnLog(const StoreReply& aReply);
  Step OnSegmentRead(const StoreReply& aReply);
  Step NextIndex();
  Step OnIndexRead(const StoreReply& aReply);
  Step StartSnapshot();
  Step NextPart();
  Step SwapLog();
  Step DropOldSnapshot();
  Step DropNextPart();
  [[nodiscard]] bool CanSnapshot() const;

  ActiveConfigPtr m_active;
  PackLimits m_limits;
  State m_state{ State::ReadLog };
  DecisionLog m_log;
  Revision m_revision{ 0 };
  std::vector<Decision> m_packed;
  std::size_t m_indexed{ 0 };
  std::string m_snapshot;
  std::size_t m_part{ 0 };
  std::size_t m_parts{ 0 };
  Version m_toDrop;
  std::size_t m_dropped{ 0 };
};

}
