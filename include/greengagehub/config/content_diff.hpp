#pragma once

#include "greengagehub/config/content.hpp"

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

/// \brief Canonical JSON of each part of a content.
struct ContentTexts
{
  std::string m_limits;
  std::vector<EntityText> m_routes;
  std::vector<EntityText> m_services;
  std::vector<EntityText> m_workspaces{};
};

/// \returns The merge patch (RFC 7396) from `aFrom` to `aTo`, with only the
/// entities that differ.
[[nodiscard]] std::string
PatchBetween(const Content& aFrom, const ContentTexts& aTo);

}
