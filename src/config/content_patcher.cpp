#include "content_patcher.hpp"

#include "entity_parser.hpp"

#include <fmt/format.h>

namespace greengagehub {

using Json = nlohmann::json;

namespace {

constexpr const char* kServices = "services";
constexpr const char* kRoutes = "routes";
constexpr const char* kLimits = "limits";
constexpr const char* kWorkspaces = "workspaces";

Service
ParseEntity(const Json& aObject,
            const std::string& aPlace,
            std::vector<Reason>& aReasons,
            const Service* /*aTag*/)
{
  return ParseService(aObject, aPlace, aReasons);
}

Route
ParseEntity(const Json& aObject,
            const std::string& aPlace,
            std::vector<Reason>& aReasons,
            const Route* /*aTag*/)
{
  return ParseRoute(aObject, aPlace, aReasons);
}

Workspace
ParseEntity(const Json& aObject,
            const std::string& aPlace,
            std::vector<Reason>& aReasons,
            const Workspace* /*aTag*/)
{
  return ParseWorkspace(aObject, aPlace, aReasons);
}

Digest
EntityDigest(const char* aKind, std::string_view aName, std::string_view aText)
{
  return Sha256(fmt::format("{}/{}={}", aKind, aName, aText));
}

template<class T>
boost::intrusive_ptr<const Entity<T>>
MakeEntity(const char* aKind,
           const std::string& aName,
           const Json& aObject,
           T aValue)
{
  auto* entity = new Entity<T>;
  entity->m_value = std::move(aValue);
  entity->m_text = aObject.dump(-1, ' ', false, Json::error_handler_t::replace);
  entity->m_digest = EntityDigest(aKind, aName, entity->m_text);
  return boost::intrusive_ptr<const Entity<T>>{ entity };
}

}

void
ContentPatcher::AddReason(ReasonCode aCode,
                          std::string aPlace,
                          std::string aDetail)
{
  m_reasons.push_back(Reason{ aCode, std::move(aPlace), std::move(aDetail) });
}

std::vector<Reason>
ContentPatcher::Run(const Json& aPatch)
{
  if (!aPatch.is_object()) {
    AddReason(ReasonCode::NotAnObject, "", "expected a JSON object");
    return m_reasons;
  }
  for (const auto& item : aPatch.items()) {
    if (item.key() == kServices) {
      PatchEntities(kServices, m_content.m_services, item.value());
    } else if (item.key() == kRoutes) {
      PatchEntities(kRoutes, m_content.m_routes, item.value());
    } else if (item.key() == kWorkspaces) {
      PatchEntities(kWorkspaces, m_content.m_workspaces, item.value());
    } else if (item.key() == kLimits) {
      PatchLimits(item.value());
    } else {
      AddReason(ReasonCode::UnknownField,
                "/" + PointerToken(item.key()),
                "allowed: limits, routes, services, workspaces");
    }
  }
  CheckReferencesAndDuplicates();
  return m_reasons;
}

std::vector<Reason>
ContentPatcher::Run(const ContentTexts& aTexts)
{
  AssignEntities(kServices, m_content.m_services, aTexts.m_services);
  AssignEntities(kRoutes, m_content.m_routes, aTexts.m_routes);
  AssignEntities(kWorkspaces, m_content.m_workspaces, aTexts.m_workspaces);
  if (aTexts.m_limits != m_content.m_limitsText) {
    SetLimits(Json::parse(aTexts.m_limits));
  }
  CheckReferencesAndDuplicates();
  return m_reasons;
}

void
ContentPatcher::CheckReferencesAndDuplicates()
{
  CheckReferences();
  CheckDuplicateMatches();
  CheckDuplicateKeys();
}

bool
ContentPatcher::CheckName(const std::string& aPlace, const std::string& aName)
{
  if (IsValidName(aName)) {
    return true;
  }
  AddReason(ReasonCode::BadName,
            aPlace,
            "expected 1 to 120 characters of a-z, 0-9, \"-\", \".\"");
  return false;
}

template<class T>
void
ContentPatcher::AssignEntities(const char* aKind,
                               EntityMap<T>& aEntities,
                               const std::vector<EntityText>& aTexts)
{
  // Of entities with one name the last one counts, so that the result does not
  // depend on the entities before.
  std::map<std::string_view, const EntityText*> texts;
  for (const EntityText& each : aTexts) {
    texts[each.m_name] = &each;
  }
  std::vector<std::string> removed;
  for (const auto& [name, entity] : aEntities) {
    if (!texts.contains(name)) {
      removed.push_back(name);
    }
  }
  for (const std::string& each : removed) {
    Remove(aKind, each, aEntities);
  }
  for (const auto& [name, text] : texts) {
    AssignEntity(aKind, aEntities, *text);
  }
}

template<class T>
void
ContentPatcher::AssignEntity(const char* aKind,
                             EntityMap<T>& aEntities,
                             const EntityText& aText)
{
  const auto found = aEntities.find(aText.m_name);
  if (found != aEntities.end() && found->second->m_text == aText.m_text) {
    return;
  }
  const std::string place =
    fmt::format("/{}/{}", aKind, PointerToken(aText.m_name));
  if (!CheckName(place, aText.m_name)) {
    return;
  }
  SetEntity(place, aKind, aText.m_name, aEntities, Json::parse(aText.m_text));
}

template<class T>
void
ContentPatcher::PatchEntities(const char* aKind,
                              EntityMap<T>& aEntities,
                              const Json& aPatch)
{
  if (aPatch.is_null()) {
    while (!aEntities.empty()) {
      Remove(aKind, std::string{ aEntities.begin()->first }, aEntities);
    }
    return;
  }
  if (!aPatch.is_object()) {
    AddReason(ReasonCode::WrongType,
              fmt::format("/{}", aKind),
              "expected an object, or null to remove all");
    return;
  }
  for (const auto& item : aPatch.items()) {
    const std::string place =
      fmt::format("/{}/{}", aKind, PointerToken(item.key()));
    if (CheckName(place, item.key())) {
      PatchEntity(place, aKind, item.key(), aEntities, item.value());
    }
  }
}

template<class T>
void
ContentPatcher::PatchEntity(const std::string& aPlace,
                            const char* aKind,
                            const std::string& aName,
                            EntityMap<T>& aEntities,
                            const Json& aPatch)
{
  if (aPatch.is_null()) {
    Remove(aKind, aName, aEntities);
    return;
  }
  if (!aPatch.is_object()) {
    AddReason(ReasonCode::WrongType,
              aPlace,
              "expected an object, or null to remove it");
    return;
  }
  Json object = Json::object();
  const auto found = aEntities.find(aName);
  if (found != aEntities.end()) {
    object = Json::parse(found->second->m_text);
  }
  object.merge_patch(aPatch);
  SetEntity(aPlace, aKind, aName, aEntities, object);
}

template<class T>
void
ContentPatcher::SetEntity(const std::string& aPlace,
                          const char* aKind,
                          const std::string& aName,
                          EntityMap<T>& aEntities,
                          const Json& aObject)
{
  T value =
    ParseEntity(aObject, aPlace, m_reasons, static_cast<const T*>(nullptr));
  Remove(aKind, aName, aEntities);
  auto entity = MakeEntity(aKind, aName, aObject, std::move(value));
  AddTo(m_content.m_digest, entity->m_digest);
  aEntities.emplace(aName, std::move(entity));
  if (aKind == kRoutes) {
    m_changedRoutes.insert(aName);
  } else if (aKind == kWorkspaces) {
    m_changedWorkspaces.insert(aName);
  } else {
    m_removedServices.erase(aName);
  }
}

template<class T>
void
ContentPatcher::Remove(const char* aKind,
                       const std::string& aName,
                       EntityMap<T>& aEntities)
{
  const auto found = aEntities.find(aName);
  if (found == aEntities.end()) {
    return;
  }
  RemoveFrom(m_content.m_digest, found->second->m_digest);
  aEntities.erase(found);
  if (aKind == kServices) {
    m_removedServices.insert(aName);
  }
}

void
ContentPatcher::PatchLimits(const Json& aPatch)
{
  Json object = Json::parse(m_content.m_limitsText);
  if (!aPatch.is_object() && !aPatch.is_null()) {
    AddReason(ReasonCode::WrongType, "/limits", "expected an object or null");
    return;
  }
  if (aPatch.is_null()) {
    object = Json::object();
  } else {
    object.merge_patch(aPatch);
  }
  SetLimits(object);
}

void
ContentPatcher::SetLimits(const Json& aObject)
{
  m_content.m_limits = ParseLimits(aObject, "/limits", m_reasons);
  // Empty limits must have the digest of absent ones.
  const auto digestOf = [](const std::string& aText) {
    return aText == "{}" ? Digest{} : EntityDigest(kLimits, "", aText);
  };
  RemoveFrom(m_content.m_digest, digestOf(m_content.m_limitsText));
  m_content.m_limitsText =
    aObject.dump(-1, ' ', false, Json::error_handler_t::replace);
  AddTo(m_content.m_digest, digestOf(m_content.m_limitsText));
}

void
ContentPatcher::CheckReferences()
{
  if (m_changedRoutes.empty() && m_removedServices.empty()) {
    return;
  }
  for (const auto& [name, route] : m_content.m_routes) {
    const Route& value = route->m_value;
    if (!value.m_service.empty()) {
      CheckReference(name, "service", value.m_service);
    }
    for (const WeightedService& each : value.m_split) {
      CheckReference(name, "split", each.m_service);
    }
  }
}

void
ContentPatcher::CheckReference(const std::string& aRoute,
                               const char* aField,
                               const std::string& aService)
{
  if (m_content.m_services.contains(aService)) {
    return;
  }
  if (m_changedRoutes.contains(aRoute)) {
    AddReason(ReasonCode::UnknownService,
              fmt::format("/routes/{}/{}", aRoute, aField),
              fmt::format("service \"{}\" does not exist", aService));
  } else {
    AddReason(ReasonCode::ServiceInUse,
              fmt::format("/services/{}", aService),
              fmt::format("route \"{}\" refers to it", aRoute));
  }
}

void
ContentPatcher::CheckDuplicateMatches()
{
  if (m_changedRoutes.empty()) {
    return;
  }
  std::map<std::string, std::string> seen;
  for (const auto& [name, route] : m_content.m_routes) {
    const std::string match =
      route->m_value.m_host + "\n" + route->m_value.m_path;
    const auto [other, isNew] = seen.emplace(match, name);
    if (!isNew) {
      const bool changed = m_changedRoutes.contains(name);
      AddReason(ReasonCode::DuplicateMatch,
                fmt::format("/routes/{}", changed ? name : other->second),
                fmt::format("route \"{}\" has the same host and path",
                            changed ? other->second : name));
    }
  }
}

void
ContentPatcher::CheckDuplicateKeys()
{
  if (m_changedWorkspaces.empty()) {
    return;
  }
  std::map<std::string_view, std::string> owners;
  for (const auto& [name, workspace] : m_content.m_workspaces) {
    for (const Digest& each : workspace->m_value.m_keys) {
      const auto [other, isNew] = owners.emplace(each.View(), name);
      if (!isNew && other->second != name) {
        const bool changed = m_changedWorkspaces.contains(name);
        AddReason(
          ReasonCode::DuplicateKey,
          fmt::format("/workspaces/{}/keys", changed ? name : other->second),
          fmt::format("workspace \"{}\" has the same key",
                      changed ? other->second : name));
      }
    }
  }
}

}
