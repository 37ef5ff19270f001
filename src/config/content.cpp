#include "greengagehub/config/content.hpp"

#include "greengagehub/core/parse_json.hpp"

#include "content_patcher.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace greengagehub {

using Json = nlohmann::json;

std::string_view
NameOf(CallClass aClass) noexcept
{
  switch (aClass) {
    case CallClass::Critical:
      return "critical";
    case CallClass::Lookup:
      return "lookup";
    case CallClass::Export:
      return "export";
  }
  return "critical";
}

namespace {

template<class T>
void
AppendEntities(std::string& aOut, const EntityMap<T>& aEntities)
{
  bool first = true;
  aOut += '{';
  for (const auto& [name, entity] : aEntities) {
    if (!first) {
      aOut += ',';
    }
    first = false;
    // IsValidName() allows no character that needs a JSON escape.
    aOut += '"';
    aOut += name;
    aOut += "\":";
    aOut += entity->m_text;
  }
  aOut += '}';
}

}

std::string
Content::ToJson() const
{
  std::string out = R"({"limits":)";
  out += m_limitsText;
  out += R"(,"routes":)";
  AppendEntities(out, m_routes);
  out += R"(,"services":)";
  AppendEntities(out, m_services);
  if (!m_workspaces.empty()) {
    out += R"(,"workspaces":)";
    AppendEntities(out, m_workspaces);
  }
  out += '}';
  return out;
}

std::vector<Reason>
Content::Apply(std::string_view aPatch)
{
  const Json patch = ParseJson(aPatch);
  if (patch.is_discarded()) {
    return { Reason{ ReasonCode::NotJson,
                     "",
                     "the patch is not JSON, or is nested too deep" } };
  }
  ContentPatcher patcher{ *this };
  return patcher.Run(patch);
}

std::vector<Reason>
Content::Assign(const ContentTexts& aTexts)
{
  ContentPatcher patcher{ *this };
  return patcher.Run(aTexts);
}

Outcome<std::string>
CanonicalPatch(std::string_view aText)
{
  const Json patch = ParseJson(aText);
  if (patch.is_discarded()) {
    return Error{ ErrorCode::Invalid,
                  "the patch is not JSON, or is nested too deep" };
  }
  std::string text = patch.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxPatchBytes) {
    return Error{ ErrorCode::TooLarge, "the patch is larger than 65536 bytes" };
  }
  return text;
}

}
