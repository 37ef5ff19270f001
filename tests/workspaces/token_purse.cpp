#include "greengagehub/workspaces/token_purse.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ 1000s };
constexpr auto kWindow = 5000ms;

}

TEST_CASE("a returned token admits one request, until its original expiry")
{
  // Guards against tokens lost with refusals, and against returned tokens that
  // run in a later window than they were counted for.
  for (const Duration after : { Duration{ 399ms }, Duration{ 400ms } }) {
    TokenPurse purse;
    purse.AddTokens(1, kStart + 400ms);
    const auto token = purse.TakeToken(kStart);
    REQUIRE(token);
    CHECK_FALSE(purse.TakeToken(kStart));
    purse.Return(kStart + 300ms, *token);
    CHECK(purse.CountTokens(kStart + 300ms) == 1);
    CHECK(purse.TakeToken(kStart + after).has_value() == (after < 400ms));
    CHECK_FALSE(purse.TakeToken(kStart + after));
  }
}

TEST_CASE("a token that is returned after its expiry is gone")
{
  // Guards against a token that is used long after it was granted.
  TokenPurse purse;
  purse.AddTokens(1, kStart + 400ms);
  const auto token = purse.TakeToken(kStart);
  purse.Return(kStart + 400ms, *token);
  CHECK_FALSE(purse.TakeToken(kStart + 400ms));
}

TEST_CASE("a returned token is spent before those that expire later")
{
  TokenPurse purse;
  purse.AddTokens(1, kStart + 400ms);
  const auto token = purse.TakeToken(kStart);
  purse.AddTokens(1, kStart + 600ms);
  purse.Return(kStart + 100ms, *token);
  CHECK(purse.TakeToken(kStart + 200ms)->m_time == kStart + 400ms);
  CHECK(purse.TakeToken(kStart + 500ms)->m_time == kStart + 600ms);
}

TEST_CASE(
  "the reserve admits each share once a window, and returned uses again")
{
  TokenPurse purse;
  purse.SetReserve(0, 1, kStart + 10s);
  purse.SetReserve(3, 1, kStart + 10s);
  const auto use = purse.TakeReserve(kStart, kWindow);
  REQUIRE(use);
  CHECK(purse.TakeReserve(kStart + 1s, kWindow));
  CHECK_FALSE(purse.TakeReserve(kStart + 2s, kWindow));
  purse.Return(kStart + 3s, *use);
  CHECK(purse.TakeReserve(kStart + 3s, kWindow));
  CHECK_FALSE(purse.TakeReserve(kStart + 5900ms, kWindow));
  CHECK(purse.TakeReserve(kStart + 6s, kWindow));
}

TEST_CASE("a share of the reserve expires")
{
  // Guards against shares that are divided again while they are in use.
  TokenPurse purse;
  purse.SetReserve(0, 4, kStart + 10s);
  CHECK(purse.ReserveShare(kStart + 9999ms) == 4);
  CHECK_FALSE(purse.TakeReserve(kStart + 10s, kWindow));
}

TEST_CASE("what a higher limit granted does not come back")
{
  // Guards against tokens of a limit that has been lowered.
  TokenPurse purse;
  purse.AddTokens(2, kStart + 400ms);
  purse.SetReserve(0, 4, kStart + 10s);
  const auto token = purse.TakeToken(kStart);
  purse.Clear();
  purse.Return(kStart, *token);
  CHECK_FALSE(purse.TakeToken(kStart));
  CHECK_FALSE(purse.TakeReserve(kStart, kWindow));
}
