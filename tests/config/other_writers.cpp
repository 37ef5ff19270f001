#include "greengagehub/config/config_copy.hpp"
#include "greengagehub/config/decision.hpp"
#include "greengagehub/config/store_layout.hpp"
#include "support/damage.hpp"

#include <doctest/doctest.h>
#include <functional>
#include <nlohmann/json.hpp>

// Whoever else writes to the store may leave anything under our keys. An entry
// that makes no sense is refused with its place, and is never taken in part: a
// field of another type used to end the process, or to become a number.

using namespace greengagehub;
using Json = nlohmann::json;

namespace {

const std::vector<Json> kWrong{ nullptr,        true,   -1, 6.5,
                                1e30,           "text", "", Json::array(),
                                Json::object(), { 1 } };

const std::vector<std::string> kUnreadable{ "",
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

/// \returns Whether two values are of one type, so that one may stand for the
/// other.
bool
IsAlike(const Json& aLeft, const Json& aRight)
{
  return aLeft.type() == aRight.type() && !aRight.is_string();
}

/// Each field in turn is left out, and replaced by values of other types.
void
CheckEachField(const Json& aWhole,
               const std::vector<std::string>& aMayBeAnyText,
               const std::function<bool(const Json&)>& aIsRefused)
{
  REQUIRE_FALSE(aIsRefused(aWhole));
  for (auto field = aWhole.begin(); field != aWhole.end(); ++field) {
    const std::string& name = field.key();
    const Json& value = field.value();
    CAPTURE(name);
    Json without = aWhole;
    without.erase(name);
    CHECK(aIsRefused(without));
    const bool anyText =
      std::find(aMayBeAnyText.begin(), aMayBeAnyText.end(), name) !=
      aMayBeAnyText.end();
    for (const Json& each : kWrong) {
      if (IsAlike(each, value) || (anyText && each.is_string())) {
        continue;
      }
      CAPTURE(each);
      Json changed = aWhole;
      changed[name] = each;
      CHECK(aIsRefused(changed));
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

TEST_CASE("a manifest of another writer is refused")
{
  const SnapshotManifest manifest{ { Version{ 4 }, "", {}, {}, {} }, 2 };
  CheckEachField(
    Json::parse(ManifestToJson(manifest)), {}, [](const Json& aJson) {
      return !ParseManifest(aJson.dump());
    });
  for (const std::string& each : kUnreadable) {
    CHECK_FALSE(ParseManifest(each));
  }
}

TEST_CASE("a log of another writer is refused")
{
  CheckEachField(Json::parse(LogToJson(SomeLog())), {}, [](const Json& aJson) {
    return !ParseLog(aJson.dump());
  });
  for (const std::string& each : kUnreadable) {
    CHECK_FALSE(ParseLog(each));
  }
}

TEST_CASE("decisions of another writer are refused")
{
  for (const bool accepted : { true, false }) {
    CheckEachField(Json::parse(DecisionToJson(SomeDecision(accepted))),
                   { "id", "author", "patch" },
                   [](const Json& aJson) {
                     return !ParseDecisions(Json::array({ aJson }).dump());
                   });
  }
  const Json refused = Json::parse(DecisionToJson(SomeDecision(false)));
  CheckEachField(
    refused["reasons"][0], { "place", "detail" }, [&](const Json& aReason) {
      Json decision = refused;
      decision["reasons"][0] = aReason;
      return !ParseDecisions(Json::array({ decision }).dump());
    });
  for (const std::string& each : kUnreadable) {
    if (each != "[]") {
      CHECK_FALSE(ParseDecisions(each));
    }
  }
}

TEST_CASE("lines of another writer in an index name no segment")
{
  // The others hold: a decision that stands beside them is still found.
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

TEST_CASE("damaged entries of the store are refused or read, and end nothing")
{
  // 20,000 of each, always the same ones: no exception, no endless read.
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
      CHECK(read.value().m_parts < 1000);
    }
    const auto copied = ParseConfigCopy(test::Damaged(copy, random), kMaxBytes);
    if (copied) {
      CHECK(copied.value().m_document.size() <= kMaxBytes);
    }
    static_cast<void>(FindInIndex(test::Damaged(index, random), "p"));
  }
}
