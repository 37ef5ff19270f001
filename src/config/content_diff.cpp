#include "greengagehub/config/content_diff.hpp"

#include <nlohmann/json.hpp>

namespace greengagehub {

namespace {

using Json = nlohmann::json;

/// A merge patch keeps absent members at every depth, so that each removed one
/// is set to null.
Json
PatchBetween(const Json& aFrom, const Json& aTo)
{
  if (!aFrom.is_object() || !aTo.is_object()) {
    return aTo;
  }
  Json patch = Json::object();
  for (const auto& member : aFrom.items()) {
    if (!aTo.contains(member.key())) {
      patch[member.key()] = nullptr;
    }
  }
  for (const auto& member : aTo.items()) {
    const auto before = aFrom.find(member.key());
    if (before == aFrom.end()) {
      patch[member.key()] = member.value();
    } else if (*before != member.value()) {
      patch[member.key()] = PatchBetween(*before, member.value());
    }
  }
  return patch;
}

std::string
PatchBetween(const std::string& aFrom, const std::string& aTo)
{
  return PatchBetween(Json::parse(aFrom), Json::parse(aTo)).dump();
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
void
AddEntities(ObjectBuilder& aPatch,
            const char* aKind,
            const EntityMap<T>& aFrom,
            const EntityMap<T>& aTo)
{
  ObjectBuilder patch;
  for (const auto& [name, entity] : aTo) {
    const auto before = aFrom.find(name);
    if (before == aFrom.end()) {
      patch.Add(name, entity->m_text);
    } else if (before->second->m_text != entity->m_text) {
      patch.Add(name, PatchBetween(before->second->m_text, entity->m_text));
    }
  }
  for (const auto& [name, entity] : aFrom) {
    if (!aTo.contains(name)) {
      patch.Add(name, "null");
    }
  }
  if (!patch.IsEmpty()) {
    aPatch.Add(aKind, patch.Text());
  }
}

}

std::string
PatchBetween(const Content& aFrom, const Content& aTo)
{
  ObjectBuilder patch;
  if (aFrom.LimitsText() != aTo.LimitsText()) {
    patch.Add("limits", PatchBetween(aFrom.LimitsText(), aTo.LimitsText()));
  }
  AddEntities(patch, "routes", aFrom.Routes(), aTo.Routes());
  AddEntities(patch, "services", aFrom.Services(), aTo.Services());
  AddEntities(patch, "workspaces", aFrom.Workspaces(), aTo.Workspaces());
  return patch.Text();
}

}
