#include "greengagehub/config/decision_process.hpp"

#include <fmt/format.h>

namespace greengagehub {

namespace {

using Status = StoreReply::Status;

/// Rounds through the log before an operator is told to ask again; each lost
/// swap means that another decision got through, so this bounds one call and
/// starves nobody for good.
constexpr std::uint32_t kMaxAttempts = 64;

bool
IsLost(const StoreReply& aReply)
{
  return aReply.m_status == Status::Unavailable ||
         aReply.m_status == Status::Unknown;
}

}

DecisionProcess::DecisionProcess(ActiveConfigPtr aActive, std::string aId)
  : m_active(std::move(aActive))
  , m_id(std::move(aId))
{
}

DecisionProcess::DecisionProcess(ActiveConfigPtr aActive,
                                 Submission aSubmission)
  : m_active(std::move(aActive))
  , m_id(aSubmission.m_id)
  , m_submission(std::move(aSubmission))
{
}

DecisionProcess::Step
DecisionProcess::Start()
{
  return Ask(State::ReadLog, MakeGet(std::string{ kLogKey }));
}

DecisionProcess::Step
DecisionProcess::Ask(State aState, StoreRequest aRequest)
{
  m_state = aState;
  return aRequest;
}

DecisionProcess::Step
DecisionProcess::Tell(DecisionAnswer::Kind aKind, std::string aDetail)
{
  return DecisionAnswer{ aKind, {}, std::move(aDetail) };
}

DecisionProcess::Step
DecisionProcess::TellDecision(const Decision& aDecision)
{
  DecisionAnswer answer{ DecisionAnswer::Kind::Decided, aDecision, {} };
  if (m_submission) {
    const bool same =
      aDecision.m_patchDigest == HashOf(m_submission->m_patch) &&
      aDecision.m_base == m_submission->m_base;
    if (!same) {
      answer.m_kind = DecisionAnswer::Kind::IdReused;
      answer.m_detail =
        fmt::format("id \"{}\" belongs to another patch, decision {}",
                    m_id,
                    aDecision.m_sequence);
    }
  }
  return answer;
}

DecisionProcess::Step
DecisionProcess::Retry()
{
  if (++m_attempts >= kMaxAttempts) {
    return Tell(DecisionAnswer::Kind::NotKnown,
                "too many others decide at once; ask about this id again");
  }
  return Start();
}

DecisionProcess::Step
DecisionProcess::On(const StoreReply& aReply)
{
  if (m_state == State::Swap) {
    return OnSwap(aReply);
  }
  if (IsLost(aReply)) {
    return Tell(DecisionAnswer::Kind::NotKnown, "the store does not answer");
  }
  switch (m_state) {
    case State::ReadLog:
      return OnLog(aReply);
    case State::ReadIndex:
      return OnIndex(aReply);
    case State::ReadSegment:
      return OnSegment(aReply);
    case State::ReadSnapshot:
      return OnSnapshot(m_snapshot.On(aReply));
    case State::Swap:
      break;
  }
  return Retry();
}

bool
DecisionProcess::IsBehind() const
{
  // A store restored from an old backup, or emptied, shows as a head below
  // what proxies run, or as another history at the same number. Deciding on
  // it would give one version number to two patches.
  const Version held = m_active->m_version;
  if (m_log.m_head < held) {
    return true;
  }
  if (m_log.m_head == held) {
    return m_log.m_chain != m_active->m_chain;
  }
  const auto entries = m_log.EntriesAfter(held);
  if (!entries || entries->empty()) {
    return false;
  }
  const VersionEntry& next = entries->front();
  return next.m_chain !=
         NextChain(m_active->m_chain, next.m_version, next.m_patch);
}

DecisionProcess::Step
DecisionProcess::OnLog(const StoreReply& aReply)
{
  m_log = {};
  m_revision = 0;
  if (aReply.m_status == Status::Ok) {
    auto log = ParseLog(aReply.m_value);
    if (!log) {
      return Tell(DecisionAnswer::Kind::StoreCorrupt, log.error().m_message);
    }
    m_log = std::move(log.value());
    m_revision = aReply.m_revision;
  }
  if (const Decision* known = m_log.Find(m_id)) {
    return TellDecision(*known);
  }
  return Ask(State::ReadIndex, MakeGet(IndexKey(m_id)));
}

DecisionProcess::Step
DecisionProcess::OnIndex(const StoreReply& aReply)
{
  m_segments.clear();
  if (aReply.m_status == Status::Ok) {
    m_segments = FindInIndex(aReply.m_value, m_id);
  }
  return NextSegment();
}

DecisionProcess::Step
DecisionProcess::NextSegment()
{
  if (m_segments.empty()) {
    return NotRecorded();
  }
  return Ask(State::ReadSegment, MakeGet(ArchiveKey(m_segments.back())));
}

DecisionProcess::Step
DecisionProcess::OnSegment(const StoreReply& aReply)
{
  m_segments.pop_back();
  if (aReply.m_status != Status::Ok) {
    return Tell(DecisionAnswer::Kind::StoreCorrupt,
                "an archive segment that the index names is missing");
  }
  const auto text = Decompress(aReply.m_value, kMaxUnpackedBytes);
  if (!text) {
    return Tell(DecisionAnswer::Kind::StoreCorrupt, text.error().m_message);
  }
  const auto decisions = ParseDecisions(text.value());
  if (!decisions) {
    return Tell(DecisionAnswer::Kind::StoreCorrupt,
                decisions.error().m_message);
  }
  for (const Decision& each : decisions.value()) {
    if (each.m_id == m_id) {
      return TellDecision(each);
    }
  }
  return NextSegment();
}

DecisionProcess::Step
DecisionProcess::NotRecorded()
{
  if (!m_submission) {
    return Tell(DecisionAnswer::Kind::NotDecided,
                "no decision is recorded under this id");
  }
  if (IsBehind()) {
    return Tell(DecisionAnswer::Kind::StoreBehind,
                fmt::format("the store's head {} is not on the history that "
                            "this proxy runs at version {}",
                            m_log.m_head.m_number,
                            m_active->m_version.m_number));
  }
  if (m_log.EntriesAfter(m_active->m_version)) {
    return DecideNow(m_active->m_content, m_active->m_version);
  }
  m_snapshot = SnapshotReader{ m_log.m_snapshot };
  return OnSnapshot(m_snapshot.Start());
}

DecisionProcess::Step
DecisionProcess::OnSnapshot(SnapshotReader::Step aStep)
{
  if (auto* request = std::get_if<StoreRequest>(&aStep)) {
    return Ask(State::ReadSnapshot, std::move(*request));
  }
  const SnapshotRead& read = std::get<SnapshotRead>(aStep);
  switch (read.m_status) {
    case SnapshotRead::Status::Gone:
      // The log moved on and this snapshot was dropped meanwhile.
      return Retry();
    case SnapshotRead::Status::Lost:
      return Tell(DecisionAnswer::Kind::NotKnown, "the store does not answer");
    case SnapshotRead::Status::Corrupt:
      return Tell(DecisionAnswer::Kind::StoreCorrupt, "a damaged snapshot");
    case SnapshotRead::Status::Ok:
      break;
  }
  Content content;
  const bool whole = content.Apply(read.m_text).empty() &&
                     content.GetDigest() == read.m_head.m_content;
  if (!whole) {
    return Tell(DecisionAnswer::Kind::StoreCorrupt, "a damaged snapshot");
  }
  return DecideNow(std::move(content), read.m_head.m_version);
}

DecisionProcess::Step
DecisionProcess::DecideNow(Content aContent, Version aFrom)
{
  const auto entries = m_log.EntriesAfter(aFrom);
  if (!entries) {
    return Retry();
  }
  for (const VersionEntry& each : *entries) {
    if (!aContent.Apply(each.m_patch).empty()) {
      return Tell(DecisionAnswer::Kind::StoreCorrupt,
                  fmt::format("version {} in the store does not apply",
                              each.m_version.m_number));
    }
  }
  if (aContent.GetDigest() != m_log.m_content) {
    return Tell(DecisionAnswer::Kind::StoreCorrupt,
                "the store's content does not match its digest");
  }
  m_decided = Decide(m_log, aContent, *m_submission);
  m_log = WithDecision(std::move(m_log), m_decided);
  return Ask(State::Swap,
             MakePut(std::string{ kLogKey }, LogToJson(m_log), m_revision));
}

DecisionProcess::Step
DecisionProcess::OnSwap(const StoreReply& aReply)
{
  if (aReply.m_status == Status::Ok) {
    return TellDecision(m_decided);
  }
  if (aReply.m_status == Status::Unavailable) {
    return Tell(DecisionAnswer::Kind::NotKnown, "the store does not answer");
  }
  // Conflict, or the answer was lost after the write may have taken effect:
  // only the log can tell, and it knows the id if the write got through.
  return Retry();
}

}
