#include "routing_lab.hpp"

#include <doctest/doctest.h>

// Regression bounds on routing and admission, in virtual time: the same
// verdict on every machine. Measured values are in docs/design/overload.md.

using namespace greengagehub;
using namespace greengagehub::lab;

namespace {

Shape
Lockers(double aLoad)
{
  return {
    "lockers", std::vector<WorkerShape>(5, { 20, 10ms }), 40, { aLoad }
  };
}

double
Useful(const ClassResult& aClass)
{
  const std::size_t all =
    aClass.m_latencies.size() + aClass.m_refused + aClass.m_failed;
  return static_cast<double>(aClass.m_latencies.size()) /
         static_cast<double>(all);
}

Result
Run(const Shape& aShape, Reports aReports)
{
  return Lab<TwoChoices>{ aShape, aReports, 7 }.Run();
}

}

TEST_CASE("a worker that claims to be idle does not draw every call")
{
  // One worker's load report lies. Before refusals weighed on the choice,
  // 7.0% of calls were refused while others had free slots.
  const Result result = Run(Lockers(0.9), Reports::OneClaimsIdle);
  CHECK(static_cast<double>(result.m_wrongRefusals) <
        0.005 * static_cast<double>(result.m_calls));
}

TEST_CASE("a worker that fails fast does not draw every call")
{
  // A broken worker answers at once and so always has free slots.
  const Result result = Run(Lockers(0.5), Reports::OneFailsFast);
  CHECK(Useful(result.m_classes[0]) > 0.995);
}

TEST_CASE("releases are answered at 1.2 times capacity, exports are shed")
{
  const Result result = Run(Lockers(1.2), Reports::Honest);
  CHECK(Useful(result.m_classes[0]) > 0.99);
  CHECK(Useful(result.m_classes[1]) > 0.7);
  CHECK(Useful(result.m_classes[2]) < 0.1);
}

TEST_CASE("at twice the capacity useful answers stay at capacity")
{
  // 10,000 calls a second for 40 s is what the workers can do.
  const Result result = Run(Lockers(2.0), Reports::Honest);
  std::size_t useful = 0;
  for (const ClassResult& each : result.m_classes) {
    useful += each.m_latencies.size();
  }
  CHECK(useful > 390'000);
}
