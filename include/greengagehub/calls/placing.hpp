#pragma once

#include "greengagehub/calls/worker_table.hpp"

namespace greengagehub {

/// \brief What is presumed of a worker as far as it has told nothing lately.
struct Presumed
{
  /// How long it takes for such a call.
  Duration m_service{ 0 };
  /// What such a call waits there.
  Duration m_wait{ 0 };
};

/// \brief What calls of a kind wait in each failure domain, by what its workers
/// told lately.
///
/// Answers the load pattern of many workers and few calls from each daemon: of
/// 60 workers nearby a daemon hears from most only every few seconds, while
/// their queues change within half a second. Taken for idle until they tell
/// otherwise, the workers of a domain that has more traffic than they can take
/// refuse one after the other, and slots in other domains stay free.
class DomainWaits
{
public:
  DomainWaits(const std::vector<const WorkerRow*>& aRows,
              const RoutingContext& aContext);

  [[nodiscard]] Duration In(std::string_view aDomain) const noexcept;

private:
  struct Told
  {
    std::string_view m_domain;
    std::chrono::duration<double> m_wait{ 0.0 };
    double m_weight{ 0.0 };
  };
  std::vector<Told> m_reported;
};

/// \returns Share of calls that miss their target where the mean time to an
/// answer is `aExpected`.
[[nodiscard]] double
RiskOfLateness(Duration aExpected, Duration aTargetLeft) noexcept;

/// \returns What a call is expected to lose of its worth at a worker: a part by
/// an answer past its target, all by one past its deadline or by a failure.
///
/// Answers the load pattern of a worker that has become unreachable or fails:
/// it must look worse than the dearest crossing, or calls stay at home and die
/// there.
[[nodiscard]] double
ExpectedLoss(const DecisionSettings& aDecisions,
             const WorkerRow& aRow,
             const RoutingContext& aContext,
             const Presumed& aPresumed) noexcept;

/// \brief The worker where a call loses least: by missing its target, or by the
/// price of crossing between failure domains.
///
/// Answers the load pattern of domains with unequal demand and workers of
/// unequal speed. An answer that is earlier than its target is worth no more,
/// so a faster worker elsewhere is no reason to cross; a full one at home is,
/// the sooner the smaller the call. A worker that has just come is taken for
/// somewhat slower than a typical one, and every so often one call is sent
/// there to learn: taken for a fast one, it would get a call from every daemon
/// before its first answer, just while it is cold. Two workers are drawn and
/// weighed: of many callers that hear seldom, all would take the same one for
/// the best.
struct NearestFit
{
  /// Own failure domain; empty: all are alike.
  std::string m_domain{};
  DecisionSettings m_decisions{};

  [[nodiscard]] bool IsFar(const WorkerRow& aRow) const
  {
    return !m_domain.empty() && aRow.m_domain != m_domain;
  }

  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& aContext,
                                   Random& aRandom) const;

private:
  /// \returns The rows that are weighed, in random order.
  [[nodiscard]] std::vector<std::size_t> Drawn(
    const std::vector<const WorkerRow*>& aRows,
    Random& aRandom) const;
};

/// \returns Mean service time for calls of the kind over those workers that
/// have told one; what a worker that has just come is taken for.
[[nodiscard]] Duration
TypicalService(const std::vector<const WorkerRow*>& aRows,
               CallKind aKind) noexcept;

/// \returns Time until a call sent now is expected to be answered, with what
/// refusals seen there cost on average.
[[nodiscard]] Duration
ExpectedTime(const DecisionSettings& aDecisions,
             const WorkerRow& aRow,
             const RoutingContext& aContext,
             const Presumed& aPresumed) noexcept;

/// \param aRequestBytes of the call's body.
/// \param aAnswerBytes of the answers that its route gets, on average.
/// \returns What a crossing between failure domains costs, as a share of what
/// the call is worth.
[[nodiscard]] double
CrossingPrice(const DecisionSettings& aDecisions,
              double aRequestBytes,
              double aAnswerBytes) noexcept;

}
