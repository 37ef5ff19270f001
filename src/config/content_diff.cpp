#include "greengagehub/config/content_diff.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace greengagehub {

namespace {

using Json = nlohmann::json;

/// Sets removed fields to null, as a merge patch keeps absent ones.
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

class ObjectBuilder
{
public:
  /// \param aValue JSON text, inserted without parsing it again.
  void Add(const std::string& aName, std::string_view aValue)
  {
    m_text += m_text.empty() ? "" : ",";
    m_text += Json(aName).dump();
    m_text += ':';
    m_text += aValue;
  }

  [[nodiscard]] bool IsEmpty() const noexcept { return m_text.empty(); }
  [[nodiscard]] std::string Text() const { return '{' + m_text + '}'; }

private:
  std::string m_text;
};

template<class T>
ObjectBuilder
EntitiesPatch(const EntityMap<T>& aFrom, const std::vector<EntityText>& aTo)
{
  ObjectBuilder patch;
  std::set<std::string_view> kept;
  for (const EntityText& each : aTo) {
    kept.insert(each.m_name);
    const auto found = aFrom.find(each.m_name);
    if (found == aFrom.end()) {
      patch.Add(each.m_name, each.m_text);
    } else if (found->second->m_text != each.m_text) {
      patch.Add(each.m_name,
                EntityPatch(found->second->m_text, each.m_text).dump());
    }
  }
  for (const auto& [name, entity] : aFrom) {
    if (!kept.contains(name)) {
      patch.Add(name, "null");
    }
  }
  return patch;
}

}

std::string
PatchBetween(const Content& aFrom, const ContentTexts& aTo)
{
  ObjectBuilder patch;
  if (aFrom.LimitsText() != aTo.m_limits) {
    patch.Add("limits", EntityPatch(aFrom.LimitsText(), aTo.m_limits).dump());
  }
  const ObjectBuilder routes = EntitiesPatch(aFrom.Routes(), aTo.m_routes);
  if (!routes.IsEmpty()) {
    patch.Add("routes", routes.Text());
  }
  const ObjectBuilder services =
    EntitiesPatch(aFrom.Services(), aTo.m_services);
  if (!services.IsEmpty()) {
    patch.Add("services", services.Text());
  }
  const ObjectBuilder workspaces =
    EntitiesPatch(aFrom.Workspaces(), aTo.m_workspaces);
  if (!workspaces.IsEmpty()) {
    patch.Add("workspaces", workspaces.Text());
  }
  return patch.Text();
}

}
