#include "greengagehub/workspaces/quota_client.hpp"

#include <doctest/doctest.h>
#include <map>
#include <vector>

using namespace greengagehub;
using namespace std::chrono_literals;
using Decision = QuotaDecision::Kind;

namespace {

constexpr TimePoint kStart{ 1000s };
constexpr WorkspaceId kWorkspace = 9;

/// Takes all queries that are due.
/// \returns The query of each shard.
std::map<std::uint32_t, QuotaQuery>
TakeQueries(QuotaClient& aClient, TimePoint aNow)
{
  std::map<std::uint32_t, QuotaQuery> queries;
  while (const auto query = aClient.NextQuery(aNow)) {
    queries[query->m_shard] = *query;
  }
  return queries;
}

std::optional<std::uint32_t>
ShardWithDemand(const std::map<std::uint32_t, QuotaQuery>& aQueries)
{
  for (const auto& [shard, query] : aQueries) {
    if (!query.m_demands.empty()) {
      return shard;
    }
  }
  return std::nullopt;
}

QuotaReport
Answer(const QuotaQuery& aQuery,
       std::uint32_t aTokens,
       std::chrono::milliseconds aRetryAfter = 0ms,
       std::uint32_t aReserve = 0)
{
  return { .m_sequence = aQuery.m_sequence,
           .m_coordinator = "c",
           .m_isGranting = true,
           .m_grants = { { .m_workspace = kWorkspace,
                           .m_tokens = aTokens,
                           .m_retryAfter = aRetryAfter,
                           .m_milliReserve = 1000 * aReserve } },
           .m_shard = aQuery.m_shard };
}

Decision
Retry(QuotaClient& aClient, TimePoint aNow)
{
  aClient.CancelWait(kWorkspace);
  return aClient.TryAdmit(aNow, kWorkspace, false).m_kind;
}

}

TEST_CASE("a workspace queries the shards in turn")
{
  // Guards against shards that run empty while others are full.
  QuotaClient client{ {}, 1, 4 };
  TimePoint now = kStart;
  std::map<std::uint32_t, int> demands;
  for (int i = 0; i < 8; ++i, now += 10ms) {
    REQUIRE(client.TryAdmit(now, kWorkspace, true).m_kind == Decision::Waiting);
    auto queries = TakeQueries(client, now);
    const auto shard = ShardWithDemand(queries);
    REQUIRE(shard);
    ++demands[*shard];
    for (const auto& [each, query] : queries) {
      QuotaReport report = Answer(query, 1);
      report.m_grants.resize(query.m_demands.size());
      static_cast<void>(client.OnReport(now + 5ms, report));
    }
    CHECK(Retry(client, now + 5ms) == Decision::Admitted);
  }
  CHECK(demands ==
        std::map<std::uint32_t, int>{ { 0, 2 }, { 1, 2 }, { 2, 2 }, { 3, 2 } });
}

TEST_CASE("a request waits for a dead shard for one timeout")
{
  // Guards against requests that wait for a coordinator which has ended.
  QuotaClient client{ {}, 1, 4 };
  TimePoint now = kStart;
  REQUIRE(client.TryAdmit(now, kWorkspace, true).m_kind == Decision::Waiting);
  auto queries = TakeQueries(client, now);
  const auto dead = ShardWithDemand(queries);
  REQUIRE(dead);
  for (const auto& [shard, query] : queries) {
    if (shard != *dead) {
      static_cast<void>(client.OnReport(now + 5ms, Answer(query, 0)));
    }
  }
  CHECK(client.NextTimeout(now + 5ms) == now + QuotaClient::kAnswerTimeout);
  now += QuotaClient::kAnswerTimeout;
  CHECK(Retry(client, now) == Decision::Waiting);
  queries = TakeQueries(client, now);
  const auto next = ShardWithDemand(queries);
  REQUIRE(next);
  CHECK(next != dead);
  static_cast<void>(client.OnReport(now + 5ms, Answer(queries[*next], 1)));
  CHECK(Retry(client, now + 5ms) == Decision::Admitted);
  // The next request does not wait for the dead shard.
  REQUIRE(client.TryAdmit(now + 6ms, kWorkspace, true).m_kind ==
          Decision::Waiting);
  CHECK(ShardWithDemand(TakeQueries(client, now + 6ms)) != dead);
}

