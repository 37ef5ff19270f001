#include "greengagehub/workspaces/store_check.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;
using Config = ConfigCheckResult;
using Status = StoreReply::Status;

namespace {

constexpr TimePoint kStart{ 1000s };
constexpr Revision kTerm = 7;

StoreCheck
MakeTestCheck()
{
  StoreCheck check{ .m_sentAt = kStart, .m_config = { Version{ 3 }, 20, 1 } };
  check.m_roles.m_keys = { { CoordinatorKey(0), kTerm } };
  return check;
}

const StoreCheck kCheck = MakeTestCheck();
const StoreCheck kCheckWithoutRole{ .m_sentAt = kStart,
                                    .m_config = kCheck.m_config };

/// \param aTerm revision of the coordinator's key; 0: it does not exist.
StoreReply
Conflict(Revision aConfig, Revision aTerm)
{
  StoreReply reply{ .m_status = Status::Conflict,
                    .m_revision = aConfig,
                    .m_value = "{}",
                    .m_era = 1 };
  reply.m_items = { { "config", "{}", aConfig } };
  if (aTerm != 0) {
    reply.m_items.push_back({ CoordinatorKey(0), "a 1", aTerm });
  }
  return reply;
}

/// A daemon that has just become the only coordinator.
CoordinatorRoles
MakeCoordinator(TimePoint aNow)
{
  CoordinatorRoles roles{ "a", 1, 7, 1 };
  const std::vector<CoordinatorRoles::Candidacy> candidacy{ { true, true } };
  REQUIRE(roles.OnTick(aNow, candidacy).size() == 1);
  roles.OnRead(aNow, 0, { .m_status = Status::NotFound });
  REQUIRE(roles.OnTick(aNow, candidacy).size() == 1);
  roles.OnClaimed(
    aNow, aNow, 0, { .m_status = Status::Ok, .m_revision = kTerm });
  return roles;
}

CoordinatorRoles::Check
NextCheck(TimePoint aNow, CoordinatorRoles& aRoles)
{
  static_cast<void>(aRoles.OnTick(aNow, { { true, false } }));
  return aRoles.NextCheck(aNow);
}

}

TEST_CASE("a conflict shows for each key whether it has changed")
{
  CHECK(InterpretStoreCheck(kCheck, Conflict(21, kTerm)) == Config::Changed);
  CHECK(InterpretStoreCheck(kCheck, Conflict(20, 8)) == Config::Current);
  CHECK(InterpretStoreCheck(kCheck, Conflict(21, 8)) == Config::Changed);
  for (const Revision config : { 20, 21 }) {
    CAPTURE(config);
    for (const Revision term : { kTerm, Revision{ 8 } }) {
      CAPTURE(term);
      const TimePoint now = kStart + CoordinatorRole::kConfirmInterval;
      CoordinatorRoles roles = MakeCoordinator(kStart);
      const auto check = NextCheck(now, roles);
      REQUIRE(check.m_keys.size() == 1);
      const auto deposed = roles.OnChecked(now, check, Conflict(config, term));
      CHECK(deposed.empty() == (term == kTerm));
      CHECK(roles.Role(0).HoldsKey() == (term == kTerm));
    }
  }
}

TEST_CASE("a key that the store no longer has is changed")
{
  CHECK(InterpretStoreCheck(kCheck, Conflict(0, 0)) == Config::Changed);
  const TimePoint now = kStart + CoordinatorRole::kConfirmInterval;
  CoordinatorRoles roles = MakeCoordinator(kStart);
  const auto check = NextCheck(now, roles);
  CHECK(roles.OnChecked(now, check, Conflict(0, 0)).size() == 1);
  CHECK_FALSE(roles.Role(0).HoldsKey());
}

TEST_CASE("a conflict that names no changed key shows nothing")
{
  CHECK(InterpretStoreCheck(kCheck, Conflict(20, kTerm)) == Config::Unknown);
  CHECK(InterpretStoreCheck(kCheckWithoutRole, Conflict(20, 0)) ==
        Config::Unknown);
}

TEST_CASE("a check without roles is about the configuration only")
{
  CHECK(MakeStoreCheck("config", kCheckWithoutRole).m_alsoExpected.empty());
  CHECK(InterpretStoreCheck(kCheckWithoutRole, { .m_status = Status::Ok }) ==
        Config::Current);
  CHECK(InterpretStoreCheck(kCheckWithoutRole, Conflict(21, 0)) ==
        Config::Changed);
}

TEST_CASE("a revision of another era of the store proves nothing")
{
  // A restored store assigns the same revisions again. The roles are reset by
  // OnStoreRestored() instead.
  CHECK(InterpretStoreCheck(kCheck, { .m_status = Status::Ok, .m_era = 2 }) ==
        Config::Unknown);
  StoreReply conflict = Conflict(20, 8);
  conflict.m_era = 2;
  CHECK(InterpretStoreCheck(kCheck, conflict) == Config::Changed);
}

TEST_CASE("a version whose revision is unknown is not confirmed")
{
  const StoreCheck check{ .m_sentAt = kStart,
                          .m_config = { Version{ 3 }, 0, 1 } };
  CHECK(InterpretStoreCheck(check, { .m_status = Status::Ok }) ==
        Config::Unknown);
}

TEST_CASE("a storm of configurations does not depose a sound coordinator")
{
  // Guards against counting a conflict over the configuration as a failed
  // call: the coordinator stood down after two of them.
  CoordinatorRoles roles = MakeCoordinator(kStart);
  TimePoint now = kStart;
  for (Revision config = 21; config < 60; ++config) {
    now += CoordinatorRole::kConfirmInterval;
    const auto check = NextCheck(now, roles);
    REQUIRE(check.m_keys.size() == 1);
    CHECK(roles.OnChecked(now, check, Conflict(config, kTerm)).empty());
    REQUIRE_FALSE(roles.Role(0).StandDownIfFailing(now));
  }
  CHECK(roles.IsLeading(now, 0));
}
