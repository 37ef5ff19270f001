#include "greengagehub/config/decision.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace greengagehub {

namespace {

Decision
MakeDecision(const DecisionLog& aLog, const Submission& aSubmission)
{
  Decision decision;
  decision.m_sequence = aLog.m_nextSequence;
  decision.m_id = aSubmission.m_id;
  decision.m_patchDigest = Sha256(aSubmission.m_patch);
  decision.m_base = aSubmission.m_base;
  decision.m_author = aSubmission.m_author;
  decision.m_submittedAt = aSubmission.m_submittedAt;
  decision.m_head = aLog.m_head;
  return decision;
}

Reason
StaleBase(const DecisionLog& aLog, Version aBase)
{
  const Version next = aBase.Next();
  for (const Decision& each : aLog.m_decisions) {
    if (each.m_accepted && each.m_entry.m_version == next) {
      return { ReasonCode::StaleBase,
               "",
               fmt::format("version {} (patch \"{}\") follows base {}",
                           next.m_number,
                           each.m_id,
                           aBase.m_number) };
    }
  }
  return { ReasonCode::StaleBase,
           "",
           fmt::format("base {} was followed by version {}; the head was {}",
                       aBase.m_number,
                       next.m_number,
                       aLog.m_head.m_number) };
}

std::optional<Reason>
CheckBase(const DecisionLog& aLog, Version aBase)
{
  if (aBase < aLog.m_head) {
    return StaleBase(aLog, aBase);
  }
  if (aBase > aLog.m_head) {
    return Reason{ ReasonCode::UnknownBase,
                   "",
                   fmt::format("base {} was not an accepted version; the head "
                               "was {}",
                               aBase.m_number,
                               aLog.m_head.m_number) };
  }
  return std::nullopt;
}

}

const Decision*
DecisionLog::Find(std::string_view aId) const noexcept
{
  const auto found = std::find_if(
    m_decisions.begin(), m_decisions.end(), [aId](const Decision& aDecision) {
      return aDecision.m_id == aId;
    });
  return found == m_decisions.end() ? nullptr : &*found;
}

std::optional<std::vector<VersionEntry>>
DecisionLog::EntriesAfter(Version aVersion) const
{
  if (aVersion < m_archivedVersion) {
    return std::nullopt;
  }
  std::vector<VersionEntry> entries;
  for (const Decision& each : m_decisions) {
    if (each.m_accepted && each.m_entry.m_version > aVersion) {
      entries.push_back(each.m_entry);
    }
  }
  return entries;
}

Digest
NextChain(const Digest& aChain, Version aVersion, std::string_view aPatch)
{
  return Sha256(
    fmt::format("{}/{}/{}", ToHex(aChain), aVersion.m_number, aPatch));
}

Decision
Decide(const DecisionLog& aLog,
       const Content& aContent,
       const Submission& aSubmission)
{
  Decision decision = MakeDecision(aLog, aSubmission);
  if (auto reason = CheckBase(aLog, aSubmission.m_base)) {
    decision.m_reasons.push_back(std::move(*reason));
    return decision;
  }
  Content next = aContent;
  decision.m_reasons = next.Apply(aSubmission.m_patch);
  if (!decision.m_reasons.empty()) {
    return decision;
  }
  decision.m_accepted = true;
  decision.m_entry.m_version = aLog.m_head.Next();
  decision.m_entry.m_patch = aSubmission.m_patch;
  decision.m_entry.m_chain =
    NextChain(aLog.m_chain, decision.m_entry.m_version, aSubmission.m_patch);
  decision.m_entry.m_content = next.GetDigest();
  return decision;
}

DecisionLog
WithDecision(DecisionLog aLog, const Decision& aDecision)
{
  aLog.m_nextSequence = aDecision.m_sequence + 1;
  aLog.m_decisions.push_back(aDecision);
  if (aDecision.m_accepted) {
    aLog.m_head = aDecision.m_entry.m_version;
    aLog.m_chain = aDecision.m_entry.m_chain;
    aLog.m_content = aDecision.m_entry.m_content;
  }
  return aLog;
}

}
