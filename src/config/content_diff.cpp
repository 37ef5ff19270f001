#include "greengagehub/config/content_diff.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace greengagehub {

namespace {

using Json = nlohmann::json;

/// A merge patch keeps fields that it does not name, so those that are gone
/// must be named with null.
Json
EntityPatch(std::string_view aFrom, std::string_view aTo)
{
  Json patch = Json::parse(aTo);
  const Json before = Json::parse(aFrom);
  for (const auto& field : before.items()) {
    if (!patch.contains(field.key())) {
      patch[field.key()] = nullptr;
    }
  }
  return patch;
}

template<class T>
Json
EntitiesPatch(const EntityMap<T>& aFrom, const std::vector<NamedText>& aTo)
{
  Json patch = Json::object();
  std::set<std::string_view> kept;
  for (const NamedText& each : aTo) {
    kept.insert(each.m_name);
    const auto found = aFrom.find(each.m_name);
    if (found == aFrom.end()) {
      patch[each.m_name] = Json::parse(each.m_text);
    } else if (found->second->m_text != each.m_text) {
      patch[each.m_name] = EntityPatch(found->second->m_text, each.m_text);
    }
  }
  for (const auto& [name, entity] : aFrom) {
    if (!kept.contains(name)) {
      patch[name] = nullptr;
    }
  }
  return patch;
}

}

std::string
PatchBetween(const Content& aFrom, const ContentTexts& aTo)
{
  Json patch = Json::object();
  if (aFrom.LimitsText() != aTo.m_limits) {
    patch["limits"] = EntityPatch(aFrom.LimitsText(), aTo.m_limits);
  }
  Json routes = EntitiesPatch(aFrom.Routes(), aTo.m_routes);
  if (!routes.empty()) {
    patch["routes"] = std::move(routes);
  }
  Json services = EntitiesPatch(aFrom.Services(), aTo.m_services);
  if (!services.empty()) {
    patch["services"] = std::move(services);
  }
  return patch.dump();
}

}
