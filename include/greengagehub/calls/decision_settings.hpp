#pragma once

#include <cstdint>

namespace greengagehub {

/// \brief Parameters and feature switches of queueing and placement.
///
/// The switches exist to compare a deployment with and without a mechanism; see
/// docs/design/deciding.md.
struct DecisionSettings
{
  // Queue order at a worker.

  /// Value of a late answer as a fraction of that of one in time; 0.3 to 0.5 is
  /// usual.
  double m_lateCredit{ 0.5 };
  /// Value of a call as a fraction of that of a call one rank higher.
  double m_nextRankCredit{ 0.5 };
  /// Whether calls are ordered by value per second of a slot instead of value.
  bool m_ranksPerSlotTime{ true };

  // Refusals at a worker.

  /// Whether calls are refused that would be late and then wait too long.
  bool m_refusesEarly{ true };
  /// A call that will miss its target waits for at most its remaining time
  /// divided by this, so that its caller can still react to the refusal.
  std::uint32_t m_lateWaitDivisor{ 3 };
  /// Whether a slow worker is also detected from its unfinished runs.
  bool m_detectsSlowness{ true };
  /// Share of a worker from which calls of higher gain are taken to use all of
  /// it.
  double m_saturatedShare{ 0.95 };

  // Asking a worker to refuse instead of queueing.

  /// Busy answers after which a call is queued at one of the workers. More
  /// answers shorten the wait little and cost a round trip each.
  std::uint32_t m_maxBusyReplies{ 2 };
  /// Another worker is asked if the expected wait is longer than the time left
  /// to the target divided by this, and recent round trips were shorter.
  std::uint32_t m_busyWaitDivisor{ 20 };
  /// Further workers that a call is offered to after the first refused it. Each
  /// costs a round trip.
  std::uint32_t m_maxRedirects{ 2 };

  // Placement.

  /// Workers compared in the local failure domain, and as many in other
  /// domains, drawn at random; 0: all. With all, daemons with equally old load
  /// reports select the same worker.
  std::uint32_t m_choices{ 2 };
  /// Whether a worker without a recent load report is treated as being as busy
  /// as the others of its domain.
  bool m_usesDomainReports{ true };
  /// Fraction of its value that a call loses by a late answer.
  double m_lateLoss{ 0.6 };
  /// Cost of one KiB between failure domains, as a fraction of a call's value.
  double m_crossingPerKib{ 0.2 };
  /// Whether the request body counts for that cost.
  bool m_countsRequestBody{ true };
  /// Whether some calls go to workers that have not reported any load.
  bool m_explores{ true };
  /// Whether failures and refusals of earlier calls lower a worker's
  /// preference.
  bool m_penalizesFailures{ true };
  /// Whether a worker with many failures is excluded for some time.
  bool m_ejects{ true };

  // Callers.

  /// Whether the time since the caller's first attempt counts as elapsed.
  bool m_usesCallAge{ true };
  /// Whether calls are not retried while all workers of a service fail.
  bool m_detectsCommonCause{ true };
};

}
