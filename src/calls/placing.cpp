#include "greengagehub/calls/placing.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace greengagehub {

namespace {

/// News of a worker's queue counts in full when fresh and nothing after this
/// time.
constexpr auto kNewsLife = std::chrono::milliseconds{ 500 };
/// What the workers of a domain told counts for each other for about so long:
/// the load of a domain changes over seconds, the queue of one worker within
/// half of one.
constexpr std::chrono::milliseconds kDomainNewsLife{ 1000 };
/// Weight of an idle worker beside what was told, so that a domain of which
/// little has been heard for a while is tried again.
constexpr double kIdlePrior = 0.25;
/// One call in so many goes to a worker nearby that has told nothing yet.
constexpr std::uint64_t kExploreOneIn = 32;
/// A worker that has told nothing is taken for this many times slower than a
/// typical one, as it may be cold; half of the time that cold ones take more.
constexpr double kNewcomer = 1.5;
/// Service time while no worker has told one.
constexpr auto kUnknownService = std::chrono::milliseconds{ 50 };
/// Part of the service time by which a full worker is slower than an empty one;
/// it also spreads calls over workers that are all far from full.
constexpr double kCrowding = 0.3;
/// Bytes of a call that crosses beside its bodies: deflated heads of 65 and 80
/// bytes, measured on played days, and the packets' own.
constexpr double kCallOverheadBytes = 250.0;
/// A target that is over or nearly so: the sooner the better, still.
constexpr auto kLeastTarget = std::chrono::milliseconds{ 100 };
/// A refusal costs the way there and another try, as time beside service times
/// of some 100 ms.
constexpr auto kRefusalCost = std::chrono::milliseconds{ 250 };

/// \returns What the worker told of such calls, or of another route's with the
/// same target while this one is new there.
const WorkerRow::KindFigures*
FiguresOf(const WorkerRow& aRow, CallKind aKind) noexcept
{
  const WorkerRow::KindFigures* alike = nullptr;
  for (const WorkerRow::KindFigures& each : aRow.m_kinds) {
    if (each.m_kind == aKind) {
      return &each;
    }
    if (each.m_kind.m_target == aKind.m_target) {
      alike = &each;
    }
  }
  return alike;
}

}

DomainWaits::DomainWaits(const std::vector<const WorkerRow*>& aRows,
                         const RoutingContext& aContext)
{
  using Seconds = std::chrono::duration<double>;
  for (const WorkerRow* each : aRows) {
    const auto* figures = FiguresOf(*each, aContext.m_kind);
    if (figures == nullptr) {
      continue;
    }
    const double age =
      Seconds(aContext.m_now - figures->m_at) / Seconds(kDomainNewsLife);
    auto told = std::find_if(
      m_reported.begin(), m_reported.end(), [&](const Told& aTold) {
        return aTold.m_domain == each->m_domain;
      });
    if (told == m_reported.end()) {
      told = m_reported.insert(m_reported.end(), Told{ each->m_domain });
    }
    const double weight = std::exp(-age);
    told->m_wait += weight * Seconds(figures->m_wait);
    told->m_weight += weight;
  }
}

Duration
DomainWaits::In(std::string_view aDomain) const noexcept
{
  for (const Told& each : m_reported) {
    if (each.m_domain == aDomain) {
      return std::chrono::duration_cast<Duration>(each.m_wait /
                                                  (each.m_weight + kIdlePrior));
    }
  }
  return Duration{ 0 };
}

Duration
TypicalService(const std::vector<const WorkerRow*>& aRows,
               CallKind aKind) noexcept
{
  Duration sum = Duration::zero();
  int known = 0;
  for (const WorkerRow* each : aRows) {
    if (const auto* figures = FiguresOf(*each, aKind)) {
      sum += figures->m_serviceTime;
      ++known;
    }
  }
  return known > 0 ? sum / known : Duration{ kUnknownService };
}

Duration
ExpectedTime(const DecisionSettings& aDecisions,
             const WorkerRow& aRow,
             const RoutingContext& aContext,
             const Presumed& aPresumed) noexcept
{
  using Seconds = std::chrono::duration<double>;
  Seconds service = aPresumed.m_service;
  Seconds wait = aPresumed.m_wait;
  if (const auto* known = FiguresOf(aRow, aContext.m_kind)) {
    const double age =
      Seconds(aContext.m_now - known->m_at) / Seconds(kNewsLife);
    const double trust = std::clamp(1.0 - age, 0.0, 1.0);
    service = known->m_serviceTime;
    wait = trust * Seconds(known->m_wait) + (1.0 - trust) * wait;
  }
  const double slots = std::max(1U, aRow.m_slots);
  const double load = aRow.m_inFlight / slots;
  const double beyond = std::max(0.0, load - 1.0);
  const double crowded = kCrowding * std::min(1.0, load);
  Seconds expected = service * (1.0 + beyond + crowded) + wait;
  if (aDecisions.m_pushesBack) {
    expected += aRow.m_refusals * kRefusalCost;
  }
  return std::chrono::duration_cast<Duration>(expected);
}

