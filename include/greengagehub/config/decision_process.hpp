#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/snapshot_reader.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/core/store_message.hpp"

#include <optional>
#include <variant>

namespace greengagehub {

/// \brief Result of a lookup or a submission, for the operator.
struct DecisionAnswer
{
  enum class Kind : std::uint8_t
  {
    /// The recorded decision, in m_decision.
    Decided,
    /// No decision is recorded under this id.
    NotDecided,
    /// The store is unreachable, or too many writers compete.
    NotKnown,
    /// The id belongs to another patch, whose decision is m_decision; nothing
    /// was recorded.
    IdReused,
    /// The store has an older or a different history than this proxy.
    StoreBehind,
    /// A value in the store cannot be parsed.
    StoreCorrupt,
  };

  Kind m_kind{ Kind::NotKnown };
  Decision m_decision{};
  std::string m_detail{};
};

/// \brief Decides one patch, or looks up its decision, through the store.
///
/// A state machine without I/O: each step returns the next store request or
/// the answer. It reads the log, the index and a segment, then swaps the log at
/// the revision it read. An id is not decided twice: a decision leaves the log
/// only after archive and index have it, and any change of the log meanwhile
/// makes the swap fail.
///
/// \code
/// DecisionProcess process{ active, submission };
/// DecisionProcess::Step step = process.Start();
/// while (auto* request = std::get_if<StoreRequest>(&step)) {
///   step = process.On(store.Execute(*request));
/// }
/// \endcode
class DecisionProcess
{
public:
  using Step = std::variant<StoreRequest, DecisionAnswer>;

  /// \brief Looks up the decision on `aId` without deciding.
  DecisionProcess(ActiveConfigPtr aActive, std::string aId);
  /// \brief Decides a submission unless its id is already decided.
  DecisionProcess(ActiveConfigPtr aActive, Submission aSubmission);

  [[nodiscard]] Step Start();
  [[nodiscard]] Step On(const StoreReply& aReply);
  /// \returns The log as last read or written.
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

  Step Request(State aState, StoreRequest aRequest);
  Step Answer(DecisionAnswer::Kind aKind, std::string aDetail = {});
  Step AnswerDecision(const Decision& aDecision);
  Step Retry();
  Step OnLog(const StoreReply& aReply);
  Step OnIndex(const StoreReply& aReply);
  Step OnSegment(const StoreReply& aReply);
  Step NextSegment();
  Step OnNotRecorded();
  Step OnSnapshot(SnapshotReader::Step aStep);
  Step DecideAndSwap(Content aContent, Version aFrom);
  Step OnSwap(const StoreReply& aReply);
  [[nodiscard]] bool IsStoreBehind() const;

  ActiveConfigPtr m_active;
  std::string m_id;
  std::optional<Submission> m_submission;
  State m_state{ State::ReadLog };
  DecisionLog m_log;
  Revision m_revision{ 0 };
  std::vector<std::uint64_t> m_segments;
  SnapshotReader m_snapshot{ Version{} };
  Decision m_newDecision;
  std::uint32_t m_attempts{ 0 };
};

}
