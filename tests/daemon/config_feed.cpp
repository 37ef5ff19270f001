#include "greengagehub/daemon/config_feed.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr const char* kOriginalKey = "operators/config";

std::string
Document(int aVersion)
{
  std::string text = R"({"version":"0000000)" + std::to_string(aVersion) +
                     R"(","limits":{},"listeners":[],"clusters":[)";
  for (int i = 0; i < 400; ++i) {
    text += i > 0 ? "," : "";
    text += R"({"name":"service-)" + std::to_string(i) +
            R"(","health_check_path":"/","max_connections":1})";
  }
  return text + "]}";
}

/// Answers at once from memory and counts requests.
struct MemoryStore
{
  struct Key
  {
    std::string m_value;
    Revision m_revision{ 0 };
  };
  std::map<std::string, Key> m_keys{};
  Revision m_lastRevision{ 0 };
  std::map<std::string, int> m_gets{};
  int m_checks{ 0 };
  int m_puts{ 0 };
  bool m_checkFails{ false };
  std::uint64_t m_era{ 0 };
  /// Restores an older state just before the next check and assigns the
  /// revision of version 5 to version 6.
  bool m_restoresBeforeCheck{ false };
  StoreDone m_watch{};
  int m_watchStarts{ 0 };

  /// Restores the state as of a revision and starts a new era.
  void Restore(Revision aRevision)
  {
    m_lastRevision = aRevision;
    ++m_era;
    std::erase_if(m_keys, [aRevision](const auto& aEach) {
      return aEach.second.m_revision > aRevision;
    });
  }
  /// Ends the pending watch without a change.
  void EndWatch()
  {
    StoreReply reply{ .m_status = StoreReply::Status::NotModified,
                      .m_storeRevision = m_lastRevision,
                      .m_era = m_era };
    std::exchange(m_watch, {})(std::move(reply));
  }

  void Set(const std::string& aKey, std::string aValue)
  {
    m_keys[aKey] = { std::move(aValue), ++m_lastRevision };
  }

  void Execute(const StoreRequest& aRequest, const StoreDone& aDone)
  {
    using Kind = StoreRequest::Kind;
    if (m_restoresBeforeCheck && aRequest.m_kind == Kind::Check) {
      m_restoresBeforeCheck = false;
      Restore(aRequest.m_expected - 1);
      Set(aRequest.m_key, Document(6));
    }
    const auto found = m_keys.find(aRequest.m_key);
    const Key current = found == m_keys.end() ? Key{} : found->second;
    StoreReply reply{ .m_status = StoreReply::Status::Ok,
                      .m_revision = current.m_revision,
                      .m_storeRevision = m_lastRevision,
                      .m_value = current.m_value,
                      .m_era = m_era };
    switch (aRequest.m_kind) {
      case Kind::Get:
        ++m_gets[aRequest.m_key];
        break;
      case Kind::Check:
        ++m_checks;
        break;
      case Kind::Put:
        ++m_puts;
        break;
      default:
        ++m_watchStarts;
        m_watch = aDone;
        return;
    }
    if (current.m_revision == 0 && aRequest.m_kind == Kind::Get) {
      reply.m_status = StoreReply::Status::NotFound;
    } else if (aRequest.m_kind != Kind::Get &&
               aRequest.m_expected != current.m_revision) {
      reply.m_status = StoreReply::Status::Conflict;
    } else if (aRequest.m_kind == Kind::Check && m_checkFails) {
      reply.m_status = StoreReply::Status::Unavailable;
    } else if (aRequest.m_kind == Kind::Put) {
      Set(aRequest.m_key, aRequest.m_value);
      reply.m_revision = m_lastRevision;
    }
    aDone(std::move(reply));
  }
};

/// A feed on a store that holds version 5 and a copy of it.
struct FeedFixture
{
  FeedFixture()
  {
    m_store.Set(kOriginalKey, Document(5));
    const Revision original = m_store.m_lastRevision;
    m_store.Set(std::string{ kConfigCopyKey },
                FormatConfigCopy(original, Document(5)));
  }

  /// \returns Whether the condition was met within some seconds.
  template<class Condition>
  bool RunUntil(Condition aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      m_loop.restart();
      m_loop.run_for(10ms);
    }
    return aCondition();
  }

  MemoryStore m_store{};
  asio::io_context m_loop{};
  ConfigHolder m_holder{};
  Log m_log{ LogLevel::Error, {}, "test" };
  int m_heads{ 0 };
  int m_replaced{ 0 };
  ConfigFeed<MemoryStore> m_feed{
    m_loop,
    m_store,
    m_holder,
    m_log,
    kOriginalKey,
    "op/",
    { .m_watch = { .m_longest = 1s, .m_gap = 1s },
      .m_coalesceDelay = 1ms,
      .m_maxBackoff = 1ms,
      .m_copyInterval = 1ms },
    1,
    { .m_onAdvanced = [](Version, VersionChannel) {},
      .m_onReplaced = [this] { ++m_replaced; },
      .m_onHead = [this](Version) { ++m_heads; } }
  };
};

}

