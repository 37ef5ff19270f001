#include "greengagehub/config/config_copy.hpp"
#include "greengagehub/config/decision.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "support/damage.hpp"
#include "support/odd_entries.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <nlohmann/json.hpp>

// Other writers can store arbitrary values under the daemon's keys. Guards
// against crashes on, and partial reads of, malformed values.

using namespace greengagehub;
using Json = nlohmann::json;

namespace {

const std::vector<Json> kWrongValues{ nullptr,        true,   -1, 6.5,
                                      1e30,           "text", "", Json::array(),
                                      Json::object(), { 1 } };

const std::vector<std::string> kMalformed{ "",
                                           "null",
                                           "7",
                                           "[]",
                                           "\"x\"",
                                           "{",
                                           "\xff\xfe",
                                           std::string(100'000, '['),
                                           "{\"a\":",
                                           "[1e99999999]",
                                           "\x28\xb5\x2f\xfd garbage" };

bool
IsCompatible(const Json& aLeft, const Json& aRight)
{
  return aLeft.type() == aRight.type() && !aRight.is_string();
}

/// Checks that a value is rejected if one field is missing or has another type.
void
CheckEachField(const Json& aWhole,
               const std::vector<std::string>& aFreeTextFields,
               const std::function<bool(const Json&)>& aIsRejected)
{
  REQUIRE_FALSE(aIsRejected(aWhole));
  for (auto field = aWhole.begin(); field != aWhole.end(); ++field) {
    const std::string& name = field.key();
    const Json& value = field.value();
    CAPTURE(name);
    Json without = aWhole;
    without.erase(name);
    CHECK(aIsRejected(without));
    const bool isFreeText =
      std::find(aFreeTextFields.begin(), aFreeTextFields.end(), name) !=
      aFreeTextFields.end();
    for (const Json& each : kWrongValues) {
      if (IsCompatible(each, value) || (isFreeText && each.is_string())) {
        continue;
      }
      CAPTURE(each);
      Json changed = aWhole;
      changed[name] = each;
      CHECK(aIsRejected(changed));
    }
  }
}

Decision
SomeDecision(bool aAccepted)
{
  Decision decision;
  decision.m_sequence = 3;
  decision.m_id = "p";
  decision.m_author = "a";
  decision.m_accepted = aAccepted;
  decision.m_entry.m_version = Version{ 3 };
  decision.m_entry.m_patch = "{}";
  if (!aAccepted) {
    decision.m_reasons.push_back({ ReasonCode::StaleBase, "/base", "older" });
  }
  return decision;
}

DecisionLog
SomeLog()
{
  DecisionLog log;
  log.m_head = Version{ 3 };
  log.m_decisions = { SomeDecision(true), SomeDecision(false) };
  return log;
}

}

TEST_CASE("a malformed manifest is rejected")
{
  const SnapshotManifest manifest{ { Version{ 4 }, "", {}, {}, {} }, 2 };
  CheckEachField(
    Json::parse(ManifestToJson(manifest)), {}, [](const Json& aJson) {
      return !ParseManifest(aJson.dump());
    });
  for (const std::string& each : kMalformed) {
    CHECK_FALSE(ParseManifest(each));
  }
}

TEST_CASE("a malformed log is rejected")
{
  CheckEachField(Json::parse(LogToJson(SomeLog())), {}, [](const Json& aJson) {
    return !ParseLog(aJson.dump());
  });
  for (const std::string& each : kMalformed) {
    CHECK_FALSE(ParseLog(each));
  }
}

TEST_CASE("malformed decisions are rejected")
{
  for (const bool accepted : { true, false }) {
    CheckEachField(Json::parse(DecisionToJson(SomeDecision(accepted))),
                   { "id", "author", "patch" },
                   [](const Json& aJson) {
                     return !ParseDecisions(Json::array({ aJson }).dump());
                   });
  }
  const Json rejected = Json::parse(DecisionToJson(SomeDecision(false)));
  CheckEachField(
    rejected["reasons"][0], { "place", "detail" }, [&](const Json& aReason) {
      Json decision = rejected;
      decision["reasons"][0] = aReason;
      return !ParseDecisions(Json::array({ decision }).dump());
    });
  for (const std::string& each : kMalformed) {
    if (each != "[]") {
      CHECK_FALSE(ParseDecisions(each));
    }
  }
}

TEST_CASE("malformed index lines are ignored")
{
  // Guards against losing the valid lines of the same bucket.
  const std::string digest = IndexDigest("p");
  const std::string good = digest + " 17\n";
  for (const std::string& bad : { digest + "\n",
                                  digest + " \n",
                                  digest + " x\n",
                                  digest + " -4\n",
                                  digest + " 4x\n",
                                  digest + " 99999999999999999999999\n",
                                  digest + "17\n",
                                  std::string{ "\n\n \n\xff\n" } }) {
    CAPTURE(bad);
    CHECK(FindInIndex(bad, "p").empty());
    std::string mixed = bad;
    mixed.append(good).append(bad);
    CHECK(FindInIndex(mixed, "p") == std::vector<std::uint64_t>{ 17 });
  }
}

TEST_CASE("damaged store values cause no crash")
{
  // Guards against exceptions and unbounded reads.
  Random random{ 17 };
  const std::string log = LogToJson(SomeLog());
  const std::string decisions =
    DecisionsToJson({ SomeDecision(true), SomeDecision(false) });
  const std::string manifest =
    ManifestToJson({ { Version{ 4 }, "", {}, {}, {} }, 2 });
  const std::string copy = FormatConfigCopy(42, "a document");
  const std::string index = IndexDigest("p") + " 17\n";
  constexpr std::size_t kMaxBytes = 1024;
  for (int i = 0; i < 20'000; ++i) {
    static_cast<void>(ParseLog(test::Damaged(log, random)));
    static_cast<void>(ParseDecisions(test::Damaged(decisions, random)));
    const auto read = ParseManifest(test::Damaged(manifest, random));
    if (read) {
      CHECK(read.value().m_partCount < 1000);
    }
    const auto copied = ParseConfigCopy(test::Damaged(copy, random), kMaxBytes);
    if (copied) {
      CHECK(copied.value().m_document.size() <= kMaxBytes);
    }
    static_cast<void>(FindInIndex(test::Damaged(index, random), "p"));
  }
}

TEST_CASE("an operator's odd patch ends no daemon")
{
  // Guards against values that are nested too deep for a recursive function.
  const std::string deep = test::DeeplyNested();
  const std::vector<std::string> patches{
    deep,
    R"({"services":)" + deep + "}",
    R"({"services":{"a":{"health_path":)" + deep + "}}}",
    R"({"routes":{"r":{"host":"h","path":"/","service":)" + deep + "}}}",
    R"({"limits":{"max_body_bytes":)" + deep + "}}",
    R"({"services":{"a":{"x":1e999}}})"
  };
  for (const std::string& each : patches) {
    CHECK_FALSE(CanonicalPatch(each));
    Content content;
    CHECK_FALSE(content.Apply(each).empty());
    static_cast<void>(ParseLog(each));
    static_cast<void>(ParseDecisions(each));
    static_cast<void>(ParseManifest(each));
  }
}
