#include "greengagehub/workspaces/store_check.hpp"

#include "greengagehub/workspaces/coordinator_role.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;
using Config = StoreCheckResult::Config;
using Role = StoreCheckResult::Role;
using Status = StoreReply::Status;

namespace {

constexpr TimePoint kStart{ 1000s };
constexpr Revision kTerm = 7;
const StoreCheck kCheck{ .m_sentAt = kStart,
                         .m_config = { Version{ 3 }, 20, 1 },
                         .m_term = kTerm };

StoreReply
Conflict(Revision aConfig, Revision aTerm)
{
  return { .m_status = Status::Conflict,
           .m_revision = aConfig,
           .m_secondRevision = aTerm,
           .m_value = "{}",
           .m_era = 1 };
}

}

TEST_CASE("a conflict shows for each key whether it has changed")
{
  const auto configOnly = InterpretStoreCheck(kCheck, Conflict(21, kTerm));
  CHECK(configOnly.m_config == Config::Changed);
  CHECK(configOnly.m_role == Role::Confirmed);
  const auto roleOnly = InterpretStoreCheck(kCheck, Conflict(20, 8));
  CHECK(roleOnly.m_config == Config::Current);
  CHECK(roleOnly.m_role == Role::Lost);
  const auto both = InterpretStoreCheck(kCheck, Conflict(21, 8));
  CHECK(both.m_config == Config::Changed);
  CHECK(both.m_role == Role::Lost);
}

TEST_CASE("a key that the store no longer has is changed")
{
  const auto result = InterpretStoreCheck(kCheck, Conflict(0, 0));
  CHECK(result.m_config == Config::Changed);
  CHECK(result.m_role == Role::Lost);
}

TEST_CASE("a conflict that names no changed key shows nothing")
{
  const auto result = InterpretStoreCheck(kCheck, Conflict(20, kTerm));
  CHECK(result.m_config == Config::Unknown);
  CHECK(result.m_role == Role::Unknown);
  const StoreCheck unconfirmed{ .m_sentAt = kStart,
                                .m_config = kCheck.m_config };
  CHECK(InterpretStoreCheck(unconfirmed, Conflict(20, 0)).m_config ==
        Config::Unknown);
}

TEST_CASE("a check without a term shows nothing about the role")
{
  const StoreCheck check{ .m_sentAt = kStart, .m_config = kCheck.m_config };
  CHECK(InterpretStoreCheck(check, { .m_status = Status::Ok }).m_role ==
        Role::Unknown);
  CHECK(InterpretStoreCheck(check, Conflict(21, 0)).m_role == Role::Unknown);
}

TEST_CASE("a revision of another era of the store proves nothing")
{
  // A restored store assigns the same revisions again. The role is reset by
  // OnStoreRestored() instead.
  CHECK(InterpretStoreCheck(kCheck, { .m_status = Status::Ok, .m_era = 2 })
          .m_config == Config::Unknown);
  StoreReply conflict = Conflict(20, 8);
  conflict.m_era = 2;
  CHECK(InterpretStoreCheck(kCheck, conflict).m_config == Config::Changed);
}

TEST_CASE("a version whose revision is unknown is not confirmed")
{
  const StoreCheck check{ .m_sentAt = kStart,
                          .m_config = { Version{ 3 }, 0, 1 } };
  CHECK(InterpretStoreCheck(check, { .m_status = Status::Ok }).m_config ==
        Config::Unknown);
}

TEST_CASE("a storm of configurations does not depose a sound coordinator")
{
  // Guards against counting a conflict over the configuration as a failed
  // call: the coordinator stood down after two of them.
  CoordinatorRole role{ "a", 1, kStart, 7 };
  TimePoint now = kStart;
  CHECK(role.OnTick(now, true, true) == CoordinatorRole::Step::Read);
  role.OnRead(now, { .m_status = Status::NotFound });
  CHECK(role.OnTick(now, true, true) == CoordinatorRole::Step::Claim);
  role.OnClaimed(now, now, { .m_status = Status::Ok, .m_revision = kTerm });
  for (Revision config = 21; config < 60; ++config) {
    now += CoordinatorRole::kConfirmInterval;
    REQUIRE(role.OnTick(now, true, false) == CoordinatorRole::Step::Confirm);
    switch (InterpretStoreCheck(kCheck, Conflict(config, kTerm)).m_role) {
      case Role::Confirmed:
        role.OnConfirmed(now, now, true);
        break;
      case Role::Lost:
        role.OnConfirmed(now, now, false);
        break;
      case Role::Unknown:
        role.OnStoreCallFailed(now);
        break;
    }
    REQUIRE_FALSE(role.StandDownIfFailing(now));
  }
  CHECK(role.IsLeading(now));
}
