#include "greengagehub/calls/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace greengagehub {

namespace {

/// A worker that reported room longer ago may have accepted other calls since.
constexpr auto kRoomLifetime = std::chrono::milliseconds{ 500 };
/// A domain's load changes more slowly than that of a worker.
constexpr std::chrono::milliseconds kDomainReportDecay{ 1000 };
/// Weight of a zero wait, so that a domain without recent reports gets calls.
constexpr double kIdleWeight = 0.25;
/// One call in this many goes to a near worker without reports.
constexpr std::uint64_t kExplorationInterval = 32;
/// Relative to the mean; a worker without reports may be cold, and cold ones
/// take about twice as long.
constexpr double kUnreportedSlowdown = 1.5;
constexpr auto kDefaultServiceTime = std::chrono::milliseconds{ 50 };
/// Share of the service time added at a full worker; spreads light load, too.
constexpr double kLoadSlowdown = 0.3;
/// Compressed headers, some 65 and 80 bytes, and packet overhead.
constexpr double kCallOverheadBytes = 250.0;
/// Lower bound, so that late calls prefer faster workers, too.
constexpr auto kMinTargetLeft = std::chrono::milliseconds{ 100 };
/// Time penalty for a refusal: a round trip and another attempt.
constexpr auto kRefusalCost = std::chrono::milliseconds{ 250 };

/// \returns The worker's statistics for the kind, else those of another route
/// with the same target, else null.
const WorkerRow::KindStats*
FindStats(const WorkerRow& aRow, CallKind aKind) noexcept
{
  const WorkerRow::KindStats* sameTarget = nullptr;
  for (const WorkerRow::KindStats& each : aRow.m_kindStats) {
    if (each.m_kind == aKind) {
      return &each;
    }
    if (each.m_kind.m_target == aKind.m_target) {
      sameTarget = &each;
    }
  }
  return sameTarget;
}

}

DomainWaits::DomainWaits(const std::vector<const WorkerRow*>& aRows,
                         const RoutingContext& aContext)
{
  using Seconds = std::chrono::duration<double>;
  for (const WorkerRow* each : aRows) {
    const auto* stats = FindStats(*each, aContext.m_kind);
    if (stats == nullptr) {
      continue;
    }
    const double age =
      Seconds(aContext.m_now - stats->m_at) / Seconds(kDomainReportDecay);
    auto sum = std::find_if(
      m_domainSums.begin(), m_domainSums.end(), [&](const DomainSum& aSum) {
        return aSum.m_domain == each->m_domain;
      });
    if (sum == m_domainSums.end()) {
      sum =
        m_domainSums.insert(m_domainSums.end(), DomainSum{ each->m_domain });
    }
    const double weight = std::exp(-age);
    sum->m_weightedWait += weight * Seconds(stats->m_wait);
    sum->m_weight += weight;
  }
}

Duration
DomainWaits::ExpectedWait(std::string_view aDomain) const noexcept
{
  for (const DomainSum& each : m_domainSums) {
    if (each.m_domain == aDomain) {
      return std::chrono::duration_cast<Duration>(
        each.m_weightedWait / (each.m_weight + kIdleWeight));
    }
  }
  return Duration{ 0 };
}

Duration
MeanServiceTime(const std::vector<const WorkerRow*>& aRows,
                CallKind aKind) noexcept
{
  Duration sum = Duration::zero();
  int known = 0;
  for (const WorkerRow* each : aRows) {
    if (const auto* stats = FindStats(*each, aKind)) {
      sum += stats->m_serviceTime;
      ++known;
    }
  }
  return known > 0 ? sum / known : Duration{ kDefaultServiceTime };
}

Duration
MeanTransitTime(const DecisionSettings& aDecisions,
                const std::vector<const WorkerRow*>& aRows,
                TimePoint aNow) noexcept
{
  Duration sum{ 0 };
  int known = 0;
  for (const WorkerRow* each : aRows) {
    if (aNow - each->m_transitAt < aDecisions.m_reportLifetime) {
      sum += each->m_transitTime;
      ++known;
    }
  }
  return known > 0 ? sum / known : Duration{ 0 };
}

Duration
ExpectedResponseTime(const DecisionSettings& aDecisions,
                     const WorkerRow& aRow,
                     const RoutingContext& aContext,
                     const AssumedTimes& aAssumed) noexcept
{
  using Seconds = std::chrono::duration<double>;
  Seconds service = aAssumed.m_service;
  Seconds wait = aAssumed.m_wait;
  if (const auto* known = FindStats(aRow, aContext.m_kind)) {
    const double age = Seconds(aContext.m_now - known->m_at) /
                       Seconds(aDecisions.m_reportLifetime);
    const double freshness = std::clamp(1.0 - age, 0.0, 1.0);
    service = known->m_serviceTime;
    wait = freshness * Seconds(known->m_wait) + (1.0 - freshness) * wait;
  }
  const double slots = std::max(1U, aRow.m_slots);
  const double load = aRow.m_inFlight / slots;
  const double excessLoad = std::max(0.0, load - 1.0);
  const double slowdown = kLoadSlowdown * std::min(1.0, load);
  Seconds expected =
    service * (1.0 + excessLoad + slowdown) + wait + aAssumed.m_transfer;
  if (aDecisions.m_countsTransit) {
    const double age = Seconds(aContext.m_now - aRow.m_transitAt) /
                       Seconds(aDecisions.m_reportLifetime);
    const double fresh = std::clamp(1.0 - age, 0.0, 1.0);
    expected += fresh * Seconds(aRow.m_transitTime) +
                (1.0 - fresh) * Seconds(aAssumed.m_transit);
  }
  if (aDecisions.m_penalizesFailures) {
    expected += aRow.m_refusalShare * kRefusalCost;
  }
  return std::chrono::duration_cast<Duration>(expected);
}

