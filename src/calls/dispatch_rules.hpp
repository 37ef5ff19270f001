#pragma once

#include "greengagehub/calls/worker_table.hpp"
#include "greengagehub/core/digest.hpp"
#include "greengagehub/quarantine/fingerprint.hpp"

#include <algorithm>

// Figures and small rules of the dispatcher.

namespace greengagehub {

/// How long past the deadline the worker's daemon may take to say "not run";
/// then the caller is told that the outcome is unknown.
inline constexpr auto kGrace = std::chrono::milliseconds{ 2 };
/// A worker that refused more than this share of its last attempts, about the
/// last eight, is not tried after another one's refusal.
inline constexpr double kKnownToRefuse = 0.5;
/// Where the workers of a service fail more than this share of calls on
/// average, the cause is one that they share, such as a service they call; with
/// a tenth or two of them failing by themselves the mean stays below a tenth.
inline constexpr double kCommonFailures = 0.2;

/// Workers that are gone, one after the other, which a call passes by: where
/// half of them are gone, one call in 64 is refused with others left.
inline constexpr std::uint32_t kMaxAbsent = 6;

/// \returns Whether no worker is there that may have the call. That says
/// nothing of how busy the others are, and costs a message.
inline bool
IsAbsent(RefusalReason aReason) noexcept
{
  return aReason == RefusalReason::WorkerUnreachable ||
         aReason == RefusalReason::NoWorker ||
         aReason == RefusalReason::NotInService;
}

/// \brief The same worker for a content at every daemon, as long as they know
/// the same workers (rendezvous hashing, Thaler and Ravishankar, 1998).
///
/// Answers the load pattern of many copies of a request that has ended workers:
/// spread out, they end as many at once as run at the same time.
struct OnePlace
{
  Fingerprint m_content;

  [[nodiscard]] std::size_t Choose(const std::vector<const WorkerRow*>& aRows,
                                   const RoutingContext& /*aContext*/,
                                   Random& /*aRandom*/) const
  {
    const std::string content = ToHex(m_content);
    const auto rank = [&content](const WorkerRow* aRow) {
      return ShortHashOf(content + aRow->m_slot);
    };
    const auto first = std::ranges::max_element(aRows, {}, rank);
    return static_cast<std::size_t>(first - aRows.begin());
  }
};

/// One in so many is the weight of an ask in the mean time that asking takes:
/// the last eight or so count.
inline constexpr int kAskWeight = 8;
/// A call that does not ask takes one part in so many off that mean, so that a
/// busy daemon asks again after a second or so.
inline constexpr int kAskForgets = 32;

/// What an answer that is not the worker's own says of the worker.
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
    case RefusalReason::Held:
    case RefusalReason::NotInService:
    case RefusalReason::NoRepeats:
      return WorkerTable::Verdict::None;
    default:
      return WorkerTable::Verdict::Good;
  }
}

/// \returns Whether asking costs little: a policy that knows of domains tells.
template<RoutingPolicy Policy>
bool
IsNear(const Policy& aPolicy, const WorkerRow& aRow)
{
  if constexpr (requires { aPolicy.IsFar(aRow); }) {
    return !aPolicy.IsFar(aRow);
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
