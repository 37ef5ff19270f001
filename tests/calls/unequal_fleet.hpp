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
  /// \returns Time of slots held for offers, as a fraction of that of runs.
  [[nodiscard]] double HeldShare() const
  {
    std::chrono::duration<double> held{ 0 };
    std::chrono::duration<double> busy{ 0 };
    for (const ReplayResult& each : m_kinds) {
      held += each.m_heldTime;
      busy += each.m_busyTime;
    }
    return held / busy;
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

/// \param aDaemons callers' daemons; workers are in proportion.
/// \param aLoad fraction of capacity, the same for each kind of calls.
inline FleetResult
ReplayFleet(ReplayQueueing aQueueing,
            const DecisionSettings& aDecisions,
            std::size_t aDaemons,
            double aLoad,
            Duration aMessageTime = 1ms,
            Duration aCountFrom = Duration{ 0 },
            std::uint64_t aSeed = 7,
            Duration aSpan = 20s)
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
  constexpr std::array<Kind, 4> kKinds{ { { 94ms, 300ms, 5, 0.5 },
                                          { 240ms, 800ms, 21, 0.4 },
                                          { 310ms, 1000ms, 17, 0.3 },
                                          { 590ms, 2000ms, 27, 0.4 } } };
  FleetResult fleet;
  for (const Kind& kind : kKinds) {
    ReplaySetup setup;
    setup.m_queueing = aQueueing;
    setup.m_decisions = aDecisions;
    setup.m_unequal = UnequalWorkers{ .m_mean = kind.m_mean };
    setup.m_slots = 18;
    setup.m_target = kind.m_target;
    setup.m_spread = kind.m_spread;
    setup.m_farHop = 900us;
    setup.m_messageTime = aMessageTime;
    setup.m_crossingCost = 0.1;
    setup.m_span = aSpan;
    setup.m_countFrom = aCountFrom;
    setup.m_seed = aSeed;
    setup.m_domains.clear();
    const std::size_t workers = kind.m_workers * aDaemons / kDaemonsOfShape;
    for (std::size_t i = 0; i < kDomains; ++i) {
      setup.m_domains.push_back(
        { .m_callers = (aDaemons + i) / kDomains,
          .m_workers = (workers + kDomains - 1 - i) / kDomains,
          .m_load = aLoad });
    }
    fleet.m_kinds.push_back(Replay{ setup }.Run());
  }
  return fleet;
}

}
