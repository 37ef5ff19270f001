#include "greengagehub/config/decision_process.hpp"

#include <fmt/format.h>

namespace greengagehub {

namespace {

using Status = StoreReply::Status;

/// Attempts per operator request; bounds its duration.
constexpr std::uint32_t kMaxAttempts = 64;

bool
IsFailed(const StoreReply& aReply)
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
  return Request(State::ReadLog, MakeGet(std::string{ kLogKey }));
}

DecisionProcess::Step
DecisionProcess::Request(State aState, StoreRequest aRequest)
{
  m_state = aState;
  return aRequest;
}

DecisionProcess::Step
DecisionProcess::Answer(DecisionAnswer::Kind aKind, std::string aDetail)
{
  return DecisionAnswer{ aKind, {}, std::move(aDetail) };
}

DecisionProcess::Step
DecisionProcess::AnswerDecision(const Decision& aDecision)
{
  DecisionAnswer answer{ DecisionAnswer::Kind::Decided, aDecision, {} };
  if (m_submission) {
    const bool same =
      aDecision.m_patchDigest == Sha256(m_submission->m_patch) &&
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
    return Answer(DecisionAnswer::Kind::NotKnown,
                  "too many concurrent decisions; look up this id again");
  }
  return Start();
}

DecisionProcess::Step
DecisionProcess::OnReply(const StoreReply& aReply)
{
  if (m_state == State::Swap) {
    return OnSwap(aReply);
  }
  if (IsFailed(aReply)) {
    return Answer(DecisionAnswer::Kind::NotKnown, "the store does not answer");
  }
  switch (m_state) {
    case State::ReadLog:
      return OnLog(aReply);
    case State::ReadIndex:
      return OnIndex(aReply);
    case State::ReadSegment:
      return OnSegment(aReply);
    case State::ReadSnapshot:
      return OnSnapshot(m_snapshot.OnReply(aReply));
    case State::Swap:
      break;
  }
  return Retry();
}

bool
DecisionProcess::IsStoreBehind() const
{
  // Deciding on an emptied or restored store would assign a version number
  // twice.
  const Version active = m_active->m_version;
  if (m_log.m_head < active) {
    return true;
  }
  if (m_log.m_head == active) {
    return m_log.m_chain != m_active->m_chain;
  }
  const auto entries = m_log.EntriesAfter(active);
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
      return Answer(DecisionAnswer::Kind::StoreCorrupt, log.error().m_message);
    }
    m_log = std::move(log.value());
    m_revision = aReply.m_revision;
  }
  if (const Decision* known = m_log.Find(m_id)) {
    return AnswerDecision(*known);
  }
  return Request(State::ReadIndex, MakeGet(IndexKey(m_id)));
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
    return OnNotRecorded();
  }
  return Request(State::ReadSegment, MakeGet(ArchiveKey(m_segments.back())));
}

DecisionProcess::Step
DecisionProcess::OnSegment(const StoreReply& aReply)
{
  m_segments.pop_back();
  if (aReply.m_status != Status::Ok) {
    return Answer(DecisionAnswer::Kind::StoreCorrupt,
                  "the index refers to an archive segment that does not exist");
  }
  const auto text = Decompress(aReply.m_value, kMaxUnpackedBytes);
  if (!text) {
    return Answer(DecisionAnswer::Kind::StoreCorrupt, text.error().m_message);
  }
  const auto decisions = ParseDecisions(text.value());
  if (!decisions) {
    return Answer(DecisionAnswer::Kind::StoreCorrupt,
                  decisions.error().m_message);
  }
  for (const Decision& each : decisions.value()) {
    if (each.m_id == m_id) {
      return AnswerDecision(each);
    }
  }
  return NextSegment();
}

DecisionProcess::Step
DecisionProcess::OnNotRecorded()
{
  if (!m_submission) {
    return Answer(DecisionAnswer::Kind::NotDecided,
                  "no decision is recorded under this id");
  }
  if (IsStoreBehind()) {
    return Answer(DecisionAnswer::Kind::StoreBehind,
                  fmt::format("the store's head {} is not in the history of "
                              "version {}, which this proxy runs",
                              m_log.m_head.m_number,
                              m_active->m_version.m_number));
  }
  if (m_log.EntriesAfter(m_active->m_version)) {
    return DecideAndSwap(m_active->m_content, m_active->m_version);
  }
  m_snapshot = SnapshotReader{ m_log.m_snapshot };
  return OnSnapshot(m_snapshot.Start());
}

DecisionProcess::Step
DecisionProcess::OnSnapshot(SnapshotReader::Step aStep)
{
  if (auto* request = std::get_if<StoreRequest>(&aStep)) {
    return Request(State::ReadSnapshot, std::move(*request));
  }
  const SnapshotResult& read = std::get<SnapshotResult>(aStep);
  switch (read.m_status) {
    case SnapshotResult::Status::Deleted:
      return Retry();
    case SnapshotResult::Status::NoAnswer:
      return Answer(DecisionAnswer::Kind::NotKnown,
                    "the store does not answer");
    case SnapshotResult::Status::Corrupt:
      return Answer(DecisionAnswer::Kind::StoreCorrupt,
                    "the snapshot is damaged");
    case SnapshotResult::Status::Ok:
      break;
  }
  Content content;
  const bool isValid = content.Apply(read.m_text).empty() &&
                       content.GetDigest() == read.m_head.m_content;
  if (!isValid) {
    return Answer(DecisionAnswer::Kind::StoreCorrupt,
                  "the snapshot is damaged");
  }
  return DecideAndSwap(std::move(content), read.m_head.m_version);
}

DecisionProcess::Step
DecisionProcess::DecideAndSwap(Content aContent, Version aFrom)
{
  const auto entries = m_log.EntriesAfter(aFrom);
  if (!entries) {
    return Retry();
  }
  for (const VersionEntry& each : *entries) {
    if (!aContent.Apply(each.m_patch).empty()) {
      return Answer(
        DecisionAnswer::Kind::StoreCorrupt,
        fmt::format("the patch of version {} in the store does not apply",
                    each.m_version.m_number));
    }
  }
  if (aContent.GetDigest() != m_log.m_content) {
    return Answer(DecisionAnswer::Kind::StoreCorrupt,
                  "the content in the store does not match its digest");
  }
  m_newDecision = Decide(m_log, aContent, *m_submission);
  m_log = WithDecision(std::move(m_log), m_newDecision);
  return Request(State::Swap,
                 MakePut(std::string{ kLogKey }, LogToJson(m_log), m_revision));
}

DecisionProcess::Step
DecisionProcess::OnSwap(const StoreReply& aReply)
{
  if (aReply.m_status == Status::Ok) {
    return AnswerDecision(m_newDecision);
  }
  if (aReply.m_status == Status::Unavailable) {
    return Answer(DecisionAnswer::Kind::NotKnown, "the store does not answer");
  }
  // A write whose reply was lost may have taken effect; the retry then finds
  // the id in the log.
  return Retry();
}

}
