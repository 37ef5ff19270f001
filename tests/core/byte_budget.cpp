#include "greengagehub/core/byte_budget.hpp"

#include "greengagehub/core/body.hpp"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace greengagehub;

namespace {

constexpr std::size_t kLimit = 800'000;

struct Grants
{
  void Wait(ByteBudget& aBudget,
            ByteWaiter& aWaiter,
            std::size_t aBytes,
            ByteUse aUse)
  {
    aBudget.Wait(aWaiter, aBytes, aUse, [this](ByteReservation aReservation) {
      m_granted.push_back(std::move(aReservation));
    });
  }

  std::vector<ByteReservation> m_granted;
};

}

TEST_CASE("small requests and answers have room beside large ones")
{
  // Guards against large bodies that keep all other requests out.
  const ByteBudget::Pointer budget{ new ByteBudget{ kLimit } };
  const auto large = budget->Reserve(600'000, ByteUse::LargeRequest);
  CHECK(large.Bytes() == 600'000);
  CHECK(budget->Reserve(1, ByteUse::LargeRequest).Bytes() == 0);
  const auto largeAnswer = budget->Reserve(150'000, ByteUse::LargeAnswer);
  CHECK(largeAnswer.Bytes() == 150'000);
  CHECK(budget->Reserve(1, ByteUse::LargeAnswer).Bytes() == 0);
  const auto small = budget->Reserve(25'000, ByteUse::SmallRequest);
  CHECK(small.Bytes() == 25'000);
  CHECK(budget->Reserve(1, ByteUse::SmallRequest).Bytes() == 0);
  const auto smallAnswer = budget->Reserve(25'000, ByteUse::SmallAnswer);
  CHECK(smallAnswer.Bytes() == 25'000);
  CHECK(budget->Reserve(1, ByteUse::SmallAnswer).Bytes() == 0);
  CHECK(budget->Used() == kLimit);
  CHECK(budget->Failures() == 4);
}

TEST_CASE("a large answer that waits is not passed by other large bodies")
{
  // Guards against an answer of a request that has run which never finds room.
  const ByteBudget::Pointer budget{ new ByteBudget{ kLimit } };
  auto held = budget->Reserve(500'000, ByteUse::LargeAnswer);
  Grants grants;
  ByteWaiter request;
  ByteWaiter answer;
  ByteWaiter later;
  grants.Wait(*budget, answer, 400'000, ByteUse::LargeAnswer);
  grants.Wait(*budget, request, 100'000, ByteUse::LargeRequest);
  grants.Wait(*budget, later, 100'000, ByteUse::LargeAnswer);
  CHECK(budget->Reserve(100'000, ByteUse::LargeAnswer).Bytes() == 0);
  CHECK(budget->Reserve(1000, ByteUse::SmallRequest).Bytes() == 1000);
  CHECK(grants.m_granted.empty());
  held = {};
  REQUIRE(grants.m_granted.size() == 3);
  CHECK(grants.m_granted.front().Bytes() == 400'000);
}

TEST_CASE("a large request that waits is not passed by other large ones")
{
  // Guards against a body that never finds room among smaller ones.
  const ByteBudget::Pointer budget{ new ByteBudget{ kLimit } };
  auto held = budget->Reserve(300'000, ByteUse::LargeRequest);
  Grants grants;
  ByteWaiter first;
  ByteWaiter second;
  grants.Wait(*budget, first, 500'000, ByteUse::LargeRequest);
  grants.Wait(*budget, second, 100'000, ByteUse::LargeRequest);
  CHECK(budget->Reserve(100'000, ByteUse::LargeRequest).Bytes() == 0);
  CHECK(budget->Reserve(100'000, ByteUse::LargeAnswer).Bytes() == 100'000);
  CHECK(budget->WaitingBytes() == 600'000);
  CHECK(grants.m_granted.empty());
  held = {};
  REQUIRE(grants.m_granted.size() == 2);
  CHECK(grants.m_granted.front().Bytes() == 500'000);
  CHECK_FALSE(budget->HasWaiters());
  grants.m_granted.clear();
  CHECK(budget->Used() == 0);
}

TEST_CASE("a wait that is cancelled lets the next one through")
{
  const ByteBudget::Pointer budget{ new ByteBudget{ kLimit } };
  const auto held = budget->Reserve(300'000, ByteUse::LargeRequest);
  Grants grants;
  ByteWaiter second;
  {
    ByteWaiter first;
    grants.Wait(*budget, first, 500'000, ByteUse::LargeRequest);
  }
  grants.Wait(*budget, second, 100'000, ByteUse::LargeRequest);
  CHECK(grants.m_granted.size() == 1);
}

TEST_CASE("a wait that has ended keeps nothing of its handler")
{
  // Guards against connections that own a wait and never end.
  const ByteBudget::Pointer budget{ new ByteBudget{ kLimit } };
  auto held = budget->Reserve(600'000, ByteUse::LargeRequest);
  const auto owner = std::make_shared<int>();
  ByteWaiter cancelled;
  ByteWaiter granted;
  for (ByteWaiter* each : { &cancelled, &granted }) {
    budget->Wait(
      *each, 1000, ByteUse::LargeRequest, [owner](const ByteReservation&) {});
  }
  CHECK(owner.use_count() == 3);
  cancelled.Cancel();
  CHECK(owner.use_count() == 2);
  held = {};
  CHECK(owner.use_count() == 1);
}

TEST_CASE("copies of a body share its bytes and return them together")
{
  // Guards against a copy of the body in each stage of a call.
  const ByteBudget::Pointer budget{ new ByteBudget{ kLimit } };
  BodyBuffer buffer;
  buffer.AddRoom(100'000, budget->Reserve(100'000, ByteUse::LargeRequest));
  buffer.Append(std::string(100'000, 'x'));
  Body body{ std::move(buffer) };
  Body copy = body;
  CHECK(copy.Data() == body.Data());
  CHECK(budget->Used() == 100'000);
  body = {};
  CHECK(copy == Body{ std::string(100'000, 'x') });
  CHECK(budget->Used() == 100'000);
  copy = {};
  CHECK(budget->Used() == 0);
}