bool
IsKnownToHaveRoom(const WorkerRow& aRow,
                  const RoutingContext& aContext) noexcept
{
  const auto* stats = FindStats(aRow, aContext.m_kind);
  return stats != nullptr && aContext.m_now - stats->m_at < kRoomLifetime &&
         stats->m_wait + stats->m_serviceTime + aContext.m_remoteTransfer <
           aContext.m_targetLeft;
}

double
CrossingCost(const DecisionSettings& aDecisions,
             double aRequestBytes,
             double aAnswerBytes) noexcept
{
  constexpr double kKib = 1024.0;
  const double request = aDecisions.m_countsRequestBody ? aRequestBytes : 0.0;
  return aDecisions.m_crossingPerKib *
         (request + aAnswerBytes + kCallOverheadBytes) / kKib;
}

double
LatenessProbability(Duration aExpected, Duration aTargetLeft) noexcept
{
  // Approximates a service time whose standard deviation is half of its mean:
  // 3% at 0.3 of the target, 11% at half of it, 50% at the target.
  const std::chrono::duration<double> expected = aExpected;
  const std::chrono::duration<double> left =
    std::max<Duration>(aTargetLeft, kMinTargetLeft);
  const double ratio = expected / left;
  const double cubed = ratio * ratio * ratio;
  return cubed / (1.0 + cubed);
}

double
ExpectedLoss(const DecisionSettings& aDecisions,
             const WorkerRow& aRow,
             const RoutingContext& aContext,
             const AssumedTimes& aAssumed) noexcept
{
  const Duration expected =
    ExpectedResponseTime(aDecisions, aRow, aContext, aAssumed);
  const double lateProbability =
    LatenessProbability(expected, aContext.m_targetLeft);
  const double deadlineProbability =
    LatenessProbability(expected, aContext.m_deadlineLeft);
  const double failed =
    aDecisions.m_penalizesFailures ? aRow.m_failureShare : 0.0;
  const double answered = 1.0 - failed;
  return failed +
         answered * (aDecisions.m_lateLoss * lateProbability +
                     (1.0 - aDecisions.m_lateLoss) * deadlineProbability);
}

std::size_t
LowestExpectedLoss::Choose(const std::vector<const WorkerRow*>& aRows,
                           const RoutingContext& aContext,
                           Random& aRandom) const
{
  if (m_decisions.m_explores && Below(aRandom, kExplorationInterval) == 0) {
    for (std::size_t i = 0; i < aRows.size(); ++i) {
      const bool isUnreported =
        FindStats(*aRows[i], aContext.m_kind) == nullptr &&
        aRows[i]->m_inFlight == 0;
      if (isUnreported && !IsInOtherDomain(*aRows[i])) {
        return i;
      }
    }
  }
  const Duration meanService = MeanServiceTime(aRows, aContext.m_kind);
  const DomainWaits waits{ aRows, aContext };
  const Duration meanTransit =
    MeanTransitTime(m_decisions, aRows, aContext.m_now);
  const auto cost = [&](const WorkerRow& aRow) {
    const bool isUnreported = FindStats(aRow, aContext.m_kind) == nullptr;
    // A worker without reports gets no second call before the first has ended.
    const double probePenalty = isUnreported && aRow.m_inFlight > 0 ? 1.0 : 0.0;
    const AssumedTimes assumed{
      isUnreported ? std::chrono::duration_cast<Duration>(meanService *
                                                          kUnreportedSlowdown)
                   : meanService,
      m_decisions.m_usesDomainReports ? waits.ExpectedWait(aRow.m_domain)
                                      : Duration{ 0 },
      meanTransit,
      aRow.m_slot != m_ownSlot ? aContext.m_remoteTransfer : Duration{ 0 }
    };
    return ExpectedLoss(m_decisions, aRow, aContext, assumed) + probePenalty +
           (IsInOtherDomain(aRow) ? aContext.m_crossingCost : 0.0);
  };
  std::size_t best = 0;
  double lowest = std::numeric_limits<double>::infinity();
  for (const std::size_t at : SampleCandidates(aRows, aRandom)) {
    const double candidateCost = cost(*aRows[at]);
    if (candidateCost < lowest) {
      best = at;
      lowest = candidateCost;
    }
  }
  return best;
}

std::vector<std::size_t>
LowestExpectedLoss::SampleCandidates(const std::vector<const WorkerRow*>& aRows,
                                     Random& aRandom) const
{
  std::vector<std::size_t> candidates(aRows.size());
  std::iota(candidates.begin(), candidates.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i + 1 < candidates.size(); ++i) {
    std::swap(candidates[i],
              candidates[i + Below(aRandom, candidates.size() - i)]);
  }
  if (m_decisions.m_choices == 0) {
    return candidates;
  }
  std::uint32_t near = 0;
  std::uint32_t far = 0;
  std::erase_if(candidates, [&](std::size_t aIndex) {
    std::uint32_t& count = IsInOtherDomain(*aRows[aIndex]) ? far : near;
    return ++count > m_decisions.m_choices;
  });
  return candidates;
}

}
