#pragma once

#include "greengagehub/calls/worker_incarnation.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief Content of a backend server's heartbeat.
struct WorkerReport
{
  WorkerIncarnation m_incarnation{};
  std::string m_service{};
  std::string m_address{};
  /// Empty: not reported.
  std::string m_version{};
  /// Requests that it processes concurrently.
  std::uint32_t m_slots{ 0 };
  bool m_isDraining{ false };
  std::chrono::milliseconds m_warmUpLeft{ 0 };
  /// Increases with each report of an incarnation.
  std::uint64_t m_sequence{ 0 };
};

/// \brief A backend server that an earlier process of this daemon reported, as
/// its peers know it.
struct PreviousWorker
{
  IncarnationTag m_idTag{ 0 };
  /// 0: not known.
  IncarnationTag m_incarnation{ 0 };
  std::string m_version{};
  std::uint32_t m_slots{ 0 };
  bool m_isLeaving{ false };
};

/// \brief Tracks the current incarnation of the local backend server from its
/// heartbeats.
///
/// Reports may be late, duplicated or out of order, including those of an
/// incarnation that has crashed. An incarnation with a later start time is
/// accepted at its first report. Where start times do not decide (the clock was
/// set back, or a replaced incarnation reports again), it is accepted at its
/// second report if the current one has missed a heartbeat by then.
///
/// The service of a backend server is known from itself only: another one may
/// listen at its address. A health check names the ID, so its response counts
/// if the ID is that of a previous worker.
class WorkerPresence
{
public:
  explicit WorkerPresence(std::chrono::milliseconds aHeartbeatInterval) noexcept
    : m_heartbeatInterval(aHeartbeatInterval)
  {
  }

  enum class Change : std::uint8_t
  {
    /// No change, or an outdated report.
    None,
    /// A new incarnation.
    Arrived,
    /// The same incarnation with another number of slots or start time.
    Updated,
    /// Gets no new requests.
    Leaving,
    /// Another process answers at its address.
    Replaced,
  };

  /// \returns The last accepted report, if any.
  [[nodiscard]] const std::optional<WorkerReport>& Current() const noexcept
  {
    return m_current;
  }
  [[nodiscard]] bool TakesCalls() const noexcept
  {
    return m_current && !m_current->m_isDraining && !m_isReplaced;
  }
  /// \returns Whether the ID in the response to a health check can be accepted.
  [[nodiscard]] bool AwaitsHealthCheck() const noexcept;
  /// \returns Tag of the current incarnation; 0 before its first heartbeat, as
  /// a health check has no start time.
  [[nodiscard]] IncarnationTag CurrentTag() const;
  /// \returns IdTagOf() the current incarnation; 0 if there is none.
  [[nodiscard]] IncarnationTag CurrentIdTag() const;
  /// \returns When the previous incarnation last reported.
  [[nodiscard]] TimePoint PreviousLastReportAt() const noexcept
  {
    return m_previousLastReportAt;
  }
  /// \returns Whether the backend server has missed several heartbeats.
  [[nodiscard]] bool IsSilent(TimePoint aNow) const noexcept;

  [[nodiscard]] Change OnReport(TimePoint aNow, const WorkerReport& aReport);
  [[nodiscard]] Change OnPrevious(PreviousWorker aWorker);
  /// \brief Handles the ID in the response to a health check. Until the first
  /// heartbeat, the worker is accepted if it is a previous one.
  [[nodiscard]] Change OnProbed(TimePoint aNow,
                                const std::string& aId,
                                std::string aService);
  /// \brief Handles a response in which the process at the worker's address
  /// states that it is another one. A later report revokes it.
  [[nodiscard]] Change OnReplaced();
  /// \brief Handles a response in which the current incarnation states that it
  /// is leaving.
  [[nodiscard]] Change OnLeaving();
  /// \brief Handles the deregistration of a backend server, which may still be
  /// finishing requests.
  [[nodiscard]] Change OnDeregistered(TimePoint aNow,
                                      const WorkerIncarnation& aIncarnation);

private:
  /// A replaced incarnation, or one that left before its first report.
  struct PastIncarnation
  {
    WorkerIncarnation m_incarnation;
    /// Sequence number of its last report.
    std::uint64_t m_sequence{ 0 };
    TimePoint m_addedAt{};
  };

  [[nodiscard]] const PastIncarnation* FindPast(
    TimePoint aNow,
    const WorkerIncarnation& aIncarnation) const;
  [[nodiscard]] bool HasLeftBefore(const WorkerIncarnation& aIncarnation) const;
  /// \returns Whether the report has a start time and the accepted one has
  /// none, which is then another writer's.
  [[nodiscard]] bool SupersedesCurrent(const WorkerReport& aReport) const;
  /// \returns Whether the incarnation is accepted at its first report.
  [[nodiscard]] bool IsSuccessor(TimePoint aNow,
                                 const WorkerReport& aReport) const;
  /// \returns Whether an incarnation that IsSuccessor() rejects is accepted by
  /// a further report.
  [[nodiscard]] bool IsConfirmed(TimePoint aNow, const WorkerReport& aReport);
  [[nodiscard]] Change UpdateCurrent(TimePoint aNow,
                                     const WorkerReport& aReport);
  [[nodiscard]] Change Replace(TimePoint aNow, const WorkerReport& aReport);
  void AddPast(PastIncarnation aPast);

  std::chrono::milliseconds m_heartbeatInterval;
  std::optional<WorkerReport> m_current;
  TimePoint m_lastReportAt{};
  TimePoint m_previousLastReportAt{};
  /// Newest last.
  std::deque<PastIncarnation> m_pastIncarnations;
  /// Last report of an incarnation that is not accepted yet.
  std::optional<WorkerReport> m_candidate;
  /// As different peers know them.
  std::vector<PreviousWorker> m_previousWorkers;
  bool m_isReplaced{ false };
  /// The current incarnation has deregistered or stated that it is leaving.
  bool m_hasLeft{ false };
  /// Whether reports have a start time. Those without one are then ignored, as
  /// they come from another sender.
  bool m_reportsStartTime{ false };
};

}