TEST_CASE("on a slow link the copy and a check replace reading the original")
{
  // Guards against reading the whole configuration over a slow link at a
  // restart, which delays readiness.
  FeedFixture fixture;
  fixture.m_feed.SetSlowLink(true);
  fixture.m_feed.Read();
  CHECK(fixture.m_holder.GetVersion() == Version{ 5 });
  CHECK(fixture.m_heads == 1);
  CHECK(fixture.m_store.m_checks == 1);
  CHECK(fixture.m_store.m_gets[kOriginalKey] == 0);
}

TEST_CASE("an outdated copy is never treated as the newest version")
{
  // Guards against serving removed routes from a copy that is older than the
  // configuration.
  FeedFixture fixture;
  fixture.m_store.Set(kOriginalKey, Document(6));
  fixture.m_feed.SetSlowLink(true);
  SUBCASE("the check returns the current document")
  {
    fixture.m_feed.Read();
  }
  SUBCASE("the check fails")
  {
    fixture.m_store.m_checkFails = true;
    fixture.m_feed.Read();
  }
  CHECK(fixture.m_holder.GetVersion() == Version{ 6 });
  CHECK(fixture.m_heads == 1);
}

TEST_CASE("without a usable copy the original is read")
{
  FeedFixture fixture;
  fixture.m_feed.SetSlowLink(true);
  SUBCASE("no copy")
  {
    fixture.m_store.m_keys.erase(std::string{ kConfigCopyKey });
  }
  SUBCASE("damaged copy")
  {
    fixture.m_store.Set(std::string{ kConfigCopyKey }, "3\ngarbage");
  }
  SUBCASE("the check fails")
  {
    fixture.m_store.m_checkFails = true;
  }
  fixture.m_feed.Read();
  CHECK(fixture.m_store.m_gets[kOriginalKey] == 1);
  CHECK(fixture.m_holder.GetVersion() == Version{ 5 });
}

TEST_CASE("the maintaining daemon updates a copy written by another daemon")
{
  FeedFixture fixture;
  fixture.m_store.Set(kOriginalKey, Document(6));
  const Revision original = fixture.m_store.m_lastRevision;
  fixture.m_feed.Read();
  fixture.m_feed.SetWatching(true);
  fixture.m_feed.SetMaintainsCopy(true);
  fixture.m_loop.run_for(50ms);
  const auto copy = ParseConfigCopy(
    fixture.m_store.m_keys[std::string{ kConfigCopyKey }].m_value, 1 << 20);
  REQUIRE(copy);
  CHECK(copy.value().m_originalRevision == original);
  // The first write assumes that no copy exists, and conflicts.
  CHECK(fixture.m_store.m_puts == 2);
}

TEST_CASE("a change is not missed when a restored store reuses revisions")
{
  // Guards against missing a change to which a restored store assigned a
  // revision below the watched one.
  FeedFixture fixture;
  fixture.m_store.m_era = 1;
  fixture.m_feed.SetWatching(true);
  fixture.m_feed.Read();
  REQUIRE(fixture.m_holder.GetVersion() == Version{ 5 });
  const Revision watchRevision = fixture.m_store.m_lastRevision;
  fixture.m_store.Restore(watchRevision - 1);
  fixture.m_store.Set(kOriginalKey, Document(7));
  fixture.m_store.Set("another", "value");
  REQUIRE(fixture.m_store.m_lastRevision > watchRevision);
  fixture.m_store.EndWatch();
  CHECK(fixture.m_holder.GetVersion() == Version{ 7 });
}

TEST_CASE("a copy is not confirmed by a revision of another era")
{
  // Guards against accepting an outdated copy when a restored store reuses the
  // revision of its original.
  FeedFixture fixture;
  fixture.m_store.m_era = 1;
  fixture.m_feed.SetSlowLink(true);
  fixture.m_store.m_restoresBeforeCheck = true;
  fixture.m_feed.Read();
  CHECK(fixture.m_holder.GetVersion() == Version{ 6 });
}

