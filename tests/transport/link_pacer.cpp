#include "greengagehub/core/link_pacer.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

TEST_CASE("large answers are paced to the bandwidth of the link")
{
  LinkPacer pacer{ 15 };
  const TimePoint start{ 100s };
  Duration last{};
  for (std::size_t bytes = 0; bytes < 540'000; bytes += LinkPacer::kPartBytes) {
    last = pacer.Reserve(start, LinkPacer::kPartBytes);
  }
  // 540 kB take 288 ms at 15 Mbit/s.
  CHECK(last >= 288ms - 9ms);
  CHECK(last <= 400ms);
  CHECK(pacer.Backlog(start + 1s) == Duration::zero());
  CHECK(pacer.Reserve(start + 1s, LinkPacer::kPartBytes) == Duration::zero());
}

TEST_CASE("an unknown bandwidth disables pacing")
{
  LinkPacer pacer{ 0 };
  CHECK(pacer.Reserve(TimePoint{ 1s }, 10'000'000) == Duration::zero());
  CHECK(pacer.Reserve(TimePoint{ 1s }, 10'000'000) == Duration::zero());
}
