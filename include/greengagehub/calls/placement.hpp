#pragma once

#include "greengagehub/calls/worker_table.hpp"

namespace greengagehub {

/// \brief Times assumed for a worker that has no recent report of its own.
struct AssumedTimes
{
  Duration m_service{ 0 };
  Duration m_wait{ 0 };
  Duration m_transit{ 0 };
  /// Time that the answer takes on this instance's link; added to reports, too.
  Duration m_transfer{ 0 };
};

/// \brief Average queue wait in each failure domain for one kind of calls.
///
/// Replaces outdated reports of single workers, so that an overloaded domain
/// isn't mistaken for an idle one.
class DomainWaits
{
public:
  DomainWaits(const std::vector<const WorkerRow*>& aRows,
              const RoutingContext& aContext);

  /// \returns 0 if the domain has no reports.
  [[nodiscard]] Duration ExpectedWait(std::string_view aDomain) const noexcept;

private:
  struct DomainSum
  {
    std::string_view m_domain;
    std::chrono::duration<double> m_weightedWait{ 0.0 };
    double m_weight{ 0.0 };
  };
  std::vector<DomainSum> m_domainSums;
};

/// \param aExpected mean response time.
/// \returns In [0, 1].
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
  /// Answers of the worker beside this daemon do not cross the link.
  std::string m_ownSlot{};
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

/// \returns A default if no worker reported one for the kind.
[[nodiscard]] Duration
MeanServiceTime(const std::vector<const WorkerRow*>& aRows,
                CallKind aKind) noexcept;

/// \returns Mean over the workers with a recent measurement; 0 without any.
[[nodiscard]] Duration
MeanTransitTime(const DecisionSettings& aDecisions,
                const std::vector<const WorkerRow*>& aRows,
                TimePoint aNow) noexcept;

/// \returns Whether the worker has lately reported that a call of the kind
/// would be answered before its target.
[[nodiscard]] bool
IsKnownToHaveRoom(const WorkerRow& aRow,
                  const RoutingContext& aContext) noexcept;

/// \returns Waits, service, transit and transfer time, plus a penalty for
/// recent refusals.
[[nodiscard]] Duration
ExpectedResponseTime(const DecisionSettings& aDecisions,
                     const WorkerRow& aRow,
                     const RoutingContext& aContext,
                     const AssumedTimes& aAssumed) noexcept;

/// \param aAnswerBytes mean size of the answers on the call's route.
/// \returns A share of the call's value.
[[nodiscard]] double
CrossingCost(const DecisionSettings& aDecisions,
             double aRequestBytes,
             double aAnswerBytes) noexcept;

}
