#pragma once

#include "greengagehub/config/content.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/version.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief One accepted version as it travels between daemons: enough to check
/// that it follows what a proxy runs, and to apply it.
struct VersionEntry
{
  Version m_version;
  /// Canonical JSON merge patch on the version before.
  std::string m_patch;
  /// Digest over the whole history up to this version.
  Digest m_chain;
  /// Digest of the content that the patch must lead to.
  Digest m_content;
  /// The version that the patch is on, where a source numbers its versions as
  /// it likes; else the one before.
  std::optional<Version> m_base{};

  [[nodiscard]] bool Follows(Version aVersion) const noexcept
  {
    return m_base ? *m_base == aVersion : m_version == aVersion.Next();
  }
  [[nodiscard]] bool operator==(const VersionEntry&) const = default;
};

/// \brief A patch as an operator handed it in.
struct Submission
{
  std::string m_id;
  Version m_base;
  std::string m_author;
  /// Canonical JSON.
  std::string m_patch;
  WallTime m_at;
};

/// \brief What was decided about one patch, with the facts that it rests on.
struct Decision
{
  /// Place in the sequence of all decisions, from 1.
  std::uint64_t m_sequence{ 0 };
  std::string m_id;
  Digest m_patchDigest;
  Version m_base;
  std::string m_author;
  WallTime m_at;
  std::uint32_t m_rules{ kRulesRevision };
  /// Head when it was decided; what the reasons are true of.
  Version m_head;
  bool m_accepted{ false };
  /// Set when accepted.
  VersionEntry m_entry;
  /// Set when refused.
  std::vector<Reason> m_reasons;

  [[nodiscard]] bool operator==(const Decision&) const = default;
};

/// \brief The record under compare-and-swap that every decision goes through.
///
/// Self-sufficient: the snapshot it names plus its accepted entries lead to
/// the head, m_oldest <= m_snapshot <= m_head. Versions in (m_oldest, m_head]
/// are in m_decisions.
struct DecisionLog
{
  Version m_head;
  Digest m_chain;
  Digest m_content;
  std::uint64_t m_nextSequence{ 1 };
  /// Last version whose decision has left the log for the archive.
  Version m_oldest;
  /// Newest snapshot; 0 is the empty content and has no key.
  Version m_snapshot;
  /// The snapshot before, kept for readers that are under way.
  Version m_priorSnapshot;
  std::vector<Decision> m_decisions;

  [[nodiscard]] const Decision* Find(std::string_view aId) const noexcept;
  /// \returns The accepted entries above `aVersion`, or nothing when this log
  /// no longer reaches that far back.
  [[nodiscard]] std::optional<std::vector<VersionEntry>> EntriesAfter(
    Version aVersion) const;
};

/// \returns The chain digest that follows `aChain` by this version and patch.
[[nodiscard]] Digest
NextChain(const Digest& aChain, Version aVersion, std::string_view aPatch);

/// \brief Takes the decision on a patch that the log does not know yet.
/// Pure: same log, content and submission, same decision.
/// \param aContent the content at the log's head.
[[nodiscard]] Decision
Decide(const DecisionLog& aLog,
       const Content& aContent,
       const Submission& aSubmission);

/// \returns The log with the decision recorded.
[[nodiscard]] DecisionLog
WithDecision(DecisionLog aLog, const Decision& aDecision);

/// \returns Canonical JSON of one decision, also what operators are shown.
[[nodiscard]] std::string
DecisionToJson(const Decision& aDecision);

[[nodiscard]] std::string
LogToJson(const DecisionLog& aLog);

/// \returns The log, or Corrupt with what is wrong. A value that cannot be
/// parsed is never overwritten by anyone.
[[nodiscard]] Outcome<DecisionLog>
ParseLog(std::string_view aText);

[[nodiscard]] std::string
DecisionsToJson(const std::vector<Decision>& aDecisions);
[[nodiscard]] Outcome<std::vector<Decision>>
ParseDecisions(std::string_view aText);

}
