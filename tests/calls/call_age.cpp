#include "greengagehub/calls/call_age.hpp"
#include "greengagehub/core/random.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

/// Callers that wait between 3.4 and 4 s, on connections that they keep.
CallAge
AfterPatientAndHastyCallers(Random& aRandom)
{
  CallAge age;
  for (int i = 0; i < 200; ++i) {
    age.Note(3400ms + std::chrono::milliseconds{ Below(aRandom, 600) }, false);
  }
  return age;
}

}

TEST_CASE("a hasty caller's first try is not taken for a repeated one")
{
  // Some callers wait 4 s, others 3.4 s; the target is 600 ms. With what falls
  // short of the longest taken for age, half of the fresh calls seemed to have
  // less than half of their target left, waited behind the others, and were
  // late or refused at two thirds of the load that workers can bear.
  Random random{ 1 };
  const CallAge age = AfterPatientAndHastyCallers(random);
  for (int i = 0; i < 200; ++i) {
    const auto asked = 3400ms + std::chrono::milliseconds{ Below(random, 600) };
    CHECK(age.Of(asked, false) == 0ms);
    CHECK(age.Of(asked, true) <= 300ms);
  }
  CHECK(age.Of(3450ms, true) == 0ms);
  CHECK(age.Of(4000ms, true) == 0ms);
}

TEST_CASE("a caller that comes back after a refusal brings its age")
{
  // It was told to come back after a second; its target has passed, and those
  // who have just come go first.
  Random random{ 1 };
  const CallAge age = AfterPatientAndHastyCallers(random);
  CHECK(age.Of(2700ms, true) >= 900ms);
  CHECK(age.Of(2700ms, true) <= 1100ms);
  // On a connection that is kept nothing is repeated: a worker's own call may
  // have little time because the call that it serves has.
  CHECK(age.Of(400ms, false) == 0ms);
}

TEST_CASE("nothing is concluded before first tries were seen")
{
  // Right after a start a caller's second try may be all there is.
  CallAge age;
  CHECK(age.Of(100ms, true) == 0ms);
  for (int i = 0; i < 100; ++i) {
    age.Note(100ms, true);
  }
  CHECK(age.Of(50ms, true) == 0ms);
}

TEST_CASE("one odd deadline is forgotten")
{
  // A caller that waits 10 ms at most must not make repeats look fresh for
  // good.
  Random random{ 1 };
  CallAge age = AfterPatientAndHastyCallers(random);
  age.Note(10ms, false);
  CHECK(age.Of(2700ms, true) == 0ms);
  for (int i = 0; i < 32; ++i) {
    age.Note(3700ms, false);
  }
  CHECK(age.Of(2700ms, true) == 1000ms);
}
