#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/calls/decision_settings.hpp"
#include "greengagehub/calls/worker_incarnation.hpp"
#include "greengagehub/calls/worker_signal_table.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/table.hpp"
#include "greengagehub/rollout/rollout_table.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief A worker and the statistics that this daemon has about it.
struct WorkerRow
{
  std::string m_slot;
  std::string m_service;
  std::string m_domain;
  /// Empty: not reported.
  std::string m_version{};
  /// Hash of the slot: sorts workers in the same order on all daemons.
  std::uint64_t m_slotHash{ 0 };
  std::uint32_t m_slots{ 1 };
  /// 0: not reported.
  IncarnationTag m_incarnation{ 0 };
  /// Attempts in flight from this daemon.
  std::uint32_t m_inFlight{ 0 };
  /// Calls queued and running.
  std::uint32_t m_reportedLoad{ 0 };
  TimePoint m_reportedAt{};
  /// Last statistics reported for one kind of calls.
  struct KindStats
  {
    CallKind m_kind{};
    std::chrono::microseconds m_serviceTime{ 0 };
    /// Wait of another call of the kind at that time, for a slot and for the
    /// network link.
    std::chrono::microseconds m_wait{ 0 };
    TimePoint m_at{};
  };
  std::vector<KindStats> m_kindStats{};
  /// Moving average of the time of attempts outside the worker's daemon: both
  /// daemons' sending and receiving, and the network.
  Duration m_transitTime{ 0 };
  TimePoint m_transitAt{};
  /// Moving average of the share of failed attempts, in [0, 1].
  double m_failureShare{ 0.0 };
  /// Moving average of the share of attempts refused for overload, in [0, 1].
  double m_refusalShare{ 0.0 };
  TimePoint m_ejectedUntil{};
  std::uint32_t m_ejections{ 0 };
  /// Until then the worker gets no call, as its own limit left no room.
  TimePoint m_limitedUntil{};
  /// Length of that time after the latest refusal.
  std::chrono::milliseconds m_limitBackoff{ 0 };
  bool m_isUnavailable{ false };
};

/// \brief Load statistics in a worker's answer.
struct LoadReport
{
  /// Calls queued and running.
  std::uint32_t m_load{ 0 };
  /// Calls that it can run concurrently; 0: no worker is present.
  std::uint32_t m_slots{ 0 };
  CallKind m_kind{};
  std::chrono::microseconds m_serviceTime{ 0 };
  /// For a slot and for the network link.
  std::chrono::microseconds m_wait{ 0 };
};

/// \brief Properties of a call that the selection of a worker depends on.
struct RoutingContext
{
  TimePoint m_now;
  CallKind m_kind{};
  Duration m_targetLeft{ std::chrono::seconds{ 1 } };
  /// Cost of crossing between failure domains, as a share of the call's value.
  double m_crossingCost{ 0.0 };
  Duration m_deadlineLeft{ std::chrono::seconds{ 10 } };
  /// Time that the answer takes into this instance; zero if it is small.
  Duration m_remoteTransfer{ 0 };
};

template<class T>
concept RoutingPolicy = requires(T aPolicy,
                                 const std::vector<const WorkerRow*>& aRows,
                                 const RoutingContext& aContext,
                                 Random& aRandom)
{
  {
    aPolicy.Choose(aRows, aContext, aRandom)
    } -> std::same_as<std::size_t>;
};

/// \returns Expected load per slot: the larger of the reported load and this
/// daemon's calls in flight, plus penalties for failures and refusals. Without
/// the penalties a worker that fails fast or misreports its load would attract
/// every call.
[[nodiscard]] double
LoadScore(const WorkerRow& aRow, TimePoint aNow) noexcept;

struct RandomChoice
{
  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom) const;
};

/// \brief The less loaded of two random workers (Mitzenmacher, 2001).
struct TwoChoices
{
  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom) const;
};

/// \brief Selects the worker with the lowest LoadScore(); ties are broken at
/// random.
struct ShortestQueue
{
  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom) const;
};

/// \brief Join the shortest queue with tagging (Li, Paschos, Tassiulas and
/// Modiano, "Dynamic overload balancing in server farms", IFIP Networking
/// 2014), weighted min-max fair: overflow is spread in proportion to capacity.
///
/// Used for comparison only; see docs/design/overload.md.
class JoinWithTagging
{
public:
  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom);

private:
  /// The paper's virtual queue: tagged calls enter, a computed rate drains it.
  struct VirtualQueue
  {
    double m_length{ 0.0 };
    TimePoint m_updated{};
  };

  void Drain(VirtualQueue& aQueue, double aSlots, TimePoint aNow) const;

  std::map<std::string, VirtualQueue, std::less<>> m_virtual;
};

/// \brief Workers by service, with the statistics of calls to them.
class WorkerTable
{
public:
  using Index = Table<WorkerRow>::Index;

