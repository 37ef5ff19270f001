#pragma once

#include "greengagehub/calls/worker_table.hpp"

namespace greengagehub {

/// \brief Times assumed for a worker that has no recent report of its own.
struct AssumedTimes
{
  /// Service time of a call of the kind.
  Duration m_service{ 0 };
  /// Time that such a call waits in the queue.
  Duration m_wait{ 0 };
};

/// \brief Average queue wait in each failure domain for one kind of calls,
/// from recent reports of the domain's workers.
///
/// With many workers and few calls from each daemon, the last report of a
/// worker is seconds old while its queue changes within half a second. The
/// domain's average replaces the outdated value, so that an overloaded domain
/// isn't mistaken for an idle one.
class DomainWaits
{
public:
  DomainWaits(const std::vector<const WorkerRow*>& aRows,
              const RoutingContext& aContext);

  /// \returns The average wait; 0 if the domain has no reports.
  [[nodiscard]] Duration ExpectedWait(std::string_view aDomain) const noexcept;

private:
  /// Sums for a weighted average.
  struct DomainSum
  {
    std::string_view m_domain;
    std::chrono::duration<double> m_wait{ 0.0 };
    double m_weight{ 0.0 };
  };
  std::vector<DomainSum> m_sums;
};

/// \returns Probability, in [0, 1], that a call misses its target if its mean
/// response time is `aExpected`.
[[nodiscard]] double
LatenessProbability(Duration aExpected, Duration aTargetLeft) noexcept;

/// \returns Expected loss of a call at a worker, as a share of the call's
/// value: partial after the target, total after the deadline or on a failure.
/// At an unreachable or failing worker it exceeds the highest crossing cost.
[[nodiscard]] double
ExpectedLoss(const DecisionSettings& aDecisions,
             const WorkerRow& aRow,
             const RoutingContext& aContext,
             const AssumedTimes& aAssumed) noexcept;

/// \brief Selects the worker with the lowest sum of expected loss and cost of
/// crossing between failure domains.
///
/// An answer before its target gains nothing, so a faster worker in another
/// domain doesn't attract calls, but a full worker in the own domain sheds
/// them. Only a random sample of workers is compared: daemons with outdated
/// reports would otherwise all select the same worker. A worker without reports
/// counts as slower than average and gets an occasional call, so that a cold
/// one isn't flooded.
struct LowestExpectedLoss
{
  /// Own failure domain; empty: all workers count as near.
  std::string m_domain{};
  DecisionSettings m_decisions{};

  [[nodiscard]] bool IsInOtherDomain(const WorkerRow& aRow) const
  {
    return !m_domain.empty() && aRow.m_domain != m_domain;
  }

  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom) const;

private:
  /// \returns Indices of the rows to compare, in random order.
  [[nodiscard]] std::vector<std::size_t> SampleCandidates(
    const std::vector<const WorkerRow*>& aRows,
    Random& aRandom) const;
};

/// \returns Mean service time for calls of the kind over the workers that
/// reported one, or a default if none did.
[[nodiscard]] Duration
MeanServiceTime(const std::vector<const WorkerRow*>& aRows,
                CallKind aKind) noexcept;

/// \returns Expected time until a call sent now is answered, including a
/// penalty for recent refusals.
[[nodiscard]] Duration
ExpectedResponseTime(const DecisionSettings& aDecisions,
                     const WorkerRow& aRow,
                     const RoutingContext& aContext,
                     const AssumedTimes& aAssumed) noexcept;

/// \param aRequestBytes size of the request body.
/// \param aAnswerBytes mean size of the answers on the call's route.
/// \returns Cost of crossing between failure domains, as a share of the call's
/// value.
[[nodiscard]] double
CrossingCost(const DecisionSettings& aDecisions,
             double aRequestBytes,
             double aAnswerBytes) noexcept;

}
