#pragma once

#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/core/digest.hpp"
#include "greengagehub/quarantine/fingerprint.hpp"

#include <algorithm>

namespace greengagehub {

/// Time after the deadline in which the worker's daemon may still report that
/// it did not run the call. After that the outcome is unknown.
inline constexpr auto kReplyGrace = std::chrono::milliseconds{ 2 };
/// A worker that refused a larger share of its recent attempts, about the last
/// eight, is not tried after another worker's refusal.
inline constexpr double kMaxRefusalShare = 0.5;
/// Above this mean share of failed calls, a service's workers are assumed to
/// fail for a common cause, such as a service that they call. With a tenth or
/// two of them failing by themselves the mean stays below a tenth.
inline constexpr double kCommonCauseFailureShare = 0.2;

/// Unavailable workers that one call passes by. Where half of the workers are
/// gone, one call in 64 is refused although others are left.
inline constexpr std::uint32_t kMaxUnavailableWorkers = 6;

/// \returns Whether the call found no available worker at the daemon it was
/// sent to, which is no sign of overload elsewhere.
inline bool
IsWorkerUnavailable(RefusalReason aReason) noexcept
{
  return aReason == RefusalReason::WorkerUnreachable ||
         aReason == RefusalReason::NoWorker ||
         aReason == RefusalReason::NotInService ||
         aReason == RefusalReason::RateLimited;
}

inline RoutingContext
ContextOf(TimePoint aNow, const CallPlan& aPlan)
{
  return { aNow,
           aPlan.m_kind,
           std::min(aPlan.m_target, aPlan.m_deadline) - aNow,
           aPlan.m_crossingCost,
           aPlan.m_deadline - aNow,
           aPlan.m_remoteTransfer };
}

/// \returns Whether a worker would probably refuse the call for the same reason
/// as the previous one, so that another redirect is of no use.
inline bool
WouldRefuseToo(const CallAnswer& aPrevious,
               const WorkerRow& aRow,
               const RoutingContext& aContext)
{
  if (aPrevious.m_reason == RefusalReason::LinkBusy) {
    return !IsKnownToHaveRoom(aRow, aContext);
  }
  return !aPrevious.m_reachedWorker &&
         aPrevious.m_reason != RefusalReason::Busy &&
         aPrevious.m_reason != RefusalReason::RateLimited &&
         aRow.m_refusalShare > kMaxRefusalShare;
}

/// \brief Selects the same worker for a fingerprint at every daemon that knows
/// the same workers (rendezvous hashing).
///
/// Concurrent copies of a request that crashes workers then crash one worker
/// instead of many.
struct RendezvousPolicy
{
  Fingerprint m_fingerprint;

  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& /*aContext*/,
                                   Random& /*aRandom*/) const
  {
    const std::string fingerprint = ToHex(m_fingerprint);
    const auto rank = [&fingerprint](const WorkerRow* aRow) {
      return ShortHash(fingerprint + aRow->m_slot);
    };
    const auto first = std::ranges::max_element(aRows, {}, rank);
    return static_cast<std::size_t>(first - aRows.begin());
  }
};

/// Divisor of a new sample in the moving mean of the time to a busy reply.
inline constexpr int kBusyReplyTimeDivisor = 8;
/// Divisor of the mean's decay at each attempt that doesn't request busy
/// replies. Without it, a high mean would never be updated again.
inline constexpr int kBusyReplyDecayDivisor = 32;

/// \returns The verdict on a worker after an answer that its daemon or the
/// dispatcher gave in its place.
inline WorkerTable::Verdict
VerdictOf(const CallAnswer& aAnswer)
{
  if (aAnswer.m_outcome == CallOutcome::Unknown) {
    return WorkerTable::Verdict::Failed;
  }
  switch (aAnswer.m_reason) {
    case RefusalReason::WorkerUnreachable:
      return WorkerTable::Verdict::Failed;
    case RefusalReason::Overloaded:
    case RefusalReason::DeadlineTooShort:
    case RefusalReason::DeadlinePassed:
    case RefusalReason::WorkerRefused:
      return WorkerTable::Verdict::Refused;
    case RefusalReason::Busy:
    case RefusalReason::Quarantined:
    case RefusalReason::NotInService:
    case RefusalReason::RateLimited:
    case RefusalReason::RetryBudgetExhausted:
    case RefusalReason::LinkBusy:
    case RefusalReason::ConfigBehind:
      return WorkerTable::Verdict::None;
    default:
      return WorkerTable::Verdict::Good;
  }
}

/// \returns Whether the worker is in this daemon's failure domain; false if the
/// policy does not distinguish domains.
template<RoutingPolicy Policy>
bool
IsInOwnDomain(const Policy& aPolicy, const WorkerRow& aRow)
{
  if constexpr (requires { aPolicy.IsInOtherDomain(aRow); }) {
    return !aPolicy.IsInOtherDomain(aRow);
  } else {
    return false;
  }
}

inline std::chrono::microseconds
TimeLeft(TimePoint aNow, TimePoint aDeadline)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDeadline -
                                                               aNow);
}

}
