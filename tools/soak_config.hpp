#pragma once

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace greengagehub::testkit {

/// \returns The operators' configuration of the soak: routes for releases and
/// lookups, and a route that only this version has.
inline nlohmann::json
ConfigDocument(std::uint64_t aVersion, const std::string& aNewestPrefix)
{
  using Json = nlohmann::json;
  const auto rule = [](const std::string& aName,
                       const char* aKind,
                       const std::string& aPrefix) -> Json {
    return { { "name", aName },
             { "kind", aKind },
             { "target_latency_ms", 500 },
             { "priority", 1 },
             { "match", { { "prefix", aPrefix } } },
             { "action",
               { { "service", "lockers" },
                 { "timeout_ms", 1500 },
                 { "attempts", 2 } } } };
  };
  return {
    { "version", fmt::format("{:08x}", 3 * aVersion) },
    { "listeners",
      { { { "host", "a.example" },
          { "rules",
            Json::array({ rule("release", "unsafe", "/release/"),
                          rule("read", "safe", "/read/"),
                          rule("newest", "safe", aNewestPrefix) }) } } } },
    { "clusters",
      Json::array({ { { "name", "lockers" },
                      { "health_check_path", "/healthz" },
                      { "max_connections", 50 } } }) }
  };
}

}