TEST_CASE("a document that cannot be read yields no configuration to confirm")
{
  // Guards against a check that meets such a document and renews the proof of
  // the one in force, whose keys the document may revoke.
  FeedFixture fixture;
  fixture.m_feed.Read();
  REQUIRE(fixture.m_holder.GetVersion() == Version{ 5 });
  const StoreReply unreadable{ .m_status = StoreReply::Status::Conflict,
                               .m_revision = 9,
                               .m_value = "{\"version\":" };
  CHECK_FALSE(fixture.m_feed.OnStoreReply(unreadable));
  const auto read =
    fixture.m_feed.OnStoreReply({ .m_status = StoreReply::Status::Conflict,
                                  .m_revision = 10,
                                  .m_value = Document(6) });
  REQUIRE(read);
  CHECK(read->m_version == Version{ 6 });
  CHECK(read->m_revision == 10);
}

namespace {

/// Brings a version with a content of its own into force, as from a peer.
void
StageFromPeer(ConfigHolder& aHolder, Version aVersion)
{
  Content content;
  const std::string patch = R"({"services":{"elsewhere":{}}})";
  REQUIRE(content.Apply(patch).empty());
  const Digest& digest = content.GetDigest();
  REQUIRE(aHolder.Stage({ aVersion, patch, digest, digest, Version{} }) ==
          StageResult::Applied);
}

}

TEST_CASE("a content that differs from the store's under its version is "
          "replaced")
{
  // Guards against a daemon that keeps a wrong content until the next version,
  // as it already has the version of the store.
  FeedFixture fixture;
  StageFromPeer(fixture.m_holder, Version{ 5 });
  fixture.m_feed.VerifyActive();
  fixture.m_loop.run_for(500ms);
  CHECK(fixture.m_replaced == 1);
  CHECK(fixture.m_holder.Active()->m_content.Services().size() == 400);
  // Peers are not given a patch to or from the former content.
  bool complete = false;
  static_cast<void>(fixture.m_holder.EntriesAfter(Version{ 0 }, complete));
  CHECK_FALSE(complete);
}

TEST_CASE("a peer with another content causes one read of each version at most")
{
  // Guards against a daemon that reads the store at each message of a peer that
  // keeps a wrong content.
  FeedFixture fixture;
  SUBCASE("the version came from a peer")
  {
    StageFromPeer(fixture.m_holder, Version{ 5 });
  }
  SUBCASE("the version was read from the store")
  {
    fixture.m_feed.Read();
  }
  for (int i = 0; i < 5; ++i) {
    fixture.m_feed.VerifyActive();
    fixture.m_loop.run_for(300ms);
    fixture.m_loop.restart();
  }
  CHECK(fixture.m_store.m_gets[kOriginalKey] == 1);
}

TEST_CASE("a version that cannot be used does not hold up the next one")
{
  // Guards against a version that is refused because of the one before it.
  FeedFixture fixture;
  fixture.m_feed.Read();
  REQUIRE(fixture.m_holder.GetVersion() == Version{ 5 });
  const std::string unusable =
    R"({"version":"00000006","limits":{},"listeners":[{"host":"a.example",
        "rules":[{"name":"r","match":{"prefix":"/r/"},
                  "action":{"service":"missing"}}]}],"clusters":[]})";
  static_cast<void>(fixture.m_feed.OnStoreReply({ .m_value = unusable }));
  CHECK(fixture.m_holder.GetVersion() == Version{ 5 });
  static_cast<void>(fixture.m_feed.OnStoreReply({ .m_value = Document(7) }));
  CHECK(fixture.m_holder.GetVersion() == Version{ 7 });
}

TEST_CASE("a change is found while the watch has gone silent")
{
  // Guards against a configuration that waits for the time-out of a watch that
  // the store does not answer any more.
  FeedFixture fixture;
  fixture.m_feed.SetWatching(true);
  fixture.m_feed.Read();
  REQUIRE(fixture.m_holder.GetVersion() == Version{ 5 });
  const StoreDone silent = std::exchange(fixture.m_store.m_watch, {});
  SUBCASE("the key has changed")
  {
    fixture.m_store.Set(kOriginalKey, Document(6));
    REQUIRE(fixture.RunUntil([&] { return bool{ fixture.m_store.m_watch }; }));
    CHECK(fixture.m_holder.GetVersion() == Version{ 6 });
  }
  SUBCASE("the key has not changed")
  {
    REQUIRE(fixture.RunUntil([&] { return bool{ fixture.m_store.m_watch }; }));
    CHECK(fixture.m_holder.GetVersion() == Version{ 5 });
  }
  CHECK(fixture.m_store.m_checks == 1);
  // A late reply to the silent watch is ignored.
  const auto watchStarts = fixture.m_store.m_watchStarts;
  silent({ .m_status = StoreReply::Status::Unknown });
  fixture.m_loop.restart();
  fixture.m_loop.run_for(20ms);
  CHECK(fixture.m_store.m_watchStarts == watchStarts);
}
