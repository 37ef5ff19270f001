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

/// The one key, as a linearizable store holds it.
struct Key
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

/// Carries out a step whose answer comes at once.
void
Carry(TimePoint aNow, Step aStep, CoordinatorRole& aRole, Key& aKey)
{
  switch (aStep) {
    case Step::Read:
      aRole.OnRead(aNow, aKey.Read());
      break;
    case Step::Claim:
      aRole.OnClaimed(aNow, aNow, aKey.Write(aRole.Expected(), aRole.Value()));
      break;
    case Step::Confirm:
      aRole.OnConfirmed(aNow, aNow, aKey.m_revision == aRole.Expected());
      break;
    case Step::Release:
      static_cast<void>(aKey.Write(aRole.Expected(), {}));
      break;
    case Step::None:
      break;
  }
}

/// Runs one daemon alone from aFrom to aTo.
void
Run(TimePoint aFrom, TimePoint aTo, CoordinatorRole& aRole, Key& aKey)
{
  for (TimePoint now = aFrom; now <= aTo; now += 50ms) {
    Carry(now, aRole.OnTick(now, true, !aRole.HoldsKey()), aRole, aKey);
  }
}

}

TEST_CASE("a coordinator that stands still deals no more when it goes on")
{
  Key key;
  CoordinatorRole role{ "a", 1, kStart, 7 };
  Run(kStart, kStart + 3s, role, key);
  REQUIRE(role.IsLeading(kStart + 3s));
  CHECK_FALSE(role.IsLeading(kStart + 6s));
}

TEST_CASE("a successor deals only after its predecessor's last confirmation "
          "has lapsed")
{
  Key key;
  CoordinatorRole first{ "a", 1, kStart, 7 };
  Run(kStart, kStart + 3s, first, key);
  CoordinatorRole second{ "b", 2, kStart, 8 };
  TimePoint now = kStart + 3s;
  for (; !second.HoldsKey(); now += 50ms) {
    Carry(now, second.OnTick(now, true, true), second, key);
  }
  const TimePoint claimed = now;
  // The first one's next confirmation fails; its last one still counts.
  CHECK(first.IsLeading(claimed));
  for (; !second.IsLeading(now); now += 50ms) {
    REQUIRE(now < claimed + 2s);
    Carry(now, second.OnTick(now, true, false), second, key);
  }
  CHECK_FALSE(first.IsLeading(now));
}

TEST_CASE("a successor of one that has resigned need not wait")
{
  Key key;
  CoordinatorRole first{ "a", 1, kStart, 7 };
  Run(kStart, kStart + 3s, first, key);
  Carry(kStart + 3s, first.Resign(), first, key);
  CHECK_FALSE(first.IsLeading(kStart + 3s));
  CoordinatorRole second{ "b", 2, kStart, 8 };
  Run(kStart + 3s, kStart + 3100ms, second, key);
  CHECK(second.IsLeading(kStart + 3100ms));
}

TEST_CASE(
  "a coordinator that the store turns away stands down, and who hears of "
  "it need not wait")
{
  Key key;
  CoordinatorRole first{ "a", 1, kStart, 7 };
  Run(kStart, kStart + 3s, first, key);
  TimePoint now = kStart + 3s;
  while (!first.StandDownIfFailing(now)) {
    REQUIRE(now < kStart + 5s);
    if (first.OnTick(now, true, false) == Step::Confirm) {
      first.OnFailed(now);
    }
    now += 50ms;
  }
  CHECK_FALSE(first.IsLeading(now));
  CoordinatorRole second{ "b", 2, kStart, 8 };
  second.OnStoodDown(first.Expected());
  Run(now, now + 100ms, second, key);
  CHECK(second.IsLeading(now + 100ms));
}

TEST_CASE("a claim whose answer was lost and that takes effect later still "
          "waits for the predecessor")
{
  Key key;
  CoordinatorRole first{ "a", 1, kStart, 7 };
  Run(kStart, kStart + 3s, first, key);
  CoordinatorRole second{ "b", 2, kStart, 8 };
  second.OnTerm(first.Expected());
  const TimePoint now = kStart + 3s;
  Carry(now, second.OnTick(now, true, true), second, key);
  REQUIRE(second.OnTick(now, true, true) == Step::Claim);
  static_cast<void>(key.Write(second.Expected(), second.Value()));
  second.OnClaimed(now, now, { .m_status = Status::Unknown });
  Run(now + 50ms, now + 900ms, second, key);
  REQUIRE(second.HoldsKey());
  CHECK_FALSE(second.IsLeading(now + 900ms));
}

