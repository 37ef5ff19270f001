#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/calls/decision_settings.hpp"
#include "greengagehub/calls/worker_start.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/table.hpp"
#include "greengagehub/rollout/rollout_table.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief One worker as callers on this daemon see it.
struct WorkerRow
{
  std::string m_slot;
  std::string m_service;
  std::string m_domain;
  /// Of its software; empty: not told.
  std::string m_version{};
  /// Digest of the slot: an order among workers that all daemons share.
  std::uint64_t m_rank{ 0 };
  std::uint32_t m_slots{ 1 };
  /// Its present start; 0: not told.
  StartTag m_start{ 0 };
  /// Attempts of this daemon under way there.
  std::uint32_t m_inFlight{ 0 };
  /// Load that its last answer told, and when.
  std::uint32_t m_reported{ 0 };
  TimePoint m_reportedAt{};
  /// What its answers to calls of one kind told: a worker that runs long
  /// exports may still answer lookups at once.
  struct KindFigures
  {
    CallKind m_kind{};
    std::chrono::microseconds m_serviceTime{ 0 };
    /// What another call of the kind would have waited, and when.
    std::chrono::microseconds m_wait{ 0 };
    TimePoint m_at{};
  };
  std::vector<KindFigures> m_kinds{};
  /// Moving share of failed attempts, in [0, 1].
  double m_failures{ 0.0 };
  /// Moving share of attempts that it refused for overload, in [0, 1].
  double m_refusals{ 0.0 };
  TimePoint m_ejectedUntil{};
  std::uint32_t m_ejections{ 0 };
  bool m_leaving{ false };
};

/// \brief What an answer tells of the worker it comes from.
struct LoadReport
{
  /// Calls queued and running.
  std::uint32_t m_load{ 0 };
  /// Calls it runs at once; 0: it runs none now.
  std::uint32_t m_slots{ 0 };
  /// Of the answered call.
  CallKind m_kind{};
  std::chrono::microseconds m_serviceTime{ 0 };
  std::chrono::microseconds m_wait{ 0 };
};

/// \brief What a choice rests on beside the workers themselves.
struct RoutingContext
{
  TimePoint m_now;
  CallKind m_kind{};
  /// Until an answer stops being as good as an immediate one.
  Duration m_targetLeft{ std::chrono::seconds{ 1 } };
  /// Price of a crossing between failure domains, as a share of what the call
  /// is worth.
  double m_crossing{ 0.0 };
  /// Until an answer is of no use any more.
  Duration m_deadlineLeft{ std::chrono::seconds{ 10 } };
};

/// \brief A choice among workers, given as rows; variation by this concept.
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

/// \returns Expected load of a worker for each of its slots: what it reported
/// lately or what this daemon has there, whichever is more, with failures and
/// refusals seen on calls on top. A worker that fails fast has empty slots, and
/// one that misreports claims to have them: either would otherwise draw every
/// call.
[[nodiscard]] double
LoadScore(const WorkerRow& aRow, TimePoint aNow) noexcept;

/// \brief Any worker, equally likely.
struct RandomChoice
{
  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom) const;
};

/// \brief The less loaded of two random ones (Mitzenmacher, 2001).
struct TwoChoices
{
  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom) const;
};

/// \brief The least loaded of all, ties at random.
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
/// Kept for comparison; docs/design/overload.md says why it is not used.
class JoinWithTagging
{
public:
  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom);

private:
  /// The paper's virtual queue: tagged arrivals in, a decided rate out.
  struct VirtualQueue
  {
    double m_length{ 0.0 };
    TimePoint m_updated{};
  };

  void Drain(VirtualQueue& aQueue, double aSlots, TimePoint aNow) const;

  std::map<std::string, VirtualQueue, std::less<>> m_virtual;
};

/// \brief Workers by service, with what calls to them have shown.
class WorkerTable
{
public:
  using Index = Table<WorkerRow>::Index;

  [[nodiscard]] const WorkerRow& At(Index aIndex) const
  {
    return m_rows.At(aIndex);
  }
  [[nodiscard]] std::optional<Index> Find(const std::string& aSlot) const;
  /// \returns Whether a worker of the service is known that takes calls.
  [[nodiscard]] bool HasUsable(const std::string& aService) const;

  void Put(WorkerRow aRow);
  void Remove(const std::string& aSlot);
  void SetLeaving(const std::string& aSlot);

  /// \returns The version that most of the service's workers have told; of
  /// two that as many have, the one that was here first.
  [[nodiscard]] std::string MainVersion(const std::string& aService) const;

  /// \param aExclude slots that this call tried already.
  /// \param aRule which versions it may go to; none: those in MainVersion().
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
      Usable(aService, aExclude, aContext.m_now, aRule);
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
  void Sent(Index aIndex);
  /// \returns Mean share of failures over the service's workers that have
  /// answered.
  [[nodiscard]] double MeanFailures(const std::string& aService) const;
  /// \brief What an attempt says of its worker.
  enum class Verdict : std::uint8_t
  {
    Good,
    /// Refused for overload.
    Refused,
    /// No answer, or one that says the worker is broken.
    Failed,
    /// Nothing of whether it is well.
    None,
  };
  void Ended(const std::string& aSlot,
             TimePoint aNow,
             Verdict aVerdict,
             const std::optional<LoadReport>& aReport,
             Random& aRandom);

private:
  static void TakeFigures(WorkerRow& aRow,
                          TimePoint aNow,
                          const LoadReport& aReport);
  /// \returns Least share of failures among the service's workers.
  [[nodiscard]] double LeastFailures(const std::string& aService) const;

  [[nodiscard]] std::vector<Index> Usable(
    const std::string& aService,
    const std::vector<std::string>& aExclude,
    TimePoint aNow,
    const VersionRule* aRule) const;
  /// \brief Leaves only those that the rule allows.
  void KeepAllowed(std::vector<Index>& aGroup, const VersionRule& aRule) const;
  /// \brief Notes whether the service's workers tell more than one version.
  void NoteVersions(const std::string& aService);

  DecisionSettings m_decisions{};
  Table<WorkerRow> m_rows;
  std::map<std::string, Index, std::less<>> m_bySlot;
  std::map<std::string, std::vector<Index>, std::less<>> m_byService;
  /// MainVersion() of services whose workers tell more than one.
  std::map<std::string, std::string, std::less<>> m_mixed;
};

}
