#pragma once

#include "greengagehub/config/content.hpp"

#include <nlohmann/json.hpp>
#include <set>

namespace greengagehub {

/// \brief Applies one merge patch or one whole content and collects all
/// violations.
class ContentPatcher
{
public:
  explicit ContentPatcher(Content& aContent)
    : m_content(aContent)
  {
  }

  [[nodiscard]] std::vector<Reason> Run(const nlohmann::json& aPatch);
  [[nodiscard]] std::vector<Reason> Run(const ContentTexts& aTexts);

private:
  template<class T>
  void PatchEntities(const char* aKind,
                     EntityMap<T>& aEntities,
                     const nlohmann::json& aPatch);
  template<class T>
  void PatchEntity(const std::string& aPlace,
                   const char* aKind,
                   const std::string& aName,
                   EntityMap<T>& aEntities,
                   const nlohmann::json& aPatch);
  template<class T>
  void Remove(const char* aKind,
              const std::string& aName,
              EntityMap<T>& aEntities);
  /// Replaces the entities of one kind.
  template<class T>
  void AssignEntities(const char* aKind,
                      EntityMap<T>& aEntities,
                      const std::vector<EntityText>& aTexts);
  template<class T>
  void AssignEntity(const char* aKind,
                    EntityMap<T>& aEntities,
                    const EntityText& aText);
  /// \param aObject the entity as it will be.
  template<class T>
  void SetEntity(const std::string& aPlace,
                 const char* aKind,
                 const std::string& aName,
                 EntityMap<T>& aEntities,
                 const nlohmann::json& aObject);
  [[nodiscard]] bool CheckName(const std::string& aPlace,
                               const std::string& aName);
  void PatchLimits(const nlohmann::json& aPatch);
  void SetLimits(const nlohmann::json& aObject);
  void CheckReferencesAndDuplicates();
  void CheckReferences();
  void CheckReference(const std::string& aRoute,
                      const char* aField,
                      const std::string& aService);
  void CheckDuplicateMatches();
  void CheckDuplicateKeys();
  void AddReason(ReasonCode aCode, std::string aPlace, std::string aDetail);

  Content& m_content;
  std::vector<Reason> m_reasons;
  std::set<std::string> m_changedRoutes;
  std::set<std::string> m_removedServices;
  std::set<std::string> m_changedWorkspaces;
};

}