TEST_CASE("a candidate leaves a coordinator that it has not heard yet time to "
          "make itself heard")
{
  Key key;
  CoordinatorRole first{ "a", 1, kStart, 7 };
  Run(kStart, kStart + 3s, first, key);
  CoordinatorRole second{ "b", 2, kStart, 8 };
  Run(kStart + 3s, kStart + 3500ms, second, key);
  CHECK_FALSE(second.HoldsKey());
  Run(kStart + 3600ms, kStart + 4s, second, key);
  CHECK(second.HoldsKey());
}

TEST_CASE("a store that comes back from an older copy ends the leading")
{
  Key key;
  CoordinatorRole role{ "a", 1, kStart, 7 };
  Run(kStart, kStart + 3s, role, key);
  role.OnStoreRestored(kStart + 3s);
  CHECK_FALSE(role.IsLeading(kStart + 3s));
  key = {};
  Run(kStart + 3s, kStart + 6s, role, key);
  CHECK(role.IsLeading(kStart + 6s));
}

namespace {

/// Two daemons and the calls that they have under way.
struct World
{
  Key m_key;
  std::vector<CoordinatorRole> m_roles;
  std::vector<std::optional<std::pair<Step, StoreReply>>> m_answers;
  std::vector<TimePoint> m_sent;
  TimePoint m_now{ kStart };
};

/// Every order of steps, answers that come late or never, and pauses, to a
/// depth; checks that two never deal at once.
void
Explore(const World& aWorld, int aDepth, std::size_t& aSeen, bool& aBothSeen)
{
  bool leads[2] = { aWorld.m_roles[0].IsLeading(aWorld.m_now),
                    aWorld.m_roles[1].IsLeading(aWorld.m_now) };
  ++aSeen;
  REQUIRE_FALSE((leads[0] && leads[1]));
  aBothSeen = aBothSeen || leads[1];
  if (aDepth == 0) {
    return;
  }
  for (std::size_t i = 0; i < aWorld.m_roles.size(); ++i) {
    if (!aWorld.m_answers[i]) {
      World next = aWorld;
      const Step step = next.m_roles[i].OnTick(next.m_now, true, true);
      if (step == Step::None) {
        continue;
      }
      StoreReply reply;
      if (step == Step::Read) {
        reply = next.m_key.Read();
      } else if (step == Step::Claim) {
        reply =
          next.m_key.Write(next.m_roles[i].Expected(), next.m_roles[i].Value());
      } else {
        reply.m_status = next.m_key.m_revision == next.m_roles[i].Expected()
                           ? Status::Ok
                           : Status::Conflict;
      }
      next.m_answers[i] = { step, reply };
      next.m_sent[i] = next.m_now;
      Explore(next, aDepth - 1, aSeen, aBothSeen);
      continue;
    }
    for (const bool isLost : { false, true }) {
      World next = aWorld;
      auto [step, reply] = *next.m_answers[i];
      next.m_answers[i].reset();
      CoordinatorRole& role = next.m_roles[i];
      if (isLost) {
        reply = { .m_status = Status::Unknown };
      }
      if (step == Step::Read) {
        role.OnRead(next.m_now, reply);
      } else if (step == Step::Claim) {
        role.OnClaimed(next.m_now, next.m_sent[i], reply);
      } else if (isLost) {
        role.OnFailed(next.m_now);
      } else {
        role.OnConfirmed(
          next.m_now, next.m_sent[i], reply.m_status == Status::Ok);
      }
      Explore(next, aDepth - 1, aSeen, aBothSeen);
    }
  }
  World later = aWorld;
  later.m_now += 500ms;
  Explore(later, aDepth - 1, aSeen, aBothSeen);
}

}

TEST_CASE("two daemons never deal at once, in whatever order calls and answers "
          "come, are lost or delayed")
{
  World world;
  world.m_roles = { { "a", 1, kStart - 10s, 7 }, { "b", 2, kStart - 10s, 8 } };
  world.m_answers.resize(2);
  world.m_sent.resize(2);
  // The first one leads; from then on all orders are tried.
  Run(kStart, kStart + 3s, world.m_roles[0], world.m_key);
  world.m_now = kStart + 3s;
  REQUIRE(world.m_roles[0].IsLeading(world.m_now));
  world.m_roles[1].OnTerm(world.m_roles[0].Expected());
  std::size_t seen = 0;
  bool hasSuccessor = false;
  Explore(world, 11, seen, hasSuccessor);
  MESSAGE("states: " << seen);
  CHECK(hasSuccessor);
}