TEST_CASE("a workspace is over its quota when all shards have denied")
{
  // Guards against rejections while another shard has tokens, and against an
  // endless search for them.
  QuotaClient client{ {}, 1, 4 };
  REQUIRE(client.TryAdmit(kStart, kWorkspace, true).m_kind ==
          Decision::Waiting);
  TimePoint now = kStart;
  for (int i = 0; i < 4; ++i, now += 5ms) {
    auto queries = TakeQueries(client, now);
    const auto shard = ShardWithDemand(queries);
    REQUIRE(shard);
    for (const auto& [each, query] : queries) {
      static_cast<void>(client.OnReport(
        now + 5ms, Answer(query, 0, each == *shard ? 300ms : 0ms)));
    }
    CHECK(Retry(client, now + 5ms) ==
          (i < 3 ? Decision::Waiting : Decision::OverQuota));
  }
  CHECK(client.TryAdmit(now + 400ms, kWorkspace, true).m_kind ==
        Decision::Waiting);
}

TEST_CASE("while a shard is silent, the reserve admits what the others deny")
{
  // Guards against rejections below the limit while a part is missing.
  QuotaClient client{ {}, 1, 2 };
  TimePoint now = kStart;
  REQUIRE(client.TryAdmit(now, kWorkspace, true).m_kind == Decision::Waiting);
  auto queries = TakeQueries(client, now);
  const auto first = ShardWithDemand(queries);
  REQUIRE(first);
  static_cast<void>(
    client.OnReport(now + 5ms, Answer(queries[*first], 1, 0ms, 1)));
  CHECK(Retry(client, now + 5ms) == Decision::Admitted);
  // The other shard never answers.
  now += 1s;
  REQUIRE(client.TryAdmit(now, kWorkspace, true).m_kind == Decision::Waiting);
  queries = TakeQueries(client, now);
  REQUIRE(queries.contains(*first));
  static_cast<void>(
    client.OnReport(now + 5ms, Answer(queries[*first], 0, 300ms, 1)));
  CHECK(client.CountSilentShards(now + 5ms) == 1);
  CHECK(Retry(client, now + 5ms) == Decision::Admitted);
  CHECK(client.TryAdmit(now + 6ms, kWorkspace, true).m_kind ==
        Decision::OverQuota);
}

namespace {

/// Lets one of two shards answer once and the other one fall silent.
/// \returns The shard that answers.
std::uint32_t
SilenceOneShard(QuotaClient& aClient, TimePoint& aNow)
{
  REQUIRE(aClient.TryAdmit(aNow, kWorkspace, true).m_kind == Decision::Waiting);
  auto queries = TakeQueries(aClient, aNow);
  const auto answers = ShardWithDemand(queries);
  REQUIRE(answers);
  static_cast<void>(aClient.OnReport(aNow, Answer(queries[*answers], 1)));
  REQUIRE(Retry(aClient, aNow) == Decision::Admitted);
  aNow += 1s;
  static_cast<void>(TakeQueries(aClient, aNow));
  return *answers;
}

/// Has the shard that answers deny a new request.
void
DenyNext(QuotaClient& aClient,
         std::uint32_t aShard,
         TimePoint& aNow,
         std::chrono::milliseconds aRetryAfter)
{
  aNow += QuotaClient::kAnswerTimeout;
  REQUIRE(aClient.TryAdmit(aNow, kWorkspace, true).m_kind == Decision::Waiting);
  auto queries = TakeQueries(aClient, aNow);
  REQUIRE(queries.contains(aShard));
  REQUIRE_FALSE(queries[aShard].m_demands.empty());
  static_cast<void>(
    aClient.OnReport(aNow, Answer(queries[aShard], 0, aRetryAfter)));
}

}

