#include "greengagehub/config/decision.hpp"
#include "greengagehub/core/field_reader.hpp"
#include "greengagehub/core/parse_json.hpp"

#include <nlohmann/json.hpp>

// The parser ignores unknown fields.

namespace greengagehub {

using Json = nlohmann::json;

namespace {

constexpr std::uint64_t kFormat = 1;

Json
ToJson(const Decision& aDecision)
{
  Json out{ { "sequence", aDecision.m_sequence },
            { "id", aDecision.m_id },
            { "patch_digest", ToHex(aDecision.m_patchDigest) },
            { "base", aDecision.m_base.m_number },
            { "author", aDecision.m_author },
            { "at_ms", aDecision.m_submittedAt.time_since_epoch().count() },
            { "rules", aDecision.m_rulesRevision },
            { "head", aDecision.m_head.m_number },
            { "accepted", aDecision.m_accepted } };
  if (aDecision.m_accepted) {
    const VersionEntry& entry = aDecision.m_entry;
    out["version"] = entry.m_version.m_number;
    out["patch"] = entry.m_patch;
    out["chain"] = ToHex(entry.m_chain);
    out["content"] = ToHex(entry.m_content);
    return out;
  }
  Json reasons = Json::array();
  for (const Reason& each : aDecision.m_reasons) {
    reasons.push_back({ { "code", NameOf(each.m_code) },
                        { "place", each.m_place },
                        { "detail", each.m_detail } });
  }
  out["reasons"] = std::move(reasons);
  return out;
}

Digest
ReadDigest(FieldReader& aFields, const char* aName)
{
  const auto digest = ParseDigest(aFields.Text(aName));
  if (!digest) {
    aFields.AddError(aName, "a digest");
    return {};
  }
  return digest.value();
}

Version
ReadVersion(FieldReader& aFields, const char* aName)
{
  return Version{ aFields.Unsigned(aName) };
}

Outcome<Reason>
ReadReason(const Json& aObject)
{
  FieldReader fields{ aObject };
  const auto code = ParseReasonCode(fields.Text("code"));
  if (!code) {
    fields.AddError("code", "a known reason code");
  }
  Reason reason{ code.value_or(ReasonCode::NotJson),
                 fields.Text("place"),
                 fields.Text("detail") };
  if (!fields.FirstError().empty()) {
    return Error{ ErrorCode::Corrupt, fields.FirstError() };
  }
  return reason;
}

void
ReadEntry(FieldReader& aFields, VersionEntry& aOut)
{
  aOut.m_version = ReadVersion(aFields, "version");
  aOut.m_patch = aFields.Text("patch");
  aOut.m_chain = ReadDigest(aFields, "chain");
  aOut.m_content = ReadDigest(aFields, "content");
}

Outcome<Decision>
ReadDecision(const Json& aObject)
{
  FieldReader fields{ aObject };
  Decision out;
  out.m_sequence = fields.Unsigned("sequence");
  out.m_id = fields.Text("id");
  out.m_patchDigest = ReadDigest(fields, "patch_digest");
  out.m_base = ReadVersion(fields, "base");
  out.m_author = fields.Text("author");
  out.m_submittedAt = WallTime{ std::chrono::milliseconds{
    fields.Unsigned("at_ms", INT64_MAX) } };
  out.m_rulesRevision =
    static_cast<std::uint32_t>(fields.Unsigned("rules", UINT32_MAX));
  out.m_head = ReadVersion(fields, "head");
  out.m_accepted = fields.Flag("accepted");
  if (out.m_accepted) {
    ReadEntry(fields, out.m_entry);
  } else {
    for (const Json& each : fields.List("reasons")) {
      auto reason = ReadReason(each);
      if (!reason) {
        return reason.error();
      }
      out.m_reasons.push_back(std::move(reason.value()));
    }
  }
  if (!fields.FirstError().empty()) {
    return Error{ ErrorCode::Corrupt, fields.FirstError() };
  }
  return out;
}

Outcome<std::vector<Decision>>
ReadDecisions(const Json& aArray)
{
  std::vector<Decision> out;
  for (const Json& each : aArray) {
    auto decision = ReadDecision(each);
    if (!decision) {
      return decision.error();
    }
    out.push_back(std::move(decision.value()));
  }
  return out;
}

Json
ToJson(const std::vector<Decision>& aDecisions)
{
  Json out = Json::array();
  for (const Decision& each : aDecisions) {
    out.push_back(ToJson(each));
  }
  return out;
}

Outcome<DecisionLog>
ReadLog(const Json& aObject)
{
  FieldReader fields{ aObject };
  if (fields.Unsigned("format") != kFormat) {
    fields.AddError("format", "a supported format");
  }
  DecisionLog log;
  log.m_head = ReadVersion(fields, "head");
  log.m_chain = ReadDigest(fields, "chain");
  log.m_content = ReadDigest(fields, "content");
  log.m_nextSequence = fields.Unsigned("next_sequence");
  log.m_archivedVersion = ReadVersion(fields, "oldest");
  log.m_previousSnapshot = ReadVersion(fields, "prior_snapshot");
  log.m_snapshot = ReadVersion(fields, "snapshot");
  auto decisions = ReadDecisions(fields.List("decisions"));
  if (!fields.FirstError().empty()) {
    return Error{ ErrorCode::Corrupt, fields.FirstError() };
  }
  if (!decisions) {
    return decisions.error();
  }
  log.m_decisions = std::move(decisions.value());
  return log;
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}

std::string
DecisionToJson(const Decision& aDecision)
{
  return Dump(ToJson(aDecision));
}

std::string
DecisionsToJson(const std::vector<Decision>& aDecisions)
{
  return Dump(ToJson(aDecisions));
}

std::string
LogToJson(const DecisionLog& aLog)
{
  return Dump(Json{ { "format", kFormat },
                    { "head", aLog.m_head.m_number },
                    { "chain", ToHex(aLog.m_chain) },
                    { "content", ToHex(aLog.m_content) },
                    { "next_sequence", aLog.m_nextSequence },
                    { "oldest", aLog.m_archivedVersion.m_number },
                    { "snapshot", aLog.m_snapshot.m_number },
                    { "prior_snapshot", aLog.m_previousSnapshot.m_number },
                    { "decisions", ToJson(aLog.m_decisions) } });
}

Outcome<DecisionLog>
ParseLog(std::string_view aText)
{
  const Json json = ParseJson(aText);
  if (!json.is_object()) {
    return Error{ ErrorCode::Corrupt, "decision log: expected a JSON object" };
  }
  return ReadLog(json);
}

Outcome<std::vector<Decision>>
ParseDecisions(std::string_view aText)
{
  const Json json = ParseJson(aText);
  if (!json.is_array()) {
    return Error{ ErrorCode::Corrupt, "decisions: expected a JSON array" };
  }
  return ReadDecisions(json);
}

}
