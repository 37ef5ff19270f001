#include "greengagehub/workspaces/workspace_table.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace greengagehub;

namespace {

std::string
KeysJson(std::initializer_list<std::string_view> aKeys)
{
  std::string list;
  for (const std::string_view each : aKeys) {
    list += list.empty() ? "" : ",";
    list += fmt::format("\"{}\"", ToHex(Sha256(each)));
  }
  return fmt::format(R"("keys":[{}])", list);
}

Content
MakeContent(const std::string& aPatch)
{
  Content content;
  REQUIRE(content.Apply(aPatch).empty());
  return content;
}

}

TEST_CASE("a key maps to its workspace and an unknown key to none")
{
  WorkspaceTable table;
  table.Update(MakeContent(fmt::format(
    R"({{"workspaces":{{"a":{{{},"priority":2,"per_second":2.5,"burst":7}},"b":{{{}}}}}}})",
    KeysJson({ "one", "two" }),
    KeysJson({ "three" }))));
  REQUIRE(table.FindByKey("two") != nullptr);
  CHECK(table.FindByKey("two")->m_name == "a");
  CHECK(table.FindByKey("two")->m_perSecond == 2.5);
  CHECK(table.FindByKey("three")->m_name == "b");
  CHECK(table.FindByKey("four") == nullptr);
  CHECK(table.FindByKey("") == nullptr);
  // The digest of a key in the configuration is not accepted as a key.
  CHECK(table.FindByKey(ToHex(Sha256("one"))) == nullptr);
}

TEST_CASE("a removed key is unknown after the update")
{
  Content content = MakeContent(fmt::format(
    R"({{"workspaces":{{"a":{{{}}}}}}})", KeysJson({ "one", "two" })));
  WorkspaceTable table;
  table.Update(content);
  REQUIRE(content
            .Apply(fmt::format(R"({{"workspaces":{{"a":{{{}}}}}}})",
                               KeysJson({ "two" })))
            .empty());
  table.Update(content);
  CHECK(table.FindByKey("one") == nullptr);
  CHECK(table.FindByKey("two") != nullptr);
  REQUIRE(content.Apply(R"({"workspaces":{"a":null}})").empty());
  table.Update(content);
  CHECK(table.IsEmpty());
  CHECK(table.KeyCount() == 0);
}

TEST_CASE("a key that moves between workspaces belongs only to the new one")
{
  Content content =
    MakeContent(fmt::format(R"({{"workspaces":{{"a":{{{}}},"b":{{{}}}}}}})",
                            KeysJson({ "one" }),
                            KeysJson({ "two" })));
  WorkspaceTable table;
  table.Update(content);
  REQUIRE(content
            .Apply(fmt::format(R"({{"workspaces":{{"a":{{{}}},"b":{{{}}}}}}})",
                               KeysJson({ "two" }),
                               KeysJson({ "one" })))
            .empty());
  table.Update(content);
  CHECK(table.FindByKey("one")->m_name == "b");
  CHECK(table.FindByKey("two")->m_name == "a");
  CHECK(table.KeyCount() == 2);
}

TEST_CASE(
  "a key shared by two workspaces is rejected and not repeated in the reason")
{
  Content content;
  const auto reasons =
    content.Apply(fmt::format(R"({{"workspaces":{{"a":{{{}}},"b":{{{}}}}}}})",
                              KeysJson({ "one" }),
                              KeysJson({ "one" })));
  REQUIRE(reasons.size() == 1);
  CHECK(reasons[0].m_code == ReasonCode::DuplicateKey);
  CHECK(reasons[0].m_detail.find(ToHex(Sha256("one"))) == std::string::npos);
}

TEST_CASE("a key in plain text is rejected and not repeated in the reason")
{
  Content content;
  const auto reasons =
    content.Apply(R"({"workspaces":{"a":{"keys":["secret"]}}})");
  REQUIRE(reasons.size() == 1);
  CHECK(reasons[0].m_detail.find("secret") == std::string::npos);
}

TEST_CASE("requests are ranked by workspace before route")
{
  WorkspaceTable table;
  table.Update(MakeContent(fmt::format(
    R"({{"services":{{"s":{{}}}},
         "routes":{{"r":{{"path":"/a","service":"s","priority":2}}}},
         "workspaces":{{"a":{{{},"priority":0}},"b":{{{},"priority":1}}}}}})",
    KeysJson({ "one" }),
    KeysJson({ "two" }))));
  const WorkspaceRow& first = *table.FindByKey("one");
  const WorkspaceRow& second = *table.FindByKey("two");
  CHECK(table.RankOf(first, 0) < table.RankOf(first, 2));
  CHECK(table.RankOf(first, 2) < table.RankOf(second, 0));
}

TEST_CASE("a workspace's weight is configured or follows from its rate")
{
  // Guards against shares that ignore what the configuration promises.
  WorkspaceTable table;
  table.Update(MakeContent(fmt::format(
    R"({{"workspaces":{{"a":{{{},"per_second":10,"weight":2.5}},
                       "b":{{{},"per_second":20}},
                       "c":{{{},"per_second":30}},
                       "d":{{{}}}}}}})",
    KeysJson({ "one" }),
    KeysJson({ "two" }),
    KeysJson({ "three" }),
    KeysJson({ "four" }))));
  CHECK(table.WeightOf(*table.FindByKey("one")) == 2500);
  CHECK(table.WeightOf(*table.FindByKey("two")) == 1000);
  CHECK(table.WeightOf(*table.FindByKey("three")) == 1500);
  CHECK(table.WeightOf(*table.FindByKey("four")) == 1000);
}

TEST_CASE("without any rate all workspaces weigh the same")
{
  // Guards against a division by a mean of nothing.
  WorkspaceTable table;
  table.Update(MakeContent(
    fmt::format(R"({{"workspaces":{{"a":{{{}}}}}}})", KeysJson({ "one" }))));
  CHECK(table.WeightOf(*table.FindByKey("one")) == 1000);
}

TEST_CASE("a weight that is not a number of the range is rejected")
{
  // Guards against a weight of nothing, which would starve a workspace.
  for (const char* weight :
       { "0", "-1", "1000.5", "1e300", "\"2\"", "null,\"x\":1" }) {
    CAPTURE(weight);
    Content content;
    const auto reasons = content.Apply(
      fmt::format(R"({{"workspaces":{{"a":{{"weight":{}}}}}}})", weight));
    REQUIRE(reasons.size() == 1);
    CHECK(reasons[0].m_place.starts_with("/workspaces/a/"));
  }
}