TEST_CASE("while a shard is silent, a request waits for a near refill")
{
  // Guards against rejections below the limit while a token is about to come.
  QuotaClient client{ {}, 1, 2 };
  TimePoint now = kStart;
  const std::uint32_t shard = SilenceOneShard(client, now);
  DenyNext(client, shard, now, 50ms);
  client.CancelWait(kWorkspace);
  const QuotaDecision denied = client.TryAdmit(now, kWorkspace, false);
  CHECK(denied.m_kind == Decision::Waiting);
  CHECK(denied.m_isForRefill);
  CHECK(client.NextTimeout(now).value_or(now + 1s) <= now + 50ms);
  now += 50ms;
  auto queries = TakeQueries(client, now);
  REQUIRE(queries.contains(shard));
  static_cast<void>(client.OnReport(now, Answer(queries[shard], 1)));
  CHECK(Retry(client, now) == Decision::Admitted);
}

TEST_CASE("requests beyond what a refill can serve do not wait for it")
{
  // Guards against a queue of requests that are rejected only after their wait.
  QuotaClient client{ {}, 1, 2 };
  TimePoint now = kStart;
  const std::uint32_t shard = SilenceOneShard(client, now);
  DenyNext(client, shard, now, 100ms);
  int waiting = 0;
  while (waiting < 100 &&
         client.TryAdmit(now, kWorkspace, true).m_kind == Decision::Waiting) {
    ++waiting;
  }
  CHECK(waiting >= 1);
  CHECK(waiting <= 10);
}

TEST_CASE("a workspace that was over its quota does not wait for a refill")
{
  // Guards against late rejections of a workspace that floods while a shard is
  // missing.
  QuotaClient client{ {}, 1, 2 };
  TimePoint now = kStart;
  REQUIRE(client.TryAdmit(now, kWorkspace, true).m_kind == Decision::Waiting);
  std::uint32_t answering = 0;
  for (int i = 0; i < 2; ++i) {
    auto queries = TakeQueries(client, now);
    const auto shard = ShardWithDemand(queries);
    REQUIRE(shard);
    answering = *shard;
    for (const auto& [each, query] : queries) {
      static_cast<void>(
        client.OnReport(now, Answer(query, 0, each == *shard ? 300ms : 0ms)));
    }
  }
  REQUIRE(Retry(client, now) == Decision::OverQuota);
  // From now on the other shard is silent.
  now += 1s;
  static_cast<void>(TakeQueries(client, now));
  DenyNext(client, answering, now, 50ms);
  CHECK(Retry(client, now) == Decision::OverQuota);
}

TEST_CASE("a request does not wait for a refill that is far away")
{
  // Guards against waits for tokens that cannot come in time.
  QuotaClient client{ {}, 1, 2 };
  TimePoint now = kStart;
  const std::uint32_t shard = SilenceOneShard(client, now);
  DenyNext(client, shard, now, 500ms);
  CHECK(Retry(client, now) == Decision::OverQuota);
}

TEST_CASE("with all shards in service, a denied request does not wait")
{
  // Guards against late rejections of a workspace that is over its quota.
  QuotaClient client{ {}, 1, 1 };
  TimePoint now = kStart;
  REQUIRE(client.TryAdmit(now, kWorkspace, true).m_kind == Decision::Waiting);
  auto queries = TakeQueries(client, now);
  static_cast<void>(client.OnReport(now, Answer(queries[0], 0, 100ms)));
  CHECK(Retry(client, now) == Decision::OverQuota);
}

TEST_CASE("a daemon with one coordinator asks no other shard")
{
  // Guards against queries to shards that the coordinators do not state.
  QuotaClient client{ {}, 1, 4 };
  client.SetShardCount(0);
  REQUIRE(client.TryAdmit(kStart, kWorkspace, true).m_kind ==
          Decision::Waiting);
  const auto queries = TakeQueries(client, kStart);
  CHECK(queries.size() == 1);
  CHECK(queries.contains(0));
}
