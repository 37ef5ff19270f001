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

TEST_CASE("a message that is not sent returns its link time")
{
  // Guards against phantom backlog after a lost connection.
  LinkPacer pacer{ 15 };
  const TimePoint now{ 100s };
  {
    LinkTurn turn{ &pacer, 300'000 };
    CHECK(pacer.WaitingBytes() == 300'000);
    CHECK(pacer.Backlog(now) == pacer.TransmissionTime(300'000));
    CHECK(turn.Reserve(now) == Duration::zero());
    CHECK(pacer.WaitingBytes() == 0);
    CHECK(pacer.Backlog(now) == pacer.TransmissionTime(300'000));
    turn.OnSent(100'000);
    LinkTurn moved = std::move(turn);
    CHECK(pacer.ReservedBytes() == 300'000);
  }
  CHECK(pacer.ReservedBytes() == 100'000);
  CHECK(pacer.Backlog(now) <=
        pacer.TransmissionTime(100'000) + Duration{ 1000 });
}
