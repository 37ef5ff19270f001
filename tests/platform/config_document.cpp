#include "platform/config_document.hpp"

#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/config/content_diff.hpp"

#include "support/odd_entries.hpp"
#include "support/random_config.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

constexpr const char* kDocument = R"({
  "version":"0000000c",
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
            "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "base_version":"00000005",
  "listeners":[{"host":"lockers.example","rules":[
    {"name":"r-release","kind":"unsafe","target_latency_ms":500,"priority":1,
     "match":{"prefix":"/release/"},
     "action":{"service":"lockers","timeout_ms":1500,"attempts":2}},
    {"name":"r-status","kind":"safe","target_latency_ms":400,"priority":2,
     "match":{"prefix":"/status/"},
     "action":{"weighted_clusters":[{"service":"lockers","weight":90},
                                    {"service":"ledger","weight":10}],
               "timeout_ms":1200,"attempts":3}}]}],
  "clusters":[{"name":"lockers","health_check_path":"/healthz",
               "max_connections":110,"protocol":"h1","tls":false},
              {"name":"ledger","health_check_path":"/healthz",
               "max_connections":110,"protocol":"h1","tls":false}]})";

}

namespace {

const Route&
RouteOf(const Content& aContent, std::string_view aHost, std::string_view aPath)
{
  for (const auto& [name, route] : aContent.Routes()) {
    if (route->m_value.m_host == aHost && route->m_value.m_path == aPath) {
      return route->m_value;
    }
  }
  FAIL("no such route: " << aHost << aPath);
  return aContent.Routes().begin()->second->m_value;
}

}

TEST_CASE("a document is translated into a content")
{
  platform::ConfigReader reader;
  const auto document = reader.Read(kDocument);
  REQUIRE(document);
  CHECK(document.value().m_version == Version{ 12 });
  Content content;
  REQUIRE(content.Assign(document.value().m_content).empty());
  CHECK(content.GetLimits().m_maxHeadBytes == 16384);
  CHECK(content.GetLimits().m_idleTimeout == std::chrono::seconds{ 15 });
  CHECK(content.Services().at("lockers")->m_value.m_connections == 110);
  const Route& release = RouteOf(content, "lockers.example", "/release/");
  CHECK(release.m_host == "lockers.example");
  CHECK(release.m_path == "/release/");
  CHECK(release.m_service == "lockers");
  CHECK(release.m_idempotency == Route::Idempotency::No);
  CHECK(release.m_deadline == std::chrono::milliseconds{ 1500 });
  CHECK(release.m_targetLatency == std::chrono::milliseconds{ 500 });
  CHECK(release.m_attempts == 2);
  CHECK(release.m_priority == 1);
  const Route& status = RouteOf(content, "lockers.example", "/status/");
  CHECK(status.m_service.empty());
  REQUIRE(status.m_split.size() == 2);
  CHECK(status.m_split[1].m_weight == 90);
  const auto again = reader.Read(kDocument);
  REQUIRE(again);
  Content repeated = content;
  REQUIRE(repeated.Assign(again.value().m_content).empty());
  CHECK(PatchBetween(content, repeated) == "{}");
}

TEST_CASE("an invalid document is rejected as a whole")
{
  platform::ConfigReader reader;
  for (const char* text :
       { "",
         "{",
         "[]",
         R"({"version":"xyz","listeners":[],"clusters":[]})",
         R"({"version":"01","clusters":[]})",
         R"({"version":"01","listeners":[{}],"clusters":[]})",
         R"({"version":1,"listeners":[],"clusters":[]})" }) {
    CAPTURE(text);
    CHECK_FALSE(reader.Read(text));
  }
}

