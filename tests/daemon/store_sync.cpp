#include "greengagehub/daemon/store_sync.hpp"

#include <asio/io_context.hpp>
#include <doctest/doctest.h>
#include <map>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

using Status = StoreReply::Status;

/// Answers reads at once and keeps the last watch.
struct MemoryStore
{
  std::string m_log{};
  Revision m_revision{ 0 };
  std::map<std::string, int> m_gets{};
  StoreDone m_watch{};

  StoreReply Reply(Status aStatus) const
  {
    return { .m_status = aStatus,
             .m_revision = m_revision,
             .m_storeRevision = m_revision,
             .m_value = m_log };
  }
  void Execute(const StoreRequest& aRequest, const StoreDone& aDone)
  {
    if (aRequest.m_kind == StoreRequest::Kind::Watch) {
      m_watch = aDone;
      return;
    }
    ++m_gets[aRequest.m_key];
    const bool exists = aRequest.m_key == kLogKey && m_revision > 0;
    aDone(exists ? Reply(Status::Ok)
                 : StoreReply{ .m_status = Status::NotFound });
  }
};

struct SyncFixture
{
  SyncFixture() { m_sync.SetWatching(true); }

  /// Decides a patch that sets a service's slots, as another daemon.
  void Decide(int aSlots)
  {
    const Submission submission{ std::to_string(m_log.m_nextSequence),
                                 m_log.m_head,
                                 "anna",
                                 R"({"services":{"ledger":{"slots":)" +
                                   std::to_string(aSlots) + "}}}",
                                 WallTime{} };
    const Decision decision =
      greengagehub::Decide(m_log, m_decider.Active()->m_content, submission);
    REQUIRE(decision.m_accepted);
    m_log = WithDecision(std::move(m_log), decision);
    REQUIRE(m_decider.Stage(decision.m_entry) == StageResult::Applied);
    m_store.m_log = LogToJson(m_log);
    ++m_store.m_revision;
  }

  MemoryStore m_store{};
  /// Log and content at the daemon that decides.
  DecisionLog m_log{};
  ConfigHolder m_decider{};
  asio::io_context m_loop{};
  ConfigHolder m_holder{};
  Log m_logger{ LogLevel::Error, {}, "test" };
  std::vector<StoredConfig> m_confirmed{};
  StoreSync<MemoryStore> m_sync{ m_loop,
                                 m_store,
                                 m_holder,
                                 m_logger,
                                 { .m_watch = 1s, .m_maxBackoff = 1ms },
                                 1,
                                 { .m_onAdvanced = [](Version) {},
                                   .m_onHead = [](Version) {},
                                   .m_onConfirmed =
                                     [this](TimePoint,
                                            const StoredConfig& aConfig) {
                                       m_confirmed.push_back(aConfig);
                                     } } };
};

}

TEST_CASE("a read of the decision log confirms its head, a watch does not")
{
  SyncFixture fixture;
  REQUIRE(fixture.m_confirmed.size() == 1);
  CHECK(fixture.m_confirmed.back().m_version == Version{});
  fixture.Decide(20);
  fixture.m_store.m_watch(fixture.m_store.Reply(Status::Ok));
  CHECK(fixture.m_holder.GetVersion() == Version{ 1 });
  CHECK(fixture.m_confirmed.size() == 1);
  CHECK(fixture.m_sync.LastRead().m_version == Version{ 1 });
  CHECK(fixture.m_sync.LastRead().m_revision == 1);
  fixture.m_store.m_watch({ .m_status = Status::HistoryCompacted });
  REQUIRE(fixture.m_confirmed.size() == 2);
  CHECK(fixture.m_confirmed.back().m_version == Version{ 1 });
}

TEST_CASE(
  "a watch answered before a peer's newer version arrived does not show "
  "that the store is behind")
{
  // Guards against a sound store that is not followed, and roles that are lost
  // by it, in a storm of patches.
  SyncFixture fixture;
  fixture.Decide(20);
  const StoreReply first = fixture.m_store.Reply(Status::Ok);
  fixture.Decide(30);
  const auto entries = fixture.m_log.EntriesAfter(Version{});
  REQUIRE(entries);
  for (const VersionEntry& each : *entries) {
    REQUIRE(fixture.m_holder.Stage(each) == StageResult::Applied);
  }
  fixture.m_store.m_watch(first);
  CHECK_FALSE(fixture.m_sync.IsBehind());
  CHECK(fixture.m_holder.GetVersion() == Version{ 2 });
  // The next watch began with version 2 in force.
  fixture.m_store.m_watch(first);
  CHECK(fixture.m_sync.IsBehind());
}

TEST_CASE("a check that meets a newer head brings it into force")
{
  SyncFixture fixture;
  fixture.Decide(20);
  fixture.Decide(30);
  const auto head =
    fixture.m_sync.OnStoreReply(fixture.m_store.Reply(Status::Conflict));
  REQUIRE(head);
  CHECK(head->m_version == Version{ 2 });
  CHECK(head->m_revision == 2);
  CHECK(fixture.m_holder.GetVersion() == Version{ 2 });
}

TEST_CASE("a check that meets a log without the versions needed reads the "
          "snapshot")
{
  SyncFixture fixture;
  fixture.Decide(20);
  fixture.Decide(30);
  fixture.m_log.m_archivedVersion = Version{ 1 };
  fixture.m_log.m_snapshot = Version{ 1 };
  fixture.m_store.m_log = LogToJson(fixture.m_log);
  const auto head =
    fixture.m_sync.OnStoreReply(fixture.m_store.Reply(Status::Conflict));
  // The proof waits until the version is in force.
  REQUIRE(head);
  CHECK(head->m_version == Version{ 2 });
  CHECK(fixture.m_holder.GetVersion() == Version{});
  CHECK(fixture.m_store.m_gets[SnapshotKey(Version{ 1 })] == 1);
}

TEST_CASE("a log that cannot be read or followed proves nothing")
{
  SyncFixture fixture;
  fixture.Decide(20);
  const auto read = [&](const std::string& aLog) {
    fixture.m_store.m_log = aLog;
    ++fixture.m_store.m_revision;
    return fixture.m_sync.OnStoreReply(fixture.m_store.Reply(Status::Conflict));
  };
  REQUIRE(read(fixture.m_store.m_log));
  const StoredConfig before = fixture.m_sync.LastRead();

  CHECK_FALSE(read("{"));
  // The store has lost the newest version.
  CHECK_FALSE(read(LogToJson(DecisionLog{})));
  // Another patch was decided as the same version.
  SyncFixture other;
  other.Decide(99);
  CHECK_FALSE(read(other.m_store.m_log));
  CHECK(fixture.m_sync.IsBehind());
  CHECK(fixture.m_sync.LastRead().m_revision == before.m_revision);
}
