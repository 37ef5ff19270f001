#include "greengagehub/calls/link_booking.hpp"

#include "link_replay.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace greengagehub::test;
using namespace std::chrono_literals;

namespace {

void
Report(const char* aName, const LinkReplayResult& aResult)
{
  MESSAGE(aName << ": " << aResult.m_calls << " calls, " << aResult.m_runs
                << " run, arrived before the deadline "
                << aResult.ArrivedShare() << " of them, before the target "
                << aResult.InTargetShare() << ", used " << aResult.m_used
                << ", attempts " << aResult.m_attempts << ", small delay "
                << std::chrono::duration<double, std::milli>(
                     aResult.m_smallDelay)
                     .count()
                << " ms");
}

}

TEST_CASE("downloads beyond what the links carry: what is accepted arrives")
{
  // Guards against runs whose answers wait on the link until after their
  // deadline.
  for (const double load : { 0.8, 1.4, 2.4 }) {
    LinkReplay booked{ { .m_load = load } };
    const LinkReplayResult result = booked.Run();
    Report("booked", result);
    CHECK(result.ArrivedShare() >= 0.98);
    CHECK(booked.BookedBytes() == 0);
    if (load >= 1.4) {
      CHECK(result.m_used >= 0.9);
    }
    LinkReplay meanSizes{ { .m_booksLinks = false, .m_load = load } };
    Report("mean sizes", meanSizes.Run());
  }
}

TEST_CASE("callers' daemons beside the workers: what is accepted arrives")
{
  // Guards against answers to clients that are not counted on the link.
  LinkReplaySetup setup{ .m_callers = 4, .m_callersBesideWorkers = 8 };
  LinkReplay booked{ setup };
  const LinkReplayResult result = booked.Run();
  Report("booked", result);
  CHECK(result.ArrivedShare() >= 0.98);
  CHECK(result.m_used >= 0.9);
  // One part of 16 KiB takes 8.8 ms at 15 Mbit/s.
  CHECK(result.m_smallDelay <= 9ms);
  setup.m_booksLinks = false;
  LinkReplay meanSizes{ setup };
  Report("mean sizes", meanSizes.Run());
}
