#pragma once

#include "greengagehub/config/content.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/version.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief One accepted version, as daemons exchange it.
struct VersionEntry
{
  Version m_version;
  /// Canonical JSON merge patch on the previous version.
  std::string m_patch;
  /// Chain digest over the history up to this version; equal to m_content if
  /// m_base is set.
  Digest m_chain;
  /// Digest of the content after the patch.
  Digest m_content;
  /// Version that the patch applies to; unset: the previous number.
  std::optional<Version> m_base{};

  [[nodiscard]] bool Follows(Version aVersion) const noexcept
  {
    return m_base ? *m_base == aVersion : m_version == aVersion.Next();
  }
  [[nodiscard]] bool operator==(const VersionEntry&) const = default;
};

struct Submission
{
  std::string m_id;
  Version m_base;
  std::string m_author;
  /// Canonical JSON.
  std::string m_patch;
  WallTime m_submittedAt;
};

struct Decision
{
  /// Position in the sequence of all decisions, from 1.
  std::uint64_t m_sequence{ 0 };
  std::string m_id;
  Digest m_patchDigest;
  Version m_base;
  std::string m_author;
  WallTime m_submittedAt;
  std::uint32_t m_rulesRevision{ kRulesRevision };
  /// Head version at the time of the decision; m_reasons refer to it.
  Version m_head;
  bool m_accepted{ false };
  /// Set when accepted.
  VersionEntry m_entry;
  /// Set when rejected.
  std::vector<Reason> m_reasons;

  [[nodiscard]] bool operator==(const Decision&) const = default;
};

/// \brief The record that serializes all decisions by compare-and-swap.
///
/// The snapshot m_snapshot and the accepted entries after it rebuild the head.
/// Invariant: m_archivedVersion <= m_snapshot <= m_head. Versions in
/// (m_archivedVersion, m_head] are in m_decisions.
struct DecisionLog
{
  Version m_head;
  Digest m_chain;
  Digest m_content;
  std::uint64_t m_nextSequence{ 1 };
  /// Last version whose decision was moved to the archive.
  Version m_archivedVersion;
  /// Latest snapshot; 0 is the empty content, which is not stored.
  Version m_snapshot;
  /// Snapshot before m_snapshot, kept for readers still in progress.
  Version m_previousSnapshot;
  std::vector<Decision> m_decisions;

  [[nodiscard]] const Decision* Find(std::string_view aId) const noexcept;
  /// \returns The accepted entries above `aVersion`, or nothing when some of
  /// them are archived.
  [[nodiscard]] std::optional<std::vector<VersionEntry>> EntriesAfter(
    Version aVersion) const;
};

/// \returns The chain digest of a version, from that of its predecessor.
[[nodiscard]] Digest
NextChain(const Digest& aChain, Version aVersion, std::string_view aPatch);

/// \brief Accepts or rejects a patch whose id is not in the log. Depends only
/// on its arguments.
/// \param aContent content at the log's head.
[[nodiscard]] Decision
Decide(const DecisionLog& aLog,
       const Content& aContent,
       const Submission& aSubmission);

[[nodiscard]] DecisionLog
WithDecision(DecisionLog aLog, const Decision& aDecision);

/// \returns Canonical JSON, as stored and as shown to operators.
[[nodiscard]] std::string
DecisionToJson(const Decision& aDecision);

[[nodiscard]] std::string
LogToJson(const DecisionLog& aLog);

/// \returns The log, or Corrupt; such a value must not be overwritten.
[[nodiscard]] Outcome<DecisionLog>
ParseLog(std::string_view aText);

[[nodiscard]] std::string
DecisionsToJson(const std::vector<Decision>& aDecisions);
[[nodiscard]] Outcome<std::vector<Decision>>
ParseDecisions(std::string_view aText);

}
