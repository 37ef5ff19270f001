#include "greengagehub/calls/call_age_estimator.hpp"
#include "greengagehub/core/random.hpp"

#include <doctest/doctest.h>

using namespace greengagehub;
using namespace std::chrono_literals;

namespace {

/// Samples of first attempts with timeouts between 3.4 and 4 s.
CallAgeEstimator
EstimatorWithSamples(Random& aRandom)
{
  CallAgeEstimator age;
  for (int i = 0; i < 200; ++i) {
    age.Record(3400ms + std::chrono::milliseconds{ Below(aRandom, 600) },
               false);
  }
  return age;
}

}

TEST_CASE("a first attempt with a short timeout is not treated as a retry")
{
  // Guards against first attempts that count as late for a short timeout.
  Random random{ 1 };
  const CallAgeEstimator age = EstimatorWithSamples(random);
  for (int i = 0; i < 200; ++i) {
    const auto timeLeft =
      3400ms + std::chrono::milliseconds{ Below(random, 600) };
    CHECK(age.Estimate(timeLeft, false) == 0ms);
    CHECK(age.Estimate(timeLeft, true) <= 300ms);
  }
  CHECK(age.Estimate(3450ms, true) == 0ms);
  CHECK(age.Estimate(4000ms, true) == 0ms);
}

TEST_CASE("a retry after a refusal counts from the first attempt")
{
  // The caller retried after one second, so its target has passed.
  Random random{ 1 };
  const CallAgeEstimator age = EstimatorWithSamples(random);
  CHECK(age.Estimate(2700ms, true) >= 900ms);
  CHECK(age.Estimate(2700ms, true) <= 1100ms);
  // Requests on a reused connection are first attempts, however little time
  // they have.
  CHECK(age.Estimate(400ms, false) == 0ms);
}

TEST_CASE("without samples of first attempts no call counts as a retry")
{
  // After a start the first requests may all be retries.
  CallAgeEstimator age;
  CHECK(age.Estimate(100ms, true) == 0ms);
  for (int i = 0; i < 100; ++i) {
    age.Record(100ms, true);
  }
  CHECK(age.Estimate(50ms, true) == 0ms);
}

TEST_CASE("an outlier leaves the sample window")
{
  // One call with a timeout of 10 ms must not hide retries for good.
  Random random{ 1 };
  CallAgeEstimator age = EstimatorWithSamples(random);
  age.Record(10ms, false);
  CHECK(age.Estimate(2700ms, true) == 0ms);
  for (int i = 0; i < 32; ++i) {
    age.Record(3700ms, false);
  }
  CHECK(age.Estimate(2700ms, true) == 1000ms);
}
