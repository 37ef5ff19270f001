#include "../tests/calls/unequal_fleet.hpp"

#include <fmt/format.h>

/// \file
/// \brief Compares ways to place calls at workers of unequal speed with one
/// shared queue, on the same arrivals in virtual time, and prints a table.
///
/// Arguments: daemons, load, time of a message in us, seconds that don't count,
/// seed.

namespace {

using namespace greengagehub; // NOLINT: a program in one file
using namespace greengagehub::test;

struct Variant
{
  const char* m_name;
  ReplayQueueing m_queueing{ ReplayQueueing::Product };
  DecisionSettings m_decisions{};
};

void
PrintRow(const Variant& aVariant, FleetSetup aSetup)
{
  aSetup.m_queueing = aVariant.m_queueing;
  aSetup.m_decisions = aVariant.m_decisions;
  const FleetResult fleet = ReplayFleet(aSetup);
  fmt::print("| {} | {:.2f} | {:.2f} | {:.1f} |",
             aVariant.m_name,
             100.0 * fleet.Missed(),
             fleet.Messages(),
             100.0 * fleet.Crossed());
  for (const ReplayResult& each : fleet.m_kinds) {
    fmt::print(
      " {:.2f} / {:.0f} |",
      100.0 * each.Missed(),
      std::chrono::duration<double, std::milli>(each.LatencyAt(0.99)).count());
  }
  fmt::print("\n");
  std::fflush(stdout);
}

std::vector<Variant>
Variants()
{
  Variant shared{ .m_name = "shared queue",
                  .m_queueing = ReplayQueueing::Shared };
  Variant plain{ .m_name = "reports of 0.5 s, no transit times" };
  plain.m_decisions.m_reportLifetime = std::chrono::milliseconds{ 500 };
  plain.m_decisions.m_countsTransit = false;
  Variant queueing = plain;
  queueing.m_name = "the same without busy replies";
  queueing.m_decisions.m_maxBusyReplies = 0;
  Variant choices = plain;
  choices.m_name = "the same, 4 compared";
  choices.m_decisions.m_choices = 4;
  Variant reports = plain;
  reports.m_name = "reports of 3 s";
  reports.m_decisions.m_reportLifetime = std::chrono::seconds{ 3 };
  Variant transit = reports;
  transit.m_name = "reports of 3 s, transit times";
  transit.m_decisions.m_countsTransit = true;
  return { shared, plain, queueing, choices, reports, transit };
}

}

int
main(int aCount, char** aArguments)
{
  const auto argument = [&](int aIndex, const char* aDefault) {
    return std::stod(aIndex < aCount ? aArguments[aIndex] : aDefault);
  };
  FleetSetup setup;
  setup.m_daemons = static_cast<std::size_t>(argument(1, "70"));
  setup.m_load = argument(2, "0.8");
  setup.m_messageTime =
    std::chrono::microseconds{ static_cast<int>(argument(3, "1000")) };
  setup.m_countFrom =
    std::chrono::seconds{ static_cast<int>(argument(4, "0")) };
  setup.m_seed = static_cast<std::uint64_t>(argument(5, "7"));
  fmt::print("| placing | late in 100 | messages a call | crossed in 100 | "
             "each kind: late in 100 / p99 ms |\n");
  for (const Variant& each : Variants()) {
    PrintRow(each, setup);
  }
  return 0;
}
