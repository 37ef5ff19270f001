#pragma once

#include "greengagehub/config/content_texts.hpp"
#include "greengagehub/core/digest.hpp"
#include "greengagehub/core/random.hpp"

#include <deque>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace greengagehub::test {

/// \brief A random valid configuration as JSON of entities by name.
///
/// All are drawn from a few names, hosts and values, so that any two have
/// entities in common, with equal and with different fields.
class RandomConfig
{
public:
  explicit RandomConfig(Random& aRandom)
    : m_random(aRandom)
  {
    AddLimits();
    AddServices();
    AddRoutes();
    AddWorkspaces();
  }

  using Json = nlohmann::json;

  [[nodiscard]] const Json& Limits() const noexcept { return m_limits; }
  [[nodiscard]] const Json& Services() const noexcept { return m_services; }
  [[nodiscard]] const Json& Routes() const noexcept { return m_routes; }
  [[nodiscard]] const Json& Workspaces() const noexcept { return m_workspaces; }
  /// \returns The configuration as the merge patch from the empty content.
  [[nodiscard]] std::string Text() const
  {
    return Json{
      { "limits", m_limits },
      { "services", m_services },
      { "routes", m_routes },
      { "workspaces", m_workspaces }
    }.dump();
  }
  /// \returns Views into this object.
  [[nodiscard]] ContentTexts Texts()
  {
    m_texts.clear();
    return { m_limits.dump(),
             TextsOf(m_routes),
             TextsOf(m_services),
             TextsOf(m_workspaces) };
  }

private:
  static constexpr std::uint64_t kServices = 4;
  static constexpr std::uint64_t kRoutes = 5;
  static constexpr std::uint64_t kHosts = 3;
  static constexpr std::uint64_t kWorkspaces = 3;

  [[nodiscard]] bool Chance(std::uint64_t aPercent)
  {
    return Below(m_random, 100) < aPercent;
  }

  /// Adds a field to some of the objects, with one of three values.
  void MayAdd(Json& aObject, const char* aName, std::uint64_t aStep)
  {
    if (Chance(50)) {
      aObject[aName] = aStep * (1 + Below(m_random, 3));
    }
  }

  void AddLimits()
  {
    MayAdd(m_limits, "max_head_bytes", 1000);
    MayAdd(m_limits, "max_body_bytes", 1000);
    MayAdd(m_limits, "head_timeout_ms", 500);
    MayAdd(m_limits, "idle_timeout_ms", 500);
  }

  void AddServices()
  {
    for (std::uint64_t i = 0; i < kServices; ++i) {
      if (Chance(70) || (i + 1 == kServices && m_services.empty())) {
        Json service = Json::object();
        MayAdd(service, "connections", 10);
        if (Chance(50)) {
          service["health_path"] = "/healthz";
        }
        m_services[fmt::format("s{}", i)] = service;
      }
    }
  }

  [[nodiscard]] std::string AnyService()
  {
    auto at = m_services.begin();
    std::advance(at,
                 static_cast<std::ptrdiff_t>(
                   Below(m_random, std::uint64_t{ m_services.size() })));
    return at.key();
  }

  void AddRoutes()
  {
    for (std::uint64_t i = 0; i < kRoutes; ++i) {
      if (Chance(30)) {
        continue;
      }
      Json route{ { "host",
                    fmt::format("h{}.example", Below(m_random, kHosts)) },
                  { "path", fmt::format("/r{}/", i) },
                  { "idempotent", Chance(50) } };
      if (Chance(40)) {
        route["service"] = AnyService();
      } else {
        for (std::uint64_t parts = 1 + Below(m_random, 3); parts > 0; --parts) {
          route["split"][AnyService()] = 50 * Below(m_random, 3);
        }
      }
      MayAdd(route, "deadline_ms", 500);
      MayAdd(route, "attempts", 1);
      MayAdd(route, "priority", 1);
      MayAdd(route, "target_latency_ms", 100);
      if (Chance(30)) {
        route["public"] = Chance(50);
      }
      m_routes[fmt::format("r{}", i)] = route;
    }
  }

  void AddWorkspaces()
  {
    for (std::uint64_t i = 0; i < kWorkspaces; ++i) {
      if (Chance(40)) {
        continue;
      }
      Json workspace{ { "keys", Json::array() } };
      for (std::uint64_t key = 0; key < 3; ++key) {
        if (Chance(60)) {
          workspace["keys"].push_back(
            ToHex(Sha256(fmt::format("key-{}-{}", i, key))));
        }
      }
      MayAdd(workspace, "per_second", 10);
      MayAdd(workspace, "burst", 5);
      MayAdd(workspace, "priority", 1);
      m_workspaces[fmt::format("w{}", i)] = workspace;
    }
  }

  [[nodiscard]] std::vector<EntityText> TextsOf(const Json& aEntities)
  {
    std::vector<EntityText> texts;
    for (const auto& each : aEntities.items()) {
      texts.push_back(
        { each.key(), m_texts.emplace_back(each.value().dump()) });
    }
    return texts;
  }

  Random& m_random;
  Json m_limits = Json::object();
  Json m_services = Json::object();
  Json m_routes = Json::object();
  Json m_workspaces = Json::object();
  std::deque<std::string> m_texts;
};

}
