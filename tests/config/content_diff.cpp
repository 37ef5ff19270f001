#include "greengagehub/config/content_diff.hpp"

#include "greengagehub/config/config_holder.hpp"

#include "support/random_config.hpp"

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

Content
ContentOf(const ContentTexts& aTexts)
{
  Content content;
  REQUIRE(content.Assign(aTexts).empty());
  return content;
}

void
CheckSame(const Content& aContent, const Content& aExpected)
{
  CHECK(aContent.ToJson() == aExpected.ToJson());
  CHECK(aContent.GetDigest() == aExpected.GetDigest());
}

StageResult
Stage(ConfigHolder& aHolder, std::uint64_t aVersion, const ContentTexts& aTexts)
{
  return aHolder.StageDocument(Version{ aVersion }, aTexts);
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

TEST_CASE("a service that leaves a split route is no longer one of its parts")
{
  // Guards against requests that a service gets after a version has removed it
  // from the split of a route.
  ConfigHolder holder;
  REQUIRE(Stage(holder, 3, Texts({ { "a", kSplitRoute } })) ==
          StageResult::Applied);
  const char* other = R"({"path":"/a/","split":{"s":9,"u":1}})";
  const ContentTexts next{ "{}",
                           { { "a", other } },
                           { { "s", kService }, { "u", kService } } };
  REQUIRE(Stage(holder, 5, next) == StageResult::Applied);
  const auto& split =
    holder.Active()->m_content.Routes().at("a")->m_value.m_split;
  REQUIRE(split.size() == 2);
  CHECK(split[0].m_service == "s");
  CHECK(split[1].m_service == "u");
}

TEST_CASE("a document in force does not depend on the versions before it")
{
  // Guards against a content that mixes a version with the one it replaced.
  Random random{ 1 };
  for (int i = 0; i < 300; ++i) {
    CAPTURE(i);
    ConfigHolder holder;
    for (std::uint64_t version = 1; version <= 4; ++version) {
      test::RandomConfig config{ random };
      const Content expected = ContentOf(config.Texts());
      if (version == 3 && Below(random, 2) == 0) {
        continue;
      }
      REQUIRE(Stage(holder, version, config.Texts()) == StageResult::Applied);
      CheckSame(holder.Active()->m_content, expected);
      CHECK(holder.Active()->m_chain == expected.GetDigest());
    }
  }
}

TEST_CASE("a document assigned and the same one as a patch are one content")
{
  Random random{ 2 };
  for (int i = 0; i < 300; ++i) {
    CAPTURE(i);
    test::RandomConfig config{ random };
    Content patched;
    REQUIRE(patched.Apply(config.Text()).empty());
    CheckSame(ContentOf(config.Texts()), patched);
  }
}

TEST_CASE("a patch between any two contents leads to the second one")
{
  // Guards against a patch that keeps a removed member of a nested object.
  Random random{ 3 };
  for (int i = 0; i < 1000; ++i) {
    CAPTURE(i);
    test::RandomConfig first{ random };
    test::RandomConfig second{ random };
    Content content = ContentOf(first.Texts());
    const Content expected = ContentOf(second.Texts());
    const std::string patch = PatchBetween(content, expected);
    CAPTURE(patch);
    REQUIRE(content.Apply(patch).empty());
    CheckSame(content, expected);
    CHECK(PatchBetween(content, expected) == "{}");
  }
}

TEST_CASE("peers that follow, skip versions or start anew have one content")
{
  // Guards against daemons with different contents under one version.
  Random random{ 4 };
  for (int i = 0; i < 100; ++i) {
    CAPTURE(i);
    ConfigHolder source;
    ConfigHolder following;
    ConfigHolder skipping;
    bool complete = false;
    for (std::uint64_t version = 2; version <= 12; version += 2) {
      test::RandomConfig config{ random };
      const Version before = source.GetVersion();
      REQUIRE(Stage(source, version, config.Texts()) == StageResult::Applied);
      for (const VersionEntry& each : source.EntriesAfter(before, complete)) {
        REQUIRE(following.Stage(each) == StageResult::Applied);
        if (Below(random, 2) == 0) {
          static_cast<void>(skipping.Stage(each));
        }
      }
    }
    for (const VersionEntry& each :
         source.EntriesAfter(skipping.GetVersion(), complete)) {
      REQUIRE(skipping.Stage(each) == StageResult::Applied);
    }
    const ActiveConfig& active = *source.Active();
    ConfigHolder starting;
    REQUIRE(
      starting.StageSnapshot(
        { active.m_version, {}, active.m_chain, active.m_content.GetDigest() },
        active.m_content.ToJson()) == StageResult::Applied);
    for (const ConfigHolder* each : { &following, &skipping, &starting }) {
      CHECK(each->GetVersion() == source.GetVersion());
      CHECK(each->Active()->m_chain == active.m_chain);
      CheckSame(each->Active()->m_content, active.m_content);
    }
  }
}

TEST_CASE("a patch that does not lead to the stated content is not in force")
{
  // Guards against a daemon that is held up by such a patch: it asks for the
  // whole content and follows again.
  ConfigHolder source;
  REQUIRE(Stage(source, 3, Texts({ { "a", kRoute } })) == StageResult::Applied);
  ConfigHolder peer;
  REQUIRE(Stage(peer, 3, Texts({})) == StageResult::Applied);
  REQUIRE(Stage(source, 5, Texts({ { "a", kSplitRoute } })) ==
          StageResult::Applied);
  bool complete = false;
  const auto entries = source.EntriesAfter(Version{ 3 }, complete);
  REQUIRE(entries.size() == 1);
  CHECK(peer.Stage(entries[0]) == StageResult::Corrupt);
  CHECK(peer.GetVersion() == Version{ 3 });
  CHECK(peer.NeedsSnapshot());
  const ActiveConfig& active = *source.Active();
  CHECK(
    peer.StageSnapshot(
      { active.m_version, {}, active.m_chain, active.m_content.GetDigest() },
      active.m_content.ToJson()) == StageResult::Applied);
  CHECK_FALSE(peer.NeedsSnapshot());
  CheckSame(peer.Active()->m_content, active.m_content);
}

TEST_CASE("a document replaces another content of its version")
{
  ConfigHolder holder;
  REQUIRE(Stage(holder, 3, Texts({})) == StageResult::Applied);
  CHECK(Stage(holder, 3, Texts({})) == StageResult::NotNewer);
  CHECK(Stage(holder, 3, Texts({ { "a", kRoute } })) == StageResult::Replaced);
  CHECK(holder.GetVersion() == Version{ 3 });
  CHECK(holder.Active()->m_content.Routes().size() == 1);
}
