#include "greengagehub/daemon/resume_filter.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1h };

ResumeFilter::LinkRequest
Request(std::uint64_t aCall, std::uint64_t aEpoch)
{
  return { kStart, { 7, aCall }, aEpoch, {} };
}

}

TEST_CASE("requests read after a pause of the process are delayed")
{
  // The loop may read a request before or after the tick that detects the
  // pause.
  ResumeFilter filter;
  filter.OnTick(kStart, 100s);
  CHECK_FALSE(filter.IsDelaying(kStart + 100ms, 100s + 100ms));
  filter.OnTick(kStart + 100ms, 100s + 100ms);
  SUBCASE("request before tick")
  {
    CHECK(filter.IsDelaying(kStart + 600ms, 100s + 600ms));
    filter.OnTick(kStart + 600ms, 100s + 600ms);
  }
  SUBCASE("tick before request")
  {
    filter.OnTick(kStart + 600ms, 100s + 600ms);
  }
  SUBCASE("the machine was suspended, which the steady clock ignores")
  {
    CHECK(filter.IsDelaying(kStart + 600ms, 105s));
  }
  CHECK(filter.IsDelaying(kStart + 610ms, 105s));
  CHECK_FALSE(filter.IsDelaying(filter.ReleaseTime(), 105s + 20ms));
}

TEST_CASE("a tick delayed by CPU throttling is no pause")
{
  ResumeFilter filter;
  filter.OnTick(kStart, 100s);
  CHECK_FALSE(filter.IsDelaying(kStart + 250ms, 100s + 250ms));
}

TEST_CASE("delayed requests that were cancelled or belong to an older link are "
          "dropped")
{
  ResumeFilter filter;
  CHECK(filter.Add(Request(1, 1)));
  CHECK_FALSE(filter.Add(Request(2, 1)));
  filter.Add(Request(3, 2));
  filter.Cancel({ 7, 1 });
  filter.CloseEpochs(7, 2);
  const auto delayed = filter.TakeAll();
  REQUIRE(delayed.size() == 1);
  CHECK(delayed[0].m_key.m_call == 3);
  CHECK(filter.TakeAll().empty());
}
