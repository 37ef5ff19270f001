#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief Name and canonical JSON of an entity; does not own the JSON.
struct EntityText
{
  std::string m_name;
  std::string_view m_text;
};

/// \brief Canonical JSON of each part of a content. Of entities with one name,
/// the last one counts.
struct ContentTexts
{
  std::string m_limits;
  std::vector<EntityText> m_routes;
  std::vector<EntityText> m_services;
  std::vector<EntityText> m_workspaces{};
};

}
