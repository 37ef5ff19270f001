#include "routing_lab.hpp"

#include <doctest/doctest.h>

// Regression bounds on routing and admission, simulated in virtual time; see
// docs/design/overload.md.

using namespace greengagehub;
using namespace greengagehub::lab;

namespace {

ServiceShape
Lockers(double aLoad)
{
  return {
    "lockers", std::vector<WorkerShape>(5, { 20, 10ms }), 40, { aLoad }
  };
}

double
AnsweredShare(const ClassResult& aClass)
{
  const std::size_t total =
    aClass.m_latencies.size() + aClass.m_refused + aClass.m_failed;
  return static_cast<double>(aClass.m_latencies.size()) /
         static_cast<double>(total);
}

Result
Run(const ServiceShape& aShape, WorkerBehavior aBehavior)
{
  return RoutingLab<TwoChoices>{ aShape, aBehavior, 7 }.Run();
}

}

TEST_CASE("a worker that misreports itself as idle does not get every call")
{
  // Calls must not be refused there while other workers have free slots.
  const Result result = Run(Lockers(0.9), WorkerBehavior::OneClaimsIdle);
  CHECK(static_cast<double>(result.m_avoidableRejections) <
        0.005 * static_cast<double>(result.m_calls));
}

TEST_CASE("a worker that fails fast does not get every call")
{
  const Result result = Run(Lockers(0.5), WorkerBehavior::OneFailsFast);
  CHECK(AnsweredShare(result.m_classes[0]) > 0.995);
}

TEST_CASE("releases are answered at 1.2 times capacity, exports are shed")
{
  const Result result = Run(Lockers(1.2), WorkerBehavior::Honest);
  CHECK(AnsweredShare(result.m_classes[0]) > 0.99);
  CHECK(AnsweredShare(result.m_classes[1]) > 0.7);
  CHECK(AnsweredShare(result.m_classes[2]) < 0.1);
}

TEST_CASE("at twice the capacity the answered rate stays at capacity")
{
  // The capacity is 10,000 calls per second for 40 s.
  const Result result = Run(Lockers(2.0), WorkerBehavior::Honest);
  std::size_t answered = 0;
  for (const ClassResult& each : result.m_classes) {
    answered += each.m_latencies.size();
  }
  CHECK(answered > 390'000);
}
