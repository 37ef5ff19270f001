#pragma once

#include "testkit/fleet.hpp"

#include <fmt/format.h>
#include <future>
#include <optional>

namespace greengagehub::testkit {

/// \brief A request that crashes every backend server that runs it, sent
/// repeatedly through different daemons.
class CrashingRequests
{
public:
  CrashingRequests(Fleet& aFleet, std::vector<std::string> aSlots)
    : m_fleet(aFleet)
    , m_slots(std::move(aSlots))
  {
    for (const std::string& each : m_slots) {
      m_fleet.ControlWorker(each,
                            { { "ends_on", kTarget },
                              { "ends_after_ms", 30 },
                              { "back_after_ms", 1500 } });
    }
  }

  /// Sends the request without waiting for the answer.
  void Send(const std::string& aSlot)
  {
    m_sent.push_back(std::async(std::launch::async, [this, aSlot] {
      static_cast<void>(
        m_fleet.Call(aSlot,
                     "GET",
                     kTarget,
                     { { "Host", "a.example" },
                       { "X-Greengagehub-Request-Id", "crashing" },
                       { "X-Greengagehub-Deadline-Ms", "1000" } }));
    }));
  }

  /// Waits for all answers, then until all backend servers are running.
  [[nodiscard]] bool WaitForWorkers()
  {
    m_sent.clear();
    return std::all_of(
      m_slots.begin(), m_slots.end(), [this](const std::string& aSlot) {
        return WaitUntil(
          [&] { return m_fleet.WorkerCounts(aSlot).is_object(); });
      });
  }

  /// \param aDaemonFaults Number of daemons killed, stopped or paused; each may
  /// lose or delay a crash report.
  /// \returns A description of the violation, if any.
  [[nodiscard]] std::optional<std::string> Check(int aDaemonFaults) const
  {
    int crashes = 0;
    for (const std::string& each : m_slots) {
      crashes += m_fleet.WorkerCounts(each).value("ends", 0);
    }
    const int limit = kCrashLimit + kMaxCopiesInFlight + aDaemonFaults;
    if (crashes <= limit) {
      return std::nullopt;
    }
    return fmt::format(
      "{} workers crashed, expected at most {}", crashes, limit);
  }

private:
  static constexpr const char* kTarget = "/read/crashing";
  /// Crashes after which the request is quarantined, and copies that may be in
  /// flight at that time.
  static constexpr int kCrashLimit = 3;
  static constexpr int kMaxCopiesInFlight = 3;

  Fleet& m_fleet;
  std::vector<std::string> m_slots;
  std::vector<std::future<void>> m_sent;
};

}
