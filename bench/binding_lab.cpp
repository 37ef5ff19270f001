#include "../tests/calls/unequal_fleet.hpp"

#include <fmt/format.h>

/// \file
/// \brief Compares ways to bind calls to workers of unequal speed, on the same
/// arrivals in virtual time, and prints a table.

namespace {

using namespace greengagehub; // NOLINT: a program in one file
using namespace greengagehub::test;

struct Variant
{
  std::string m_name;
  ReplayQueueing m_queueing{ ReplayQueueing::Product };
  DecisionSettings m_decisions{};
};

void
PrintRow(const Variant& aVariant,
         std::size_t aDaemons,
         double aLoad,
         Duration aMessageTime,
         Duration aCountFrom)
{
  const FleetResult fleet = ReplayFleet(aVariant.m_queueing,
                                        aVariant.m_decisions,
                                        aDaemons,
                                        aLoad,
                                        aMessageTime,
                                        aCountFrom);
  fmt::print("| {} | {} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {:.2f} |",
             aDaemons,
             aVariant.m_name,
             aLoad,
             100.0 * fleet.Missed(),
             fleet.Messages(),
             100.0 * fleet.Crossed(),
             100.0 * fleet.HeldShare());
  for (const ReplayResult& each : fleet.m_kinds) {
    fmt::print(
      " {:.2f} / {:.0f} / {:.1f} |",
      100.0 * each.Missed(),
      std::chrono::duration<double, std::milli>(each.LatencyAt(0.99)).count(),
      each.Messages());
  }
  fmt::print("\n");
  std::fflush(stdout);
}

std::vector<Variant>
Variants()
{
  std::vector<Variant> variants;
  variants.push_back(
    { .m_name = "shared", .m_queueing = ReplayQueueing::Shared });
  variants.push_back({ .m_name = "today" });
  Variant queueing{ .m_name = "no busy replies" };
  queueing.m_decisions.m_maxBusyReplies = 0;
  variants.push_back(queueing);
  Variant reservation{ .m_name = "reservation" };
  reservation.m_decisions.m_reservations = 3;
  variants.push_back(reservation);
  Variant pull{ .m_name = "pull" };
  pull.m_decisions.m_reservations = 3;
  pull.m_decisions.m_offersAhead = 4;
  variants.push_back(pull);
  return variants;
}

}

int
main(int aCount, char** aArguments)
{
  fmt::print(
    "| daemons | binding | load | late % | messages | crossed % | held "
    "% | late % / p99 ms of each kind |\n");
  const std::size_t daemons =
    aCount > 1 ? std::stoul(aArguments[1]) : std::size_t{ 70 };
  std::vector<double> loads{ 0.5, 0.8, 0.95, 1.2 };
  if (aCount > 2) {
    loads = { std::stod(aArguments[2]) };
  }
  const std::chrono::microseconds messageTime{ aCount > 3
                                                 ? std::stol(aArguments[3])
                                                 : 1000 };
  const std::chrono::seconds countFrom{ aCount > 4 ? std::stol(aArguments[4])
                                                   : 0 };
  for (const double load : loads) {
    for (const Variant& each : Variants()) {
      PrintRow(each, daemons, load, messageTime, countFrom);
    }
  }
  return 0;
}
