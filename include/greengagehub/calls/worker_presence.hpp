#pragma once

#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace greengagehub {

/// \brief What a backend server says of itself in a heartbeat.
struct WorkerReport
{
  /// Another one for each start.
  std::string m_id{};
  std::string m_service{};
  std::string m_address{};
  /// Requests it processes at once.
  std::uint32_t m_slots{ 0 };
  bool m_leaving{ false };
  /// How much longer it is slow after its start.
  std::chrono::milliseconds m_coldLeft{ 0 };
  /// Grows with each report of one start.
  std::uint64_t m_sequence{ 0 };
};

/// \brief What is believed of the backend server beside this daemon, from its
/// heartbeats.
class WorkerPresence
{
public:
  /// \param aPeriod time between two heartbeats.
  explicit WorkerPresence(std::chrono::milliseconds aPeriod) noexcept
    : m_period(aPeriod)
  {
  }

  enum class Change : std::uint8_t
  {
    /// Nothing new, or a report that was late.
    None,
    /// A backend server that was not known before.
    Arrived,
    /// The same one with other figures.
    Updated,
    /// It leaves: no new requests.
    Leaving,
  };

  /// \returns The backend server, or nothing while none is known.
  [[nodiscard]] const std::optional<WorkerReport>& Current() const noexcept
  {
    return m_current;
  }
  /// \returns Whether requests may be sent to it.
  [[nodiscard]] bool TakesCalls() const noexcept
  {
    return m_current && !m_current->m_leaving;
  }
  /// \returns Whether it has missed several heartbeats.
  [[nodiscard]] bool IsSilent(TimePoint aNow) const noexcept;

  [[nodiscard]] Change OnReport(TimePoint aNow, const WorkerReport& aReport);
  /// \brief It was asked for its id and gave one; counts until its first
  /// report.
  [[nodiscard]] Change OnProbed(TimePoint aNow, WorkerReport aReport);
  /// \brief It said that it has left, though it may still serve.
  [[nodiscard]] Change OnLeft(const std::string& aId);

private:
  [[nodiscard]] bool IsOutdated(TimePoint aNow,
                                const WorkerReport& aReport) const;

  std::chrono::milliseconds m_period;
  std::optional<WorkerReport> m_current;
  TimePoint m_heardAt{};
  /// Starts that are over; a report of theirs that comes late is ignored.
  std::set<std::string> m_former;
};

}
