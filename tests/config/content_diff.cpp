#include "greengagehub/config/content_diff.hpp"
#include "greengagehub/config/config_holder.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;

namespace {

constexpr const char* kService = R"({"connections":10})";
constexpr const char* kRoute = R"({"path":"/a/","service":"s"})";
constexpr const char* kSplitRoute = R"({"path":"/a/","split":{"s":9,"t":1}})";

ContentTexts
Texts(std::vector<EntityText> aRoutes)
{
  return { "{}", std::move(aRoutes), { { "s", kService }, { "t", kService } } };
}

StageResult
Stage(ConfigHolder& aHolder, std::uint64_t aVersion, const ContentTexts& aTexts)
{
  return aHolder.StagePatch(Version{ aVersion },
                            PatchBetween(aHolder.Active()->m_content, aTexts));
}

}

TEST_CASE("a patch has only the differences and leads to the same content")
{
  ConfigHolder source;
  REQUIRE(Stage(source, 3, Texts({ { "a", kRoute } })) == StageResult::Applied);
  ConfigHolder peer;
  bool complete = false;
  for (const VersionEntry& each : source.EntriesAfter(Version{ 0 }, complete)) {
    CHECK(peer.Stage(each) == StageResult::Applied);
  }
  REQUIRE(complete);

  // Replaces one field of a route by another: the patch must remove the old
  // field, as a route with both is invalid.
  REQUIRE(Stage(source, 7, Texts({ { "a", kSplitRoute } })) ==
          StageResult::Applied);
  const auto entries = source.EntriesAfter(Version{ 3 }, complete);
  REQUIRE(complete);
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].m_patch.find("connections") == std::string::npos);
  CHECK(peer.Stage(entries[0]) == StageResult::Applied);
  CHECK(peer.GetVersion() == Version{ 7 });
  CHECK(peer.Active()->m_content.ToJson() ==
        source.Active()->m_content.ToJson());
}

TEST_CASE("a patch on a version that was never active here is not applied")
{
  // Two daemons can skip different versions of the store. Guards against
  // applying a patch to another base, which gives a content nobody submitted.
  ConfigHolder source;
  REQUIRE(Stage(source, 3, Texts({})) == StageResult::Applied);
  REQUIRE(Stage(source, 5, Texts({ { "a", kRoute } })) == StageResult::Applied);
  ConfigHolder peer;
  REQUIRE(Stage(peer, 4, Texts({})) == StageResult::Applied);
  bool complete = false;
  const auto entries = source.EntriesAfter(Version{ 3 }, complete);
  REQUIRE(entries.size() == 1);
  CHECK(peer.Stage(entries[0]) == StageResult::Gap);
  CHECK(peer.GetVersion() == Version{ 4 });
  static_cast<void>(source.EntriesAfter(Version{ 4 }, complete));
  CHECK_FALSE(complete);
}

TEST_CASE("versions of a source only increase")
{
  ConfigHolder holder;
  REQUIRE(Stage(holder, 5, Texts({})) == StageResult::Applied);
  CHECK(Stage(holder, 4, Texts({ { "a", kRoute } })) == StageResult::NotNewer);
  CHECK(holder.Active()->m_content.Routes().empty());
}