  [[nodiscard]] const WorkerRow& At(Index aIndex) const
  {
    return m_rows.At(aIndex);
  }
  [[nodiscard]] const Table<WorkerRow>& Rows() const noexcept { return m_rows; }
  [[nodiscard]] std::optional<Index> Find(const std::string& aSlot) const;
  [[nodiscard]] bool HasAvailableWorker(const std::string& aService) const;

  /// \brief Adds or updates a worker. Statistics are kept unless its service or
  /// its incarnation changed.
  void Put(WorkerRow aRow);
  void Remove(const std::string& aSlot);
  void MarkUnavailable(const std::string& aSlot);
  /// \brief Excludes a worker that has stated that it is leaving, until
  /// another incarnation runs there.
  /// \param aIncarnation 0: until the next Put().
  void MarkLeaving(TimePoint aNow,
                   const std::string& aSlot,
                   IncarnationTag aIncarnation);
  /// \brief Applies what the worker has stated. A refusal by its limit starts
  /// or extends an exponential back-off, which answers shorten.
  void RecordStatement(TimePoint aNow,
                       const std::string& aSlot,
                       const CallAnswer& aAnswer,
                       Random& aRandom);
  /// \returns Time until a worker that may run the call has room again, if all
  /// that are available are at their own limits.
  [[nodiscard]] std::optional<std::chrono::milliseconds> TimeUntilRoom(
    TimePoint aNow,
    const std::string& aService) const;
  [[nodiscard]] const WorkerSignalTable& Signals() const noexcept
  {
    return m_signals;
  }

  /// \returns The version that most workers of the service report; in a tie,
  /// the one seen first.
  [[nodiscard]] std::string MainVersion(const std::string& aService) const;

  /// \param aExclude slots not to select, such as those already tried.
  /// \param aRule versions allowed; null: only MainVersion().
  /// \returns Nothing if no worker is available.
  template<RoutingPolicy Policy>
  [[nodiscard]] std::optional<Index> Choose(
    Policy& aPolicy,
    const std::string& aService,
    const std::vector<std::string>& aExclude,
    const RoutingContext& aContext,
    Random& aRandom,
    const VersionRule* aRule = nullptr) const
  {
    const std::vector<Index> usable =
      AvailableWorkers(aService, aExclude, aContext.m_now, aRule);
    if (usable.empty()) {
      return std::nullopt;
    }
    std::vector<const WorkerRow*> rows;
    rows.reserve(usable.size());
    for (const Index each : usable) {
      rows.push_back(&m_rows.At(each));
    }
    return usable[aPolicy.Choose(rows, aContext, aRandom)];
  }

  void SetDecisions(const DecisionSettings& aDecisions) noexcept
  {
    m_decisions = aDecisions;
  }
  void RecordSent(Index aIndex);
  /// \param aTook time from sending an attempt to its answer.
  /// \param aTimeAtWorker part of it at the worker's daemon; empty: not known.
  void RecordTransit(TimePoint aNow,
                     const std::string& aSlot,
                     Duration aTook,
                     std::optional<std::chrono::microseconds> aTimeAtWorker);
  /// \returns Mean over the workers that have answered a call.
  [[nodiscard]] double MeanFailureShare(const std::string& aService) const;
  /// \brief What an attempt shows about its worker.
  enum class Verdict : std::uint8_t
  {
    Good,
    /// Refused for overload.
    Refused,
    /// No answer, or a server error.
    Failed,
    /// Nothing; statistics of failures and refusals don't change.
    None,
  };
  void RecordResult(const std::string& aSlot,
                    TimePoint aNow,
                    Verdict aVerdict,
                    const std::optional<LoadReport>& aReport,
                    Random& aRandom);

private:
  static void UpdateBackoff(WorkerRow& aRow,
                            TimePoint aNow,
                            const CallAnswer& aAnswer,
                            Random& aRandom);
  /// \brief Resets the statistics for a new incarnation, but not attempts in
  /// flight.
  static void UpdateIncarnation(WorkerRow& aRow, IncarnationTag aIncarnation);
  static void RecordStats(WorkerRow& aRow,
                          TimePoint aNow,
                          const LoadReport& aReport);
  /// \returns 0 if the service has fewer than two workers.
  [[nodiscard]] double LowestFailureShare(const std::string& aService) const;

  [[nodiscard]] std::vector<Index> AvailableWorkers(
    const std::string& aService,
    const std::vector<std::string>& aExclude,
    TimePoint aNow,
    const VersionRule* aRule) const;

  void KeepAllowed(std::vector<Index>& aGroup, const VersionRule& aRule) const;
  void UpdateMainVersion(const std::string& aService);

  DecisionSettings m_decisions{};
  WorkerSignalTable m_signals;
  Table<WorkerRow> m_rows;
  std::map<std::string, Index, std::less<>> m_bySlot;
  std::map<std::string, std::vector<Index>, std::less<>> m_byService;
  /// MainVersion() of those services whose workers run several versions.
  std::map<std::string, std::string, std::less<>> m_mainVersions;
};

}
