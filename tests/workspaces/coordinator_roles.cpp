#include "greengagehub/workspaces/coordinator_roles.hpp"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace greengagehub;
using namespace std::chrono_literals;
using Kind = CoordinatorRoles::Action::Kind;
using Status = StoreReply::Status;

namespace {

constexpr TimePoint kStart{ 1000s };

struct Store
{
  struct Item
  {
    std::string m_value;
    Revision m_revision{ 0 };
  };

  StoreReply Execute(const StoreRequest& aRequest)
  {
    const auto found = m_items.find(aRequest.m_key);
    const bool exists = found != m_items.end();
    StoreReply reply{ .m_status = exists ? Status::Ok : Status::NotFound };
    if (exists) {
      reply.m_revision = found->second.m_revision;
      reply.m_value = found->second.m_value;
    }
    if (aRequest.m_kind == StoreRequest::Kind::Put) {
      const StoreReply others = Compare(aRequest.m_alsoExpected);
      if (reply.m_revision != aRequest.m_expected ||
          others.m_status == Status::Conflict) {
        reply.m_status = Status::Conflict;
        reply.m_items = others.m_items;
        return reply;
      }
      m_items[aRequest.m_key] = { aRequest.m_value, ++m_revision };
      return { .m_status = Status::Ok, .m_revision = m_revision };
    }
    return reply;
  }

  StoreReply Compare(const std::vector<ExpectedKey>& aKeys) const
  {
    StoreReply reply{ .m_status = Status::Ok };
    for (const ExpectedKey& each : aKeys) {
      const auto found = m_items.find(each.m_key);
      const bool exists = found != m_items.end();
      if ((exists ? found->second.m_revision : 0) != each.m_revision) {
        reply.m_status = Status::Conflict;
      }
      if (exists) {
        reply.m_items.push_back(
          { each.m_key, found->second.m_value, found->second.m_revision });
      }
    }
    return reply;
  }

  std::map<std::string, Item> m_items;
  Revision m_revision{ 0 };
};

/// A daemon that is a candidate for one shard.
struct Daemon
{
  struct Call
  {
    std::variant<CoordinatorRoles::Action, CoordinatorRoles::Check> m_what;
    StoreReply m_reply;
    TimePoint m_sentAt;
  };

  /// Sends what is due; the store executes it at once, the replies wait.
  void Send(TimePoint aNow, Store& aStore)
  {
    std::vector<CoordinatorRoles::Candidacy> candidacy(m_roles.Count());
    candidacy.at(m_shard) = { true, true };
    for (auto& each : m_roles.OnTick(aNow, candidacy)) {
      m_calls.push_back({ each, aStore.Execute(each.m_request), aNow });
    }
    auto check = m_roles.NextCheck(aNow);
    if (!check.m_keys.empty()) {
      m_calls.push_back({ check, aStore.Compare(check.m_keys), aNow });
    }
  }

  void Receive(TimePoint aNow, bool aIsLost, Store& aStore)
  {
    const Call call = m_calls.front();
    m_calls.erase(m_calls.begin());
    const StoreReply reply = aIsLost ? StoreReply{} : call.m_reply;
    if (const auto* check =
          std::get_if<CoordinatorRoles::Check>(&call.m_what)) {
      m_roles.OnChecked(aNow, *check, reply);
      return;
    }
    const auto& action = std::get<CoordinatorRoles::Action>(call.m_what);
    if (action.m_kind == Kind::Read) {
      m_roles.OnRead(aNow, action.m_shard, reply);
    } else if (action.m_kind == Kind::Claim) {
      m_roles.OnClaimed(aNow, call.m_sentAt, action.m_shard, reply);
    } else if (action.m_kind == Kind::ReadCondition) {
      for (const auto& each : m_roles.OnConditionRead(aNow, reply)) {
        static_cast<void>(aStore.Execute(each.m_request));
      }
    }
  }

  [[nodiscard]] bool Leads(TimePoint aNow) const
  {
    return m_roles.IsLeading(aNow, m_shard);
  }

  CoordinatorRoles m_roles;
  std::uint32_t m_shard{ 0 };
  std::vector<Call> m_calls{};
};

struct State
{
  /// Sends and receives without delay for this long.
  void Run(Duration aDuration, std::initializer_list<std::size_t> aDaemons)
  {
    for (const TimePoint end = m_now + aDuration; m_now < end; m_now += 50ms) {
      for (const std::size_t each : aDaemons) {
        m_daemons.at(each).Send(m_now, m_store);
        while (!m_daemons.at(each).m_calls.empty()) {
          m_daemons.at(each).Receive(m_now, false, m_store);
        }
      }
    }
  }