double
CrossingPrice(const DecisionSettings& aDecisions,
              double aRequestBytes,
              double aAnswerBytes) noexcept
{
  constexpr double kKib = 1024.0;
  const double request = aDecisions.m_countsRequestBody ? aRequestBytes : 0.0;
  return aDecisions.m_crossingPerKib *
         (request + aAnswerBytes + kCallOverheadBytes) / kKib;
}

double
RiskOfLateness(Duration aExpected, Duration aTargetLeft) noexcept
{
  // Fits a service time whose spread is half of its mean: 3% at 0.3 of the
  // target, 11% at half, a half where the mean just meets it.
  const std::chrono::duration<double> expected = aExpected;
  const std::chrono::duration<double> left =
    std::max<Duration>(aTargetLeft, kLeastTarget);
  const double ratio = expected / left;
  const double cubed = ratio * ratio * ratio;
  return cubed / (1.0 + cubed);
}

double
ExpectedLoss(const DecisionSettings& aDecisions,
             const WorkerRow& aRow,
             const RoutingContext& aContext,
             const Presumed& aPresumed) noexcept
{
  const Duration expected = ExpectedTime(aDecisions, aRow, aContext, aPresumed);
  const double late = RiskOfLateness(expected, aContext.m_targetLeft);
  const double lost = RiskOfLateness(expected, aContext.m_deadlineLeft);
  const double failed = aDecisions.m_pushesBack ? aRow.m_failures : 0.0;
  const double answered = 1.0 - failed;
  return failed + answered * (aDecisions.m_lateLoss * late +
                              (1.0 - aDecisions.m_lateLoss) * lost);
}

std::size_t
NearestFit::Choose(const std::vector<const WorkerRow*>& aRows,
                   const RoutingContext& aContext,
                   Random& aRandom) const
{
  if (m_decisions.m_explores && Below(aRandom, kExploreOneIn) == 0) {
    for (std::size_t i = 0; i < aRows.size(); ++i) {
      const bool unknown = FiguresOf(*aRows[i], aContext.m_kind) == nullptr &&
                           aRows[i]->m_inFlight == 0;
      if (unknown && !IsFar(*aRows[i])) {
        return i;
      }
    }
  }
  const Duration typical = TypicalService(aRows, aContext.m_kind);
  const DomainWaits waits{ aRows, aContext };
  const auto cost = [&](const WorkerRow& aRow) {
    const bool isNew = FiguresOf(aRow, aContext.m_kind) == nullptr;
    // Until the first call there has ended it gets no second one.
    const double again = isNew && aRow.m_inFlight > 0 ? 1.0 : 0.0;
    const Presumed presumed{
      isNew ? std::chrono::duration_cast<Duration>(typical * kNewcomer)
            : typical,
      m_decisions.m_sharesNews ? waits.In(aRow.m_domain) : Duration{ 0 }
    };
    return ExpectedLoss(m_decisions, aRow, aContext, presumed) + again +
           (IsFar(aRow) ? aContext.m_crossing : 0.0);
  };
  std::size_t best = 0;
  double least = std::numeric_limits<double>::infinity();
  for (const std::size_t at : Drawn(aRows, aRandom)) {
    const double here = cost(*aRows[at]);
    if (here < least) {
      best = at;
      least = here;
    }
  }
  return best;
}

std::vector<std::size_t>
NearestFit::Drawn(const std::vector<const WorkerRow*>& aRows,
                  Random& aRandom) const
{
  std::vector<std::size_t> drawn(aRows.size());
  std::iota(drawn.begin(), drawn.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i + 1 < drawn.size(); ++i) {
    std::swap(drawn[i], drawn[i + Below(aRandom, drawn.size() - i)]);
  }
  if (m_decisions.m_choices == 0) {
    return drawn;
  }
  std::uint32_t near = 0;
  std::uint32_t far = 0;
  std::erase_if(drawn, [&](std::size_t aIndex) {
    std::uint32_t& count = IsFar(*aRows[aIndex]) ? far : near;
    return ++count > m_decisions.m_choices;
  });
  return drawn;
}

}
