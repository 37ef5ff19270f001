#pragma once

#include "testkit/fleet.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <optional>

namespace greengagehub::testkit {

/// \brief Backend servers that state limits or that they are leaving, and the
/// check of what they receive afterwards.
class StatedSignals
{
public:
  /// \param aSlots may be filled later.
  StatedSignals(Fleet& aFleet, const std::vector<std::string>& aSlots)
    : m_fleet(aFleet)
    , m_slots(aSlots)
  {
  }

  void State(const std::string& aSlot, const nlohmann::json& aSignals) const
  {
    m_fleet.ControlWorker(aSlot, aSignals);
  }

  /// \brief Records the start of a kill, stop or pause of a daemon.
  void BeginFault(const std::string& aSlot)
  {
    m_faults.push_back({ aSlot, Now(), UnixMs::max() });
  }
  /// \brief Records that a daemon runs again.
  void EndFault(const std::string& aSlot)
  {
    for (DaemonFault& each : m_faults) {
      if (each.m_slot == aSlot && each.m_until == UnixMs::max()) {
        each.m_until = Now();
      }
    }
  }

  /// \param aRecords of a load whose requests went to the slots in turn.
  void AddRequests(const std::vector<CallRecord>& aRecords)
  {
    for (std::size_t i = 0; i < aRecords.size(); ++i) {
      m_origins[aRecords[i].m_id] = { m_slots[i % m_slots.size()],
                                      aRecords[i].m_sentAt };
    }
  }

  /// \returns Descriptions of the violations.
  [[nodiscard]] std::vector<std::string> Check() const
  {
    const SignalRules rules{ [this](const std::string& aId) {
                              const auto found = m_origins.find(aId);
                              return found == m_origins.end() ? RequestOrigin{}
                                                              : found->second;
                            },
                             m_faults };
    std::vector<std::string> violations;
    for (const std::string& slot : m_slots) {
      for (const WorkerHistory& each : m_fleet.WorkerHistories(slot)) {
        for (const auto& text :
             { rules.CheckLimit(each), rules.CheckLeaving(each) }) {
          if (text) {
            violations.push_back(fmt::format("{}: {}", slot, *text));
          }
        }
      }
    }
    return violations;
  }

private:
  [[nodiscard]] static UnixMs Now()
  {
    return std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  }

  Fleet& m_fleet;
  const std::vector<std::string>& m_slots;
  std::vector<DaemonFault> m_faults;
  std::map<std::string, RequestOrigin> m_origins;
};

}