TEST_CASE("tenants become workspaces with digests of their API keys")
{
  platform::ConfigReader reader;
  const auto document = reader.Read(R"({
    "version":"01","limits":{},
    "tenants":[{"name":"wards","api_keys":["plain-key"],"priority":1,
                "per_s":2.5,"burst":4}],
    "listeners":[{"host":"a.example","rules":[
      {"name":"r-open","kind":"download","public":true,
       "match":{"prefix":"/open/"},
       "action":{"service":"s","timeout_ms":1000,"attempts":2}}]}],
    "clusters":[{"name":"s"}]})");
  REQUIRE(document);
  Content content;
  REQUIRE(content.Assign(document.value().m_content).empty());
  const Workspace& wards = content.Workspaces().at("wards")->m_value;
  REQUIRE(wards.m_keys.size() == 1);
  CHECK(wards.m_keys[0] == Sha256("plain-key"));
  CHECK(wards.m_priority == 1);
  CHECK(wards.m_perSecond == 2.5);
  CHECK(wards.m_burst == 4.0);
  CHECK(content.ToJson().find("plain-key") == std::string::npos);
  const Route& open = RouteOf(content, "a.example", "/open/");
  CHECK(open.m_public);
  CHECK(open.m_idempotency == Route::Idempotency::Yes);
}

TEST_CASE("an invalid tenant rejects the whole document")
{
  platform::ConfigReader reader;
  for (const char* tenant : { R"({"api_keys":["k"]})",
                              R"({"name":"a","api_keys":"k"})",
                              R"({"name":"a","api_keys":[1]})",
                              R"({"name":5})",
                              R"("a")" }) {
    CAPTURE(tenant);
    CHECK_FALSE(reader.Read(std::string{ R"({"version":"01","tenants":[)" } +
                            tenant + R"(],"listeners":[],"clusters":[]})"));
  }
  for (const char* tenants : { "{}", "5", R"("a")" }) {
    CAPTURE(tenants);
    CHECK_FALSE(reader.Read(std::string{ R"({"version":"01","tenants":)" } +
                            tenants + R"(,"listeners":[],"clusters":[]})"));
  }
}

namespace {

using test::RandomConfig;
using Json = nlohmann::json;

void
MoveField(const Json& aFrom, const char* aFromKey, Json& aTo, const char* aKey)
{
  if (aFrom.contains(aFromKey)) {
    aTo[aKey] = aFrom.at(aFromKey);
  }
}

/// Without workspaces, as a document has their keys in plain text.
Json
DocumentOf(const RandomConfig& aConfig, int aVersion)
{
  std::map<std::string, Json> rules;
  for (const auto& each : aConfig.Routes().items()) {
    const Json& route = each.value();
    Json rule{ { "name", each.key() },
               { "kind", route.at("idempotent") ? "safe" : "unsafe" },
               { "match", { { "prefix", route.at("path") } } } };
    Json& action = rule["action"];
    MoveField(route, "service", action, "service");
    MoveField(route, "deadline_ms", action, "timeout_ms");
    MoveField(route, "attempts", action, "attempts");
    if (route.contains("split")) {
      action["weighted_clusters"] = Json::array();
      for (const auto& part : route.at("split").items()) {
        action["weighted_clusters"].push_back(
          { { "service", part.key() }, { "weight", part.value() } });
      }
    }
    for (const char* name : { "public", "priority", "target_latency_ms" }) {
      MoveField(route, name, rule, name);
    }
    rules[route.at("host")].push_back(rule);
  }
  Json document{ { "version", fmt::format("{:08x}", aVersion) },
                 { "listeners", Json::array() },
                 { "clusters", Json::array() } };
  for (const auto& [host, each] : rules) {
    document["listeners"].push_back({ { "host", host }, { "rules", each } });
  }
  for (const auto& each : aConfig.Services().items()) {
    Json cluster{ { "name", each.key() } };
    MoveField(each.value(), "connections", cluster, "max_connections");
    MoveField(each.value(), "health_path", cluster, "health_check_path");
    document["clusters"].push_back(cluster);
  }
  Json& limits = document["limits"] = Json::object();
  MoveField(aConfig.Limits(), "max_head_bytes", limits, "max_header_bytes");
  MoveField(aConfig.Limits(), "max_body_bytes", limits, "max_body_bytes");
  MoveField(aConfig.Limits(), "head_timeout_ms", limits, "header_timeout_ms");
  MoveField(aConfig.Limits(), "idle_timeout_ms", limits, "idle_timeout_ms");
  return document;
}

}