  Store m_store;
  std::vector<Daemon> m_daemons;
  TimePoint m_now{ kStart };
};

/// Daemon 0 divides by `aFirst` shards and daemon 2 by `aOther`; both are
/// candidates for shard 0. Daemon 1 divides by `aFirst`, for shard 1.
State
MakeState(std::uint32_t aFirst, std::uint32_t aOther)
{
  State state;
  state.m_daemons = { { { "a", 1, 7, aFirst }, 0 },
                      { { "b", 2, 8, aFirst }, 1 },
                      { { "c", 3, 9, aOther }, 0 } };
  return state;
}

struct Seen
{
  std::size_t m_states{ 0 };
  bool m_firstLed{ false };
  bool m_aboveLed{ false };
  bool m_otherLed{ false };
};

/// Tries every order of calls, delayed and lost replies, and pauses.
void
ExploreOrders(const State& aState, int aStepsLeft, Seen& aSeen)
{
  const TimePoint now = aState.m_now;
  const bool firstLeads = aState.m_daemons[0].Leads(now);
  const bool aboveLeads = aState.m_daemons[1].Leads(now);
  const bool otherLeads = aState.m_daemons[2].Leads(now);
  ++aSeen.m_states;
  aSeen.m_firstLed = aSeen.m_firstLed || firstLeads;
  aSeen.m_aboveLed = aSeen.m_aboveLed || aboveLeads;
  aSeen.m_otherLed = aSeen.m_otherLed || otherLeads;
  REQUIRE_FALSE((otherLeads && (firstLeads || aboveLeads)));
  if (aStepsLeft == 0) {
    return;
  }
  for (std::size_t i = 0; i < aState.m_daemons.size(); ++i) {
    if (!aState.m_daemons[i].m_calls.empty()) {
      for (const bool isLost : { false, true }) {
        State next = aState;
        next.m_daemons[i].Receive(now, isLost, next.m_store);
        ExploreOrders(next, aStepsLeft - 1, aSeen);
      }
      continue;
    }
    State next = aState;
    next.m_daemons[i].Send(now, next.m_store);
    if (!next.m_daemons[i].m_calls.empty()) {
      ExploreOrders(next, aStepsLeft - 1, aSeen);
    }
  }
  State later = aState;
  later.m_now += 500ms;
  ExploreOrders(later, aStepsLeft - 1, aSeen);
}

constexpr int kDepth = 9;

}

TEST_CASE(
  "no part is granted beside the whole, however a daemon that knows one "
  "coordinator takes the key of shard 0")
{
  // Guards against N - 1 parts that go on while a daemon of the previous
  // version grants the whole allowance.
  for (const bool isReleased : { false, true }) {
    State state = MakeState(2, 1);
    state.Run(4s, { 0, 1 });
    REQUIRE(state.m_daemons[0].Leads(state.m_now));
    REQUIRE(state.m_daemons[1].Leads(state.m_now));
    state.m_daemons[2].m_roles.Role(0).OnTermReported(
      state.m_store.m_items[CoordinatorKey(0)].m_revision);
    if (isReleased) {
      for (const auto& each : state.m_daemons[0].m_roles.Resign()) {
        static_cast<void>(state.m_store.Execute(each.m_request));
      }
    }
    Seen seen;
    ExploreOrders(state, kDepth, seen);
    MESSAGE("states: " << seen.m_states);
    CHECK(seen.m_aboveLed);
    CHECK(seen.m_otherLed);
  }
}

TEST_CASE("no part is granted beside the whole, however a daemon that divides "
          "follows one that knows one coordinator")
{
  // Guards against parts granted before the lease of the daemon that granted
  // the whole has ended.
  State state = MakeState(2, 1);
  state.Run(4s, { 2 });
  REQUIRE(state.m_daemons[2].Leads(state.m_now));
  state.m_daemons[0].m_roles.Role(0).OnTermReported(
    state.m_store.m_items[CoordinatorKey(0)].m_revision);
  // Shard 1 has a holder, which may not grant yet.
  const auto& role = state.m_daemons[1].m_roles.Role(1);
  state.m_store.m_items[CoordinatorKey(1)] = { role.KeyValue(), 50 };
  state.m_store.m_revision = 50;
  state.m_daemons[1].m_roles.Role(1).OnClaimed(
    state.m_now, state.m_now, { .m_status = Status::Ok, .m_revision = 50 });
  Seen seen;
  ExploreOrders(state, kDepth, seen);
  MESSAGE("states: " << seen.m_states);
  CHECK(seen.m_firstLed);
  CHECK(seen.m_otherLed);
  state.m_daemons[2] = state.m_daemons[0];
  state.Run(15s, { 0, 1 });
  CHECK(state.m_daemons[1].Leads(state.m_now));
}

