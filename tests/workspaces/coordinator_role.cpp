#include "greengagehub/workspaces/coordinator_role.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace greengagehub;
using namespace std::chrono_literals;
using Step = CoordinatorRole::Step;
using Status = StoreReply::Status;

namespace {

constexpr TimePoint kStart{ 1000s };

struct StoredKey
{
  std::string m_value;
  Revision m_revision{ 0 };

  StoreReply Read() const
  {
    return { .m_status = m_revision > 0 ? Status::Ok : Status::NotFound,
             .m_revision = m_revision,
             .m_value = m_value };
  }
  StoreReply Write(Revision aExpected, std::string aValue)
  {
    if (aExpected != m_revision) {
      return { .m_status = Status::Conflict,
               .m_revision = m_revision,
               .m_value = m_value };
    }
    m_value = std::move(aValue);
    return { .m_status = Status::Ok, .m_revision = ++m_revision };
  }
};

void
Execute(TimePoint aNow, Step aStep, CoordinatorRole& aRole, StoredKey& aKey)
{
  switch (aStep) {
    case Step::Read:
      aRole.OnRead(aNow, aKey.Read());
      break;
    case Step::Claim:
      aRole.OnClaimed(
        aNow, aNow, aKey.Write(aRole.ExpectedRevision(), aRole.KeyValue()));
      break;
    case Step::Confirm:
      aRole.OnConfirmed(
        aNow, aNow, aKey.m_revision == aRole.ExpectedRevision());
      break;
    case Step::Release:
      static_cast<void>(aKey.Write(aRole.ExpectedRevision(), {}));
      break;
    case Step::None:
      break;
  }
}

void
RunAlone(TimePoint aFrom,
         TimePoint aTo,
         CoordinatorRole& aRole,
         StoredKey& aKey)
{
  for (TimePoint now = aFrom; now <= aTo; now += 50ms) {
    Execute(now, aRole.OnTick(now, true, !aRole.HoldsKey()), aRole, aKey);
  }
}

}

TEST_CASE("a paused coordinator grants no tokens after it resumes")
{
  StoredKey key;
  CoordinatorRole role{ "a", 1, 7 };
  RunAlone(kStart, kStart + 3s, role, key);
  REQUIRE(role.IsLeading(kStart + 3s));
  CHECK_FALSE(role.IsLeading(kStart + 6s));
}

TEST_CASE("a successor grants tokens only after its predecessor's lease "
          "has expired")
{
  StoredKey key;
  CoordinatorRole first{ "a", 1, 7 };
  RunAlone(kStart, kStart + 3s, first, key);
  CoordinatorRole second{ "b", 2, 8 };
  TimePoint now = kStart + 3s;
  for (; !second.HoldsKey(); now += 50ms) {
    Execute(now, second.OnTick(now, true, true), second, key);
  }
  const TimePoint claimed = now;
  // The lease is valid although the next confirmation would fail.
  CHECK(first.IsLeading(claimed));
  for (; !second.IsLeading(now); now += 50ms) {
    REQUIRE(now < claimed + 2s);
    Execute(now, second.OnTick(now, true, false), second, key);
  }
  CHECK_FALSE(first.IsLeading(now));
}

TEST_CASE("the successor of a coordinator that resigned need not wait")
{
  StoredKey key;
  CoordinatorRole first{ "a", 1, 7 };
  RunAlone(kStart, kStart + 3s, first, key);
  Execute(kStart + 3s, first.Resign(), first, key);
  CHECK_FALSE(first.IsLeading(kStart + 3s));
  CoordinatorRole second{ "b", 2, 8 };
  RunAlone(kStart + 3s, kStart + 3100ms, second, key);
  CHECK(second.IsLeading(kStart + 3100ms));
}

TEST_CASE("a coordinator stands down after failed confirmations, and its "
          "successor need not wait")
{
  StoredKey key;
  CoordinatorRole first{ "a", 1, 7 };
  RunAlone(kStart, kStart + 3s, first, key);
  TimePoint now = kStart + 3s;
  while (!first.StandDownIfFailing(now)) {
    REQUIRE(now < kStart + 5s);
    if (first.OnTick(now, true, false) == Step::Confirm) {
      first.OnStoreCallFailed(now);
    }
    now += 50ms;
  }
  CHECK_FALSE(first.IsLeading(now));
  CoordinatorRole second{ "b", 2, 8 };
  second.OnTermEnded(first.ExpectedRevision());
  RunAlone(now, now + 100ms, second, key);
  CHECK(second.IsLeading(now + 100ms));
}

TEST_CASE("a daemon whose claim succeeded without a reply still waits for its "
          "predecessor's lease to expire")
{
  StoredKey key;
  CoordinatorRole first{ "a", 1, 7 };
  RunAlone(kStart, kStart + 3s, first, key);
  CoordinatorRole second{ "b", 2, 8 };
  second.OnTermReported(first.ExpectedRevision());
  const TimePoint now = kStart + 3s;
  Execute(now, second.OnTick(now, true, true), second, key);
  REQUIRE(second.OnTick(now, true, true) == Step::Claim);
  static_cast<void>(key.Write(second.ExpectedRevision(), second.KeyValue()));
  second.OnClaimed(now, now, { .m_status = Status::Unknown });
  RunAlone(now + 50ms, now + 900ms, second, key);
  REQUIRE(second.HoldsKey());
  CHECK_FALSE(second.IsLeading(now + 900ms));
}

