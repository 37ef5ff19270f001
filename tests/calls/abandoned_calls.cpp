#include "single_call.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::test;

namespace {

/// \returns The cancellations that abandon an attempt.
std::vector<SendCancel>
AbandonedIn(const DispatchActions& aActions)
{
  std::vector<SendCancel> abandoned;
  for (const DispatchAction& each : aActions) {
    const auto* cancel = std::get_if<SendCancel>(&each);
    if (cancel != nullptr && cancel->m_abandon) {
      abandoned.push_back(*cancel);
    }
  }
  return abandoned;
}

}

TEST_CASE(
  "a caller that disconnects cancels its attempt, whatever the state of "
  "the link")
{
  // Guards against runs that continue because the link was down at the time.
  SingleCall call{ false };
  SUBCASE("up") {}
  SUBCASE("down")
  {
    call.Apply(call.m_dispatcher.OnLinkLost(kStart, call.m_slot));
  }
  SUBCASE("up again, the state of the attempt not known yet")
  {
    call.Apply(call.m_dispatcher.OnLinkLost(kStart, call.m_slot));
    call.Apply(
      call.m_dispatcher.OnLinkUp(kStart, call.m_slot, SingleCall::kProcess));
  }
  const auto actions = call.m_dispatcher.OnCallerDisconnected(kStart, 1);
  const auto abandoned = AbandonedIn(actions);
  REQUIRE(abandoned.size() == 1);
  CHECK(abandoned[0].m_attempt == call.m_attempt);
  CHECK(abandoned[0].m_slot == call.m_slot);
  CHECK(abandoned[0].m_until == kStart + 1s);
  CHECK(call.m_dispatcher.InFlight() == 0);
}

TEST_CASE("an attempt that is repeated at another worker is cancelled")
{
  // Guards against two runs of one call after its link was lost.
  SingleCall call{ true };
  const std::uint64_t first = call.m_attempt;
  const std::string slot = call.m_slot;
  const auto actions = call.m_dispatcher.OnLinkLost(kStart, slot);
  call.Apply(actions);
  REQUIRE(call.m_sends == 2);
  const auto abandoned = AbandonedIn(actions);
  REQUIRE(abandoned.size() == 1);
  CHECK(abandoned[0].m_attempt == first);
  CHECK(abandoned[0].m_slot == slot);
}

TEST_CASE("an attempt whose answer is still needed is not abandoned")
{
  // Guards against ending a run whose answer is awaited on the next link.
  SingleCall call{ false };
  CHECK(AbandonedIn(call.m_dispatcher.OnLinkLost(kStart, call.m_slot)).empty());
  CHECK(AbandonedIn(
          call.m_dispatcher.OnLinkUp(kStart, call.m_slot, SingleCall::kProcess))
          .empty());
}

TEST_CASE("a call that its only worker did not start before the link was lost "
          "returns to it")
{
  // Guards against refusing what was queued, although its worker is there.
  SingleCall call{ true };
  const std::string slot = call.m_slot;
  const std::string other = slot == "a" ? "b" : "a";
  call.m_dispatcher.Workers().MarkUnavailable(other);
  call.Apply(call.m_dispatcher.OnLinkLost(kStart, slot));
  call.Apply(call.m_dispatcher.OnLinkUp(kStart, slot, SingleCall::kProcess));
  const std::uint64_t first = call.m_attempt;
  call.Apply(
    call.m_dispatcher.OnCancelResult(kStart, first, AttemptState::NotStarted));
  CHECK_FALSE(call.m_final);
  CHECK(call.m_sends == 2);
  CHECK(call.m_slot == slot);
  CHECK(call.m_attempt != first);
}
