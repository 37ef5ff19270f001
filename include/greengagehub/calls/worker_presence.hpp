#pragma once

#include "greengagehub/calls/worker_start.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace greengagehub {

/// \brief What a backend server says of itself in a heartbeat.
struct WorkerReport
{
  WorkerStart m_start{};
  std::string m_service{};
  std::string m_address{};
  /// Version of its software; empty: not told.
  std::string m_version{};
  /// Requests it processes at once.
  std::uint32_t m_slots{ 0 };
  bool m_leaving{ false };
  /// How much longer it is slow after its start.
  std::chrono::milliseconds m_coldLeft{ 0 };
  /// Grows with each report of one start; each start counts anew.
  std::uint64_t m_sequence{ 0 };
};

/// \brief What is believed of the backend server beside this daemon, from its
/// heartbeats.
///
/// Reports come late, twice and out of order, also those of a start that has
/// crashed meanwhile. Of two starts the one born later is the newer one, and it
/// is believed at its first report. Where that does not tell (the time of day
/// stepped back in between, or a start that was followed by another speaks
/// again), a start is believed at its second report, if the one known has
/// missed its own meanwhile: a late report has no successor, and one that lives
/// goes on reporting.
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
    /// A start that was not known before.
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
  /// \returns When the start before this one last reported; it was alive then.
  [[nodiscard]] TimePoint FormerHeardAt() const noexcept
  {
    return m_formerHeardAt;
  }
  /// \returns Whether it has missed several heartbeats.
  [[nodiscard]] bool IsSilent(TimePoint aNow) const noexcept;

  [[nodiscard]] Change OnReport(TimePoint aNow, const WorkerReport& aReport);
  /// \brief It was asked for its id and gave one; counts until its first
  /// report.
  [[nodiscard]] Change OnProbed(TimePoint aNow, WorkerReport aReport);
  /// \brief It said that it has left, though it may still serve.
  [[nodiscard]] Change OnLeft(TimePoint aNow, const WorkerStart& aStart);

private:
  /// A start that is over, or that left before it was known here.
  struct Former
  {
    WorkerStart m_start;
    /// Of its last report.
    std::uint64_t m_sequence{ 0 };
    TimePoint m_since{};
  };

  [[nodiscard]] const Former* FindFormer(TimePoint aNow,
                                         const WorkerStart& aStart) const;
  /// \returns Whether its first report is enough to believe in it.
  [[nodiscard]] bool IsSuccessor(TimePoint aNow,
                                 const WorkerReport& aReport) const;
  /// \returns Whether a start of which IsSuccessor() says no is to be believed
  /// by now.
  [[nodiscard]] bool HasProved(TimePoint aNow, const WorkerReport& aReport);
  [[nodiscard]] Change TakeOwn(TimePoint aNow, const WorkerReport& aReport);
  [[nodiscard]] Change Replace(TimePoint aNow, const WorkerReport& aReport);
  void AddFormer(Former aFormer);

  std::chrono::milliseconds m_period;
  std::optional<WorkerReport> m_current;
  TimePoint m_heardAt{};
  TimePoint m_formerHeardAt{};
  /// Newest last.
  std::deque<Former> m_former;
  /// Last report of a start that is not believed yet.
  std::optional<WorkerReport> m_contender;
  /// Its reports tell the time of its start; one that does not is another
  /// writer's.
  bool m_tellsBorn{ false };
};

}