TEST_CASE(
  "a candidate waits for a report of the coordinator that the key names")
{
  StoredKey key;
  CoordinatorRole first{ "a", 1, 7 };
  RunAlone(kStart, kStart + 3s, first, key);
  CoordinatorRole second{ "b", 2, 8 };
  RunAlone(kStart + 3s, kStart + 3500ms, second, key);
  CHECK_FALSE(second.HoldsKey());
  RunAlone(kStart + 3600ms, kStart + 4s, second, key);
  CHECK(second.HoldsKey());
}

TEST_CASE("restoring the store from an older copy ends the coordinator's lease")
{
  StoredKey key;
  CoordinatorRole role{ "a", 1, 7 };
  RunAlone(kStart, kStart + 3s, role, key);
  role.OnStoreRestored(kStart + 3s);
  CHECK_FALSE(role.IsLeading(kStart + 3s));
  key = {};
  RunAlone(kStart + 3s, kStart + 6s, role, key);
  CHECK(role.IsLeading(kStart + 6s));
}

namespace {

struct State
{
  StoredKey m_key;
  std::vector<CoordinatorRole> m_roles;
  std::vector<std::optional<std::pair<Step, StoreReply>>> m_pendingReplies;
  std::vector<TimePoint> m_sentAt;
  TimePoint m_now{ kStart };
};

/// Tries every order of steps, delayed and lost replies, and pauses, up to
/// aStepsLeft steps. Fails if both daemons lead at the same time.
void
ExploreOrders(const State& aState,
              int aStepsLeft,
              std::size_t& aVisited,
              bool& aSecondLed)
{
  bool isLeading[2] = { aState.m_roles[0].IsLeading(aState.m_now),
                        aState.m_roles[1].IsLeading(aState.m_now) };
  ++aVisited;
  REQUIRE_FALSE((isLeading[0] && isLeading[1]));
  aSecondLed = aSecondLed || isLeading[1];
  if (aStepsLeft == 0) {
    return;
  }
  for (std::size_t i = 0; i < aState.m_roles.size(); ++i) {
    if (!aState.m_pendingReplies[i]) {
      State next = aState;
      const Step step = next.m_roles[i].OnTick(next.m_now, true, true);
      if (step == Step::None) {
        continue;
      }
      StoreReply reply;
      if (step == Step::Read) {
        reply = next.m_key.Read();
      } else if (step == Step::Claim) {
        reply = next.m_key.Write(next.m_roles[i].ExpectedRevision(),
                                 next.m_roles[i].KeyValue());
      } else {
        reply.m_status =
          next.m_key.m_revision == next.m_roles[i].ExpectedRevision()
            ? Status::Ok
            : Status::Conflict;
      }
      next.m_pendingReplies[i] = { step, reply };
      next.m_sentAt[i] = next.m_now;
      ExploreOrders(next, aStepsLeft - 1, aVisited, aSecondLed);
      continue;
    }
    for (const bool isLost : { false, true }) {
      State next = aState;
      auto [step, reply] = *next.m_pendingReplies[i];
      next.m_pendingReplies[i].reset();
      CoordinatorRole& role = next.m_roles[i];
      if (isLost) {
        reply = { .m_status = Status::Unknown };
      }
      if (step == Step::Read) {
        role.OnRead(next.m_now, reply);
      } else if (step == Step::Claim) {
        role.OnClaimed(next.m_now, next.m_sentAt[i], reply);
      } else if (isLost) {
        role.OnStoreCallFailed(next.m_now);
      } else {
        role.OnConfirmed(
          next.m_now, next.m_sentAt[i], reply.m_status == Status::Ok);
      }
      ExploreOrders(next, aStepsLeft - 1, aVisited, aSecondLed);
    }
  }
  State later = aState;
  later.m_now += 500ms;
  ExploreOrders(later, aStepsLeft - 1, aVisited, aSecondLed);
}

}

TEST_CASE("two daemons never lead at once, however store calls and replies are "
          "ordered, delayed or lost")
{
  State state;
  state.m_roles = { { "a", 1, 7 }, { "b", 2, 8 } };
  state.m_pendingReplies.resize(2);
  state.m_sentAt.resize(2);
  // All orders are tried from the time that the first daemon leads.
  RunAlone(kStart, kStart + 3s, state.m_roles[0], state.m_key);
  state.m_now = kStart + 3s;
  REQUIRE(state.m_roles[0].IsLeading(state.m_now));
  state.m_roles[1].OnTermReported(state.m_roles[0].ExpectedRevision());
  std::size_t visited = 0;
  bool secondLed = false;
  ExploreOrders(state, 11, visited, secondLed);
  MESSAGE("states: " << visited);
  CHECK(secondLed);
}
