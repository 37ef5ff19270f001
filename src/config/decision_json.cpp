#include "greengagehub/config/decision.hpp"

#include <nlohmann/json.hpp>

// The stored form of decisions. Parsing is strict about what it needs and
// tolerant of fields that a later release may add.

namespace greengagehub {

using Json = nlohmann::json;

namespace {

constexpr int kFormat = 1;

Json
ToJson(const Decision& aDecision)
{
  Json out{ { "sequence", aDecision.m_sequence },
            { "id", aDecision.m_id },
            { "patch_digest", ToHex(aDecision.m_patchDigest) },
            { "base", aDecision.m_base.m_number },
            { "author", aDecision.m_author },
            { "at_ms", aDecision.m_at.time_since_epoch().count() },
            { "rules", aDecision.m_rules },
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

/// Throws like nlohmann does; caught at the library's
/// edge below and turned into values.
Digest
DigestAt(const Json& aObject, const char* aName)
{
  const auto digest = ParseDigest(aObject.at(aName).get<std::string>());
  if (!digest) {
    throw std::invalid_argument{ digest.error().m_message };
  }
  return digest.value();
}

Reason
ReasonFrom(const Json& aObject)
{
  const auto code = ParseReasonCode(aObject.at("code").get<std::string>());
  if (!code) {
    throw std::invalid_argument{ "unknown reason code" };
  }
  return { *code,
           aObject.at("place").get<std::string>(),
           aObject.at("detail").get<std::string>() };
}

Decision
DecisionFrom(const Json& aObject)
{
  Decision out;
  out.m_sequence = aObject.at("sequence").get<std::uint64_t>();
  out.m_id = aObject.at("id").get<std::string>();
  out.m_patchDigest = DigestAt(aObject, "patch_digest");
  out.m_base.m_number = aObject.at("base").get<std::uint64_t>();
  out.m_author = aObject.at("author").get<std::string>();
  out.m_at = WallTime{ std::chrono::milliseconds{
    aObject.at("at_ms").get<std::int64_t>() } };
  out.m_rules = aObject.at("rules").get<std::uint32_t>();
  out.m_head.m_number = aObject.at("head").get<std::uint64_t>();
  out.m_accepted = aObject.at("accepted").get<bool>();
  if (out.m_accepted) {
    out.m_entry.m_version.m_number = aObject.at("version").get<std::uint64_t>();
    out.m_entry.m_patch = aObject.at("patch").get<std::string>();
    out.m_entry.m_chain = DigestAt(aObject, "chain");
    out.m_entry.m_content = DigestAt(aObject, "content");
    return out;
  }
  for (const Json& each : aObject.at("reasons")) {
    out.m_reasons.push_back(ReasonFrom(each));
  }
  return out;
}

std::vector<Decision>
DecisionsFrom(const Json& aArray)
{
  std::vector<Decision> out;
  for (const Json& each : aArray) {
    out.push_back(DecisionFrom(each));
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

DecisionLog
LogFrom(const Json& aObject)
{
  if (aObject.at("format").get<int>() != kFormat) {
    throw std::invalid_argument{ "a format of another release" };
  }
  DecisionLog log;
  log.m_head.m_number = aObject.at("head").get<std::uint64_t>();
  log.m_chain = DigestAt(aObject, "chain");
  log.m_content = DigestAt(aObject, "content");
  log.m_nextSequence = aObject.at("next_sequence").get<std::uint64_t>();
  log.m_oldest.m_number = aObject.at("oldest").get<std::uint64_t>();
  log.m_priorSnapshot.m_number =
    aObject.at("prior_snapshot").get<std::uint64_t>();
  log.m_snapshot.m_number = aObject.at("snapshot").get<std::uint64_t>();
  log.m_decisions = DecisionsFrom(aObject.at("decisions"));
  return log;
}

/// nlohmann reports faults by exception; this is where they become values.
template<class Read>
auto
Guarded(std::string_view aText, Read aRead)
  -> Outcome<decltype(aRead(std::declval<const Json&>()))>
{
  try {
    return aRead(Json::parse(aText));
  } catch (const std::exception& fault) {
    return Error{ ErrorCode::Corrupt, fault.what() };
  }
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
                    { "oldest", aLog.m_oldest.m_number },
                    { "snapshot", aLog.m_snapshot.m_number },
                    { "prior_snapshot", aLog.m_priorSnapshot.m_number },
                    { "decisions", ToJson(aLog.m_decisions) } });
}

Outcome<DecisionLog>
ParseLog(std::string_view aText)
{
  return Guarded(aText, LogFrom);
}

Outcome<std::vector<Decision>>
ParseDecisions(std::string_view aText)
{
  return Guarded(aText, DecisionsFrom);
}

}
