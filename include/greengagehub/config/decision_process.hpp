#pragma once

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/snapshot_reader.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/core/store_message.hpp"

#include <optional>
#include <variant>

namespace greengagehub {

struct DecisionAnswer
{
  enum class Kind : std::uint8_t
  {
    Decided,
    NotDecided,
    /// The store is unreachable, or too many writers compete.
    NotKnown,
    /// The id belongs to another patch, whose decision is m_decision.
    IdReused,
    /// The store has an older or a different history than this daemon.
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
/// A state machine without I/O that returns store requests and, last, the
/// answer. An id is not decided twice: a decision is removed from the log only
/// after it is in the archive and the index, and a concurrent change of the log
/// makes the swap fail.
///
/// \code
/// DecisionProcess process{ active, submission };
/// DecisionProcess::Step step = process.Start();
/// while (auto* request = std::get_if<StoreRequest>(&step)) {
///   step = process.OnReply(store.Execute(*request));
/// }
/// \endcode
class DecisionProcess
{
public:
  using Step = std::variant<StoreRequest, DecisionAnswer>;

  /// \brief Looks up the decision on `aId` without deciding.
  DecisionProcess(ActiveConfigPtr aActive, std::string aId);
  /// \brief Decides a submission unless its id has a decision.
  DecisionProcess(ActiveConfigPtr aActive, Submission aSubmission);

  [[nodiscard]] Step Start();
  [[nodiscard]] Step OnReply(const StoreReply& aReply);
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
