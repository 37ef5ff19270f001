#include "routing_lab.hpp"

#include <fmt/format.h>

/// \file
/// \brief Simulates routing policies and admission under load and prints a
/// table for each service.

namespace {

using namespace greengagehub; // NOLINT: a program in one file
using namespace greengagehub::lab;

double
Millis(std::vector<Duration> aSample, double aProbability)
{
  if (aSample.empty()) {
    return 0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
    aProbability * static_cast<double>(aSample.size() - 1));
  std::nth_element(aSample.begin(), aSample.begin() + index, aSample.end());
  return std::chrono::duration<double, std::milli>(
           aSample[static_cast<std::size_t>(index)])
    .count();
}

template<RoutingPolicy Policy>
void
PrintRow(const char* aPolicy,
         const ServiceShape& aShape,
         WorkerBehavior aBehavior)
{
  const Result result = RoutingLab<Policy>{ aShape, aBehavior, 7 }.Run();
  std::size_t useful = 0;
  std::size_t refused = 0;
  std::size_t failed = 0;
  for (const ClassResult& each : result.m_classes) {
    useful += each.m_latencies.size();
    refused += each.m_refused;
    failed += each.m_failed;
  }
  fmt::print(
    "| {:6} | {:7.1f} | {:5.1f}% | {:4.1f}% | {:5.2f}% |",
    aPolicy,
    static_cast<double>(useful) /
      std::chrono::duration<double>(kSimulatedTime).count(),
    100.0 * static_cast<double>(refused) / static_cast<double>(result.m_calls),
    100.0 * static_cast<double>(failed) / static_cast<double>(result.m_calls),
    100.0 * static_cast<double>(result.m_avoidableRejections) /
      static_cast<double>(result.m_calls));
  for (const ClassResult& each : result.m_classes) {
    const auto all = each.m_latencies.size() + each.m_refused + each.m_failed;
    fmt::print(" {:5.1f} / {:6.1f} / {:5.1f}% |",
               Millis(each.m_latencies, 0.5),
               Millis(each.m_latencies, 0.99),
               100.0 * static_cast<double>(each.m_latencies.size()) /
                 static_cast<double>(std::max<std::size_t>(1, all)));
  }
  fmt::print(
    " {:4} |\n",
    std::chrono::duration_cast<std::chrono::milliseconds>(result.m_recovery)
      .count());
}

void
PrintTable(const ServiceShape& aShape,
           WorkerBehavior aBehavior,
           const char* aBehaviorName)
{
  fmt::print("\n{}, reports: {}, load", aShape.m_name, aBehaviorName);
  for (const double each : aShape.m_loads) {
    fmt::print(" {:.2f}", each);
  }
  fmt::print("\n\n| policy | useful/s | refused | failed | wrong | critical "
             "p50 / p99 / useful | lookup | export | recovery ms |\n"
             "|---|---|---|---|---|---|---|---|---|\n");
  PrintRow<RandomChoice>("random", aShape, aBehavior);
  PrintRow<TwoChoices>("two", aShape, aBehavior);
  PrintRow<ShortestQueue>("jsq", aShape, aBehavior);
  PrintRow<JoinWithTagging>("jsqt", aShape, aBehavior);
}

std::vector<WorkerShape>
IdenticalWorkers(std::size_t aCount, std::uint32_t aSlots, Duration aService)
{
  return std::vector<WorkerShape>(aCount, { aSlots, aService });
}

}

int
main()
{
  const std::vector<WorkerShape> lockers = IdenticalWorkers(5, 20, 10ms);
  const std::vector<WorkerShape> bookings = IdenticalWorkers(6, 6, 10ms);
  const std::vector<WorkerShape> unequal{ { 1, 10ms }, { 10, 10ms } };
  for (const double load : { 0.5, 0.9, 1.2, 2.0 }) {
    PrintTable({ "5 workers of 20 slots", lockers, 40, { load } },
               WorkerBehavior::Honest,
               "honest");
  }
  for (const double load : { 0.9, 1.2 }) {
    PrintTable({ "6 workers of 6 slots", bookings, 12, { load } },
               WorkerBehavior::Honest,
               "honest");
    PrintTable({ "5 workers of 20 slots", lockers, 40, { load } },
               WorkerBehavior::OneClaimsIdle,
               "one claims to be idle");
  }
  PrintTable({ "5 workers of 20 slots", lockers, 40, { 0.5 } },
             WorkerBehavior::OneFailsFast,
             "one fails fast");
  PrintTable({ "rates 1 and 10, bursts", unequal, 20, { 0.09, 1.8 }, 2500ms },
             WorkerBehavior::Honest,
             "honest");
  return 0;
}
