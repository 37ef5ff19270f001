#include "one_worker.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::test;
using namespace std::chrono_literals;

namespace {

// Reads alone fill the worker.
constexpr CallStream kRead{ 400ms, 2, 28ms, 250ms, 400ms, 800ms };
constexpr CallStream kCredit{ 150ms, 2, 58ms, 80ms, 150ms, 600ms };
constexpr CallStream kPriceCheck{ 60ms, 0, 16ms, 25ms, 60ms, 200ms };

}

TEST_CASE("short calls are not refused in favour of reads ten times as long")
{
  // Guards against short calls that are queued behind long ones, and finally
  // refused, because they are the first to be late.
  SimulatedWorker worker{ 9 };
  const auto results = worker.Run({ kRead, kCredit, kPriceCheck }, 20s);
  CHECK(results[2].RefusedShare() < 0.01);
  CHECK(results[2].OnTimeShare() > 0.95);
  CHECK(results[1].RefusedShare() < 0.02);
  CHECK(results[1].OnTimeShare() > 0.8);
  CHECK(results[0].RefusedShare() > 0.2);
  CHECK(results[0].RefusedShare() < 0.4);
}

TEST_CASE("routes with the same target and different service times are "
          "separate kinds")
{
  // Guards against short calls that are queued and refused by the mean service
  // time of both routes.
  const CallKind shortKind{ 400ms, 1 };
  const CallKind longKind{ 400ms, 2 };
  SimulatedWorker worker{ 9 };
  const auto results =
    worker.Run({ { shortKind, 1, 10ms, 20ms, 400ms, 800ms },
                 { longKind, 1, 17ms, 200ms, 400ms, 800ms } },
               20s);
  CHECK(results[0].RefusedShare() == 0.0);
  CHECK(results[0].OnTimeShare() > 0.99);
  CHECK(results[1].OnTimeShare() > 0.45);
}

TEST_CASE("a kind without runs is admitted beside slow kinds")
{
  // Guards against a kind that is refused by the service time of another kind
  // and therefore never gets statistics of its own.
  constexpr std::uint64_t kSlots = 9;
  RunTable table{ { .m_slots = kSlots, .m_queue = 10 } };
  TimePoint now{ 1h };
  RunActions out;
  const WorkDemand read{
    .m_priority = 2, .m_kind = 400ms, .m_timeLeft = 800ms, .m_targetLeft = 400ms
  };
  const WorkDemand priceCheck{ .m_kind = 60ms,
                               .m_timeLeft = 200ms,
                               .m_targetLeft = 60ms };
  for (std::uint64_t call = 1; call <= 2 * kSlots; ++call) {
    REQUIRE(table.Admit(now, { 1, call }, 1, read, out).m_kind ==
            Admission::Kind::Start);
    if (call == kSlots) {
      now += 300ms;
      for (std::uint64_t done = 1; done <= kSlots; ++done) {
        static_cast<void>(table.Finish(now, { 1, done }));
      }
    }
  }
  CHECK(table.Admit(now, { 1, 100 }, 1, priceCheck, out).m_kind ==
        Admission::Kind::Queued);
}