TEST_CASE("parts of different sizes are not granted at the same time")
{
  // Guards against a number of shards that is changed daemon by daemon.
  State state = MakeState(4, 2);
  state.Run(4s, { 0, 1 });
  REQUIRE(state.m_daemons[1].Leads(state.m_now));
  state.m_daemons[2].m_roles.Role(0).OnTermReported(
    state.m_store.m_items[CoordinatorKey(0)].m_revision);
  Seen seen;
  ExploreOrders(state, kDepth, seen);
  MESSAGE("states: " << seen.m_states);
  CHECK(seen.m_otherLed);
}

TEST_CASE("the other shards go on when shard 0 gets a coordinator that states "
          "the same number")
{
  // Guards against an outage of all shards at a change of one coordinator.
  State state = MakeState(4, 4);
  state.Run(4s, { 0, 1 });
  REQUIRE(state.m_daemons[1].Leads(state.m_now));
  state.m_daemons[2].m_roles.Role(0).OnTermReported(
    state.m_store.m_items[CoordinatorKey(0)].m_revision);
  for (int i = 0; i < 60; ++i) {
    state.Run(50ms, { 1, 2 });
    CHECK(state.m_daemons[1].Leads(state.m_now));
  }
  CHECK(state.m_daemons[2].Leads(state.m_now));
}

TEST_CASE("a daemon with one coordinator between two that divide is not missed")
{
  // Guards against a shard that goes on because the key states its number
  // again, though another daemon's lease has not ended.
  State state = MakeState(4, 1);
  state.Run(4s, { 0, 1 });
  const std::string key = CoordinatorKey(0);
  state.m_store.m_items[key] = { "c 3", 90 };
  state.m_store.m_items[key] = { "shards=4 since=other a 1", 91 };
  state.m_store.m_revision = 91;
  state.Run(500ms, { 1 });
  CHECK_FALSE(state.m_daemons[1].Leads(state.m_now));
  state.Run(1500ms, { 1 });
  CHECK(state.m_daemons[1].Leads(state.m_now));
}

TEST_CASE("a restarted daemon waits for the lease of its old self")
{
  // Guards against two coordinators in one slot, of which the old one was
  // paused or still runs.
  Store store;
  Daemon old{ { "a", 1, 7, 1 }, 0 };
  State state;
  state.m_daemons = { old, { { "a", 2, 8, 1 }, 0 } };
  state.Run(4s, { 0 });
  REQUIRE(state.m_daemons[0].Leads(state.m_now));
  const TimePoint replaced = state.m_now;
  state.Run(200ms, { 1 });
  CHECK(state.m_daemons[1].m_roles.Role(0).HoldsKey());
  CHECK_FALSE((state.m_daemons[0].Leads(replaced + 200ms) &&
               state.m_daemons[1].Leads(replaced + 200ms)));
  state.Run(1500ms, { 1 });
  CHECK(state.m_daemons[1].Leads(state.m_now));
}

TEST_CASE("a check that fails for another key confirms the keys that are "
          "unchanged")
{
  // Guards against a storm of configurations that makes a sound coordinator
  // stand down.
  State state = MakeState(2, 2);
  state.Run(4s, { 0 });
  CoordinatorRoles& roles = state.m_daemons[0].m_roles;
  for (int i = 0; i < 100; ++i, state.m_now += 100ms) {
    std::vector<CoordinatorRoles::Candidacy> candidacy(2);
    static_cast<void>(roles.OnTick(state.m_now, candidacy));
    const auto check = roles.NextCheck(state.m_now);
    if (!check.m_keys.empty()) {
      StoreReply reply = state.m_store.Compare(check.m_keys);
      reply.m_status = Status::Conflict;
      roles.OnChecked(state.m_now, check, reply);
    }
    CHECK(roles.IsLeading(state.m_now, 0));
  }
}

