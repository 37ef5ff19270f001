#pragma once

#include "replay.hpp"

#include <array>

/// \file
/// \brief Calls of four kinds from many daemons to workers of unequal speed in
/// three failure domains.

namespace greengagehub::test {

struct FleetResult
{
  std::vector<ReplayResult> m_kinds;

  [[nodiscard]] double Missed() const
  {
    double counted = 0.0;
    double inTarget = 0.0;
    for (const ReplayResult& each : m_kinds) {
      counted += static_cast<double>(each.m_counted);
      inTarget += static_cast<double>(each.m_inTarget);
    }
    return 1.0 - inTarget / counted;
  }
  [[nodiscard]] double Messages() const
  {
    return Ratio(&ReplayResult::m_messages);
  }
  [[nodiscard]] double Crossed() const
  {
    return Ratio(&ReplayResult::m_crossed);
  }

private:
  [[nodiscard]] double Ratio(std::size_t ReplayResult::*aCount) const
  {
    double sum = 0.0;
    double calls = 0.0;
    for (const ReplayResult& each : m_kinds) {
      sum += static_cast<double>(each.*aCount);
      calls += static_cast<double>(each.m_calls);
    }
    return sum / calls;
  }
};

struct FleetSetup
{
  ReplayQueueing m_queueing{ ReplayQueueing::Product };
  DecisionSettings m_decisions{};
  /// Callers' daemons; workers are in proportion.
  std::size_t m_daemons{ 70 };
  /// Fraction of capacity, the same for each kind of calls.
  double m_load{ 0.8 };
  /// Time in which a daemon sends or receives a message.
  Duration m_messageTime{ 1ms };
  /// Calls that arrive earlier don't count; workers are cold for 3 s.
  Duration m_countFrom{ 0 };
  std::uint64_t m_seed{ 7 };
};

inline constexpr std::size_t kFleetKinds = 4;

/// \param aKind the first has the fewest workers and the shortest calls.
inline ReplayResult
ReplayKind(const FleetSetup& aFleet, std::size_t aKind)
{
  struct Kind
  {
    std::chrono::milliseconds m_mean;
    std::chrono::milliseconds m_target;
    std::size_t m_workers;
    double m_spread;
  };
  constexpr std::size_t kDomains = 3;
  constexpr std::size_t kDaemonsOfShape = 70;
  constexpr std::array<Kind, kFleetKinds> kKinds{
    { { 94ms, 300ms, 5, 0.5 },
      { 240ms, 800ms, 21, 0.4 },
      { 310ms, 1000ms, 17, 0.3 },
      { 590ms, 2000ms, 27, 0.4 } }
  };
  const Kind& kind = kKinds.at(aKind);
  ReplaySetup setup;
  setup.m_queueing = aFleet.m_queueing;
  setup.m_decisions = aFleet.m_decisions;
  setup.m_unequal = UnequalWorkers{ .m_mean = kind.m_mean };
  setup.m_slots = 18;
  setup.m_target = kind.m_target;
  setup.m_spread = kind.m_spread;
  setup.m_farHop = 900us;
  setup.m_messageTime = aFleet.m_messageTime;
  setup.m_crossingCost = 0.1;
  setup.m_countFrom = aFleet.m_countFrom;
  setup.m_seed = aFleet.m_seed;
  setup.m_domains.clear();
  const std::size_t workers =
    kind.m_workers * aFleet.m_daemons / kDaemonsOfShape;
  for (std::size_t i = 0; i < kDomains; ++i) {
    setup.m_domains.push_back(
      { .m_callers = (aFleet.m_daemons + i) / kDomains,
        .m_workers = (workers + kDomains - 1 - i) / kDomains,
        .m_load = aFleet.m_load });
  }
  return Replay{ setup }.Run();
}

inline FleetResult
ReplayFleet(const FleetSetup& aFleet)
{
  FleetResult result;
  for (std::size_t i = 0; i < kFleetKinds; ++i) {
    result.m_kinds.push_back(ReplayKind(aFleet, i));
  }
  return result;
}

}
