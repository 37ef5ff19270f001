#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/snapshot_reader.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/core/store_message.hpp"

#include <optional>
#include <variant>

namespace greengagehub {

/// \brief What an operator is told about a patch.
struct DecisionAnswer
{
  enum class Kind : std::uint8_t
  {
    /// The recorded decision, in m_decision.
    Decided,
    /// No decision is recorded under this id at this moment.
    NotDecided,
    /// The store could not be asked or did not confirm: never a guess.
    NotKnown,
    /// Refused without a record: the id belongs to another patch, in
    /// m_decision.
    IdReused,
    /// The store holds an older or another history than this proxy runs.
    StoreBehind,
    /// A value in the store cannot be parsed.
    StoreCorrupt,
  };

  Kind m_kind{ Kind::NotKnown };
  Decision m_decision{};
  std::string m_detail{};
};

/// \brief Decides one patch, or finds the decision on it, through the store.
///
/// A state machine without I/O: each step returns the next call to the store,
/// or the answer. Whatever is told was read back from the store or confirmed
/// by it. The read order log, index, segment, then compare-and-swap on the
/// log's revision makes the check for a known id sound: an entry leaves the
/// log only after archive and index hold it, and any entry that appears or
/// leaves in between changes the log's revision, so that the swap fails.
///
/// \code
/// DecisionProcess process{ active, id, submission };
/// DecisionStep step = process.Start();
/// while (auto* request = std::get_if<StoreRequest>(&step)) {
///   step = process.On(store.Carry(*request));
/// }
/// \endcode
class DecisionProcess
{
public:
  using Step = std::variant<StoreRequest, DecisionAnswer>;

  /// \brief Looks the decision on `aId` up; takes none.
  DecisionProcess(ActiveConfigPtr aActive, std::string aId);
  /// \brief Takes the decision on a submission unless it is there already.
  DecisionProcess(ActiveConfigPtr aActive, Submission aSubmission);

  [[nodiscard]] Step Start();
  [[nodiscard]] Step On(const StoreReply& aReply);
  /// \returns The log as last read or written, for the caller to catch up by.
  [[nodiscard]] const DecisionLog& Log() const noexcept { return m_log; }

private:
  enum class State : std::uint8_t
  {
    ReadLog,
    ReadIndex,
    ReadSegment,
    ReadSnapshot,
    Swap,
  };

  Step Ask(State aState, StoreRequest aRequest);
  Step Tell(DecisionAnswer::Kind aKind, std::string aDetail = {});
  Step TellDecision(const Decision& aDecision);
  Step Retry();
  Step OnLog(const StoreReply& aReply);
  Step OnIndex(const StoreReply& aReply);
  Step OnSegment(const StoreReply& aReply);
  Step NextSegment();
  Step NotRecorded();
  Step OnSnapshot(SnapshotReader::Step aStep);
  Step DecideNow(Content aContent, Version aFrom);
  Step OnSwap(const StoreReply& aReply);
  [[nodiscard]] bool IsBehind() const;

  ActiveConfigPtr m_active;
  std::string m_id;
  std::optional<Submission> m_submission;
  State m_state{ State::ReadLog };
  DecisionLog m_log;
  Revision m_revision{ 0 };
  std::vector<std::uint64_t> m_segments;
  SnapshotReader m_snapshot{ Version{} };
  Decision m_decided;
  std::uint32_t m_attempts{ 0 };
};

}