TEST_CASE("one check confirms all shards that a daemon holds")
{
  // Guards against store calls that grow with the shards of a daemon.
  State state;
  state.m_daemons = { { { "a", 1, 7, 4 }, 0 } };
  CoordinatorRoles& roles = state.m_daemons[0].m_roles;
  const std::vector<CoordinatorRoles::Candidacy> all(4, { true, true });
  std::size_t checks = 0;
  for (int i = 0; i < 200; ++i, state.m_now += 50ms) {
    for (const auto& each : roles.OnTick(state.m_now, all)) {
      const StoreReply reply = state.m_store.Execute(each.m_request);
      if (each.m_kind == Kind::Read) {
        roles.OnRead(state.m_now, each.m_shard, reply);
      } else if (each.m_kind == Kind::Claim) {
        roles.OnClaimed(state.m_now, state.m_now, each.m_shard, reply);
      } else if (each.m_kind == Kind::ReadCondition) {
        static_cast<void>(roles.OnConditionRead(state.m_now, reply));
      }
    }
    const auto check = roles.NextCheck(state.m_now);
    if (!check.m_keys.empty()) {
      ++checks;
      roles.OnChecked(state.m_now, check, state.m_store.Compare(check.m_keys));
    }
  }
  for (std::uint32_t i = 0; i < 4; ++i) {
    CHECK(roles.IsLeading(state.m_now, i));
  }
  // Ten seconds, 2.5 a second, and what the first second takes.
  CHECK(checks <= 30);
}

TEST_CASE("the statement of shard 0 is read as it was written")
{
  for (const ShardStatement& each : { ShardStatement{ 1, "", "a 1" },
                                      ShardStatement{ 4, "1.2", "a 1" },
                                      ShardStatement{ 16, "ff.20", "a b 1" },
                                      ShardStatement{ 4, "1.2", "" } }) {
    CHECK(ParseShardStatement(Format(each)) == each);
  }
  CHECK(ParseShardStatement("shards=17 since=1 a 1").m_shards == 1);
  CHECK(ParseShardStatement("shards=x since=1 a 1").m_shards == 1);
  CHECK(ParseShardStatement("").m_holder.empty());
}

TEST_CASE("a shard is not claimed once the key of shard 0 states another "
          "number of shards")
{
  // Guards against a grantor of a part beside one of the whole allowance, by a
  // daemon that read the key of shard 0 long before.
  Store store;
  const auto claim = [&](CoordinatorRoles& aRoles, std::uint32_t aShard) {
    for (TimePoint now = kStart; now < kStart + 5s; now += 100ms) {
      std::vector<CoordinatorRoles::Candidacy> candidacy(aRoles.Count());
      candidacy.at(aShard) = { true, true };
      for (const auto& each : aRoles.OnTick(now, candidacy)) {
        const StoreReply reply = store.Execute(each.m_request);
        if (each.m_kind == Kind::Read) {
          aRoles.OnRead(now, each.m_shard, reply);
        } else if (each.m_kind == Kind::ReadCondition) {
          static_cast<void>(aRoles.OnConditionRead(now, reply));
        } else if (each.m_kind == Kind::Claim) {
          aRoles.OnClaimed(now, now, each.m_shard, reply);
        }
      }
    }
  };
  CoordinatorRoles first{ "a", 1, 7, 4 };
  claim(first, 0);
  REQUIRE(first.Role(0).HoldsKey());
  CoordinatorRoles second{ "b", 2, 8, 4 };
  static_cast<void>(
    second.OnConditionRead(kStart, store.Execute(MakeGet(CoordinatorKey(0)))));
  CoordinatorRoles other{ "c", 3, 9, 1 };
  claim(other, 0);
  REQUIRE(other.Role(0).HoldsKey());
  claim(second, 1);
  CHECK_FALSE(second.Role(1).HoldsKey());
}

TEST_CASE("a daemon that abstained during a check may claim again")
{
  // Guards against a role that waits forever for the reply to the check.
  Store store;
  CoordinatorRoles roles{ "a", 1, 7, 1 };
  const std::vector<CoordinatorRoles::Candidacy> candidacy{ { true, true } };
  roles.OnRead(kStart, 0, { .m_status = Status::NotFound });
  for (const auto& each : roles.OnTick(kStart, candidacy)) {
    roles.OnClaimed(kStart, kStart, 0, store.Execute(each.m_request));
  }
  REQUIRE(roles.Role(0).HoldsKey());
  const TimePoint later = kStart + CoordinatorRole::kConfirmInterval;
  static_cast<void>(roles.OnTick(later, candidacy));
  REQUIRE_FALSE(roles.NextCheck(later).m_keys.empty());
  static_cast<void>(roles.Abstain(later, 0));
  CHECK_FALSE(roles.OnTick(later + 60s, candidacy).empty());
}