TEST_CASE("the translation of a document does not depend on those before it")
{
  // Guards against a cached translation that differs from a new one, and
  // against a content that mixes two documents.
  Random random{ 5 };
  for (int i = 0; i < 100; ++i) {
    CAPTURE(i);
    platform::ConfigReader reader;
    ConfigHolder holder;
    for (int version = 1; version <= 4; ++version) {
      const RandomConfig config{ random };
      const std::string text = DocumentOf(config, version).dump();
      const auto document = reader.Read(text);
      REQUIRE(document);
      REQUIRE(holder.StageDocument(document.value().m_version,
                                   document.value().m_content) ==
              StageResult::Applied);
      platform::ConfigReader newReader;
      const auto again = newReader.Read(text);
      REQUIRE(again);
      Content expected;
      REQUIRE(expected.Assign(again.value().m_content).empty());
      CHECK(holder.Active()->m_content.GetDigest() == expected.GetDigest());
      CHECK(expected.Routes().size() == config.Routes().size());
      CHECK(Json::parse(expected.ToJson()).at("services") == config.Services());
    }
  }
}

TEST_CASE("rules of two hosts may have one name")
{
  // Guards against routes of one host that replace those of another one.
  platform::ConfigReader reader;
  const auto document = reader.Read(R"({
    "version":"01","clusters":[{"name":"s"}],
    "listeners":[
      {"host":"a.example","rules":[{"name":"r","match":{"prefix":"/a/"},
                                    "action":{"service":"s"}}]},
      {"host":"b.example","rules":[{"name":"r","match":{"prefix":"/b/"},
                                    "action":{"service":"s"}}]}]})");
  REQUIRE(document);
  Content content;
  REQUIRE(content.Assign(document.value().m_content).empty());
  CHECK(content.Routes().size() == 2);
  CHECK(RouteOf(content, "a.example", "/a/").m_service == "s");
  CHECK(RouteOf(content, "b.example", "/b/").m_service == "s");
}

TEST_CASE("an empty list of tenants accepts no key")
{
  // Guards against a version that takes away the last tenant and thereby lets
  // requests with any key in.
  platform::ConfigReader reader;
  Content content;
  const auto read = [&](const char* aTenants) {
    const auto document = reader.Read(fmt::format(
      R"({{"version":"01",{}"listeners":[],"clusters":[]}})", aTenants));
    REQUIRE(document);
    REQUIRE(content.Assign(document.value().m_content).empty());
    return content.GetLimits().m_requiresKey;
  };
  CHECK_FALSE(read(""));
  CHECK(read(R"("tenants":[],)"));
  CHECK_FALSE(read(""));
  CHECK(read(R"("limits":{"max_body_bytes":9},"tenants":[],)"));
  CHECK(content.GetLimits().m_maxBodyBytes == 9);
  CHECK_FALSE(read(R"("tenants":[{"name":"a","api_keys":["k"]}],)"));
}

TEST_CASE("an odd configuration ends no daemon")
{
  // Guards against values that are nested too deep or out of range.
  const std::string rule =
    R"({"name":"r","kind":"safe","target_latency_ms":500,"priority":1,
        "match":{"prefix":"/a/"},"action":{"service":"s","timeout_ms":9}})";
  const auto document = [](const std::string& aRule) {
    return R"({"version":"0000000c","limits":{},"listeners":[{"host":"h",)"
           R"("rules":[)" +
           aRule + R"(]}],"clusters":[{"name":"s"}]})";
  };
  REQUIRE(platform::ConfigReader{}.Read(document(rule)));
  for (const std::string& each : test::OddVariantsOf(rule)) {
    platform::ConfigReader reader;
    const auto read = reader.Read(document(each));
    if (read) {
      Content content;
      static_cast<void>(content.Assign(read.value().m_content));
    }
  }
  std::string nested = rule;
  const std::string_view prefix = R"("/a/")";
  nested.replace(nested.find(prefix), prefix.size(), test::DeeplyNested());
  platform::ConfigReader reader;
  const auto read = reader.Read(document(nested));
  if (read) {
    Content content;
    CHECK_FALSE(content.Assign(read.value().m_content).empty());
  }
}
