#include "greengagehub/config/version_times.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

TEST_CASE("the age of a version counts from its first successor")
{
  // Guards against callers that stay behind through a series of changes and
  // seem to be behind the last one only.
  const TimePoint start{ 1h };
  VersionTimes times;
  CHECK_FALSE(times.FirstAfter(Version{ 1 }));
  times.Record(start, Version{ 5 });
  times.Record(start + 1s, Version{ 9 });
  times.Record(start + 2s, Version{ 9 });
  CHECK(times.FirstAfter(Version{ 3 }) == start);
  CHECK(times.FirstAfter(Version{ 5 }) == start + 1s);
  CHECK(times.FirstAfter(Version{ 7 }) == start + 1s);
  CHECK_FALSE(times.FirstAfter(Version{ 9 }));
}

TEST_CASE("times of old versions are bounded by the oldest one known")
{
  const TimePoint start{ 1h };
  VersionTimes times;
  for (std::uint64_t i = 1; i <= 1000; ++i) {
    times.Record(start + std::chrono::seconds{ i }, Version{ i });
  }
  REQUIRE(times.FirstAfter(Version{ 1 }));
  CHECK(*times.FirstAfter(Version{ 1 }) > start + 900s);
  CHECK(times.FirstAfter(Version{ 999 }) == start + 1000s);
}
