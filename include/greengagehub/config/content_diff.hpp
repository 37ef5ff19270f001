#pragma once

#include "greengagehub/config/content.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief An entity as canonical JSON.
struct NamedText
{
  std::string m_name;
  std::string_view m_text;
};

/// \brief A whole content, entity by entity, as canonical JSON.
struct ContentTexts
{
  std::string m_limits;
  std::vector<NamedText> m_routes;
  std::vector<NamedText> m_services;
  std::vector<NamedText> m_workspaces{};
};

/// \returns The merge patch (RFC 7396) that makes `aTo` of `aFrom`; it holds
/// only what differs, so that peers can be sent a change instead of a content.
[[nodiscard]] std::string
PatchBetween(const Content& aFrom, const ContentTexts& aTo);

}
