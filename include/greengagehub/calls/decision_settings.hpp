#pragma once

#include <chrono>
#include <cstdint>

namespace greengagehub {

/// \brief Parameters and feature switches of queueing and placement; see
/// docs/design/deciding.md.
struct DecisionSettings
{
  // Queue order at a worker.

  /// Value of a late answer as a fraction of that of one in time.
  double m_lateCredit{ 0.5 };
  /// Value of a call as a fraction of that of a call one rank higher. Operators
  /// give ranks and no values.
  double m_nextRankCredit{ 0.5 };
  /// Whether calls are ordered by value per second of a slot instead of value.
  bool m_ranksPerSlotTime{ true };

  // Refusals at a worker.

  /// Whether late calls are refused whose expected wait is too long.
  bool m_refusesEarly{ true };
  /// A late call is queued for at most its remaining time divided by this, so
  /// that its caller learns of the refusal while it can still react.
  std::uint32_t m_lateWaitDivisor{ 3 };
  /// Whether a slow worker is also detected from its unfinished runs.
  bool m_detectsSlowness{ true };
  /// A worker counts as full at this share of load by calls of higher gain.
  double m_saturatedShare{ 0.95 };

  // Asking a worker to refuse instead of queueing.

  /// Busy answers after which a call is queued at one of the workers. Three
  /// workers asked at the same moment come close to the shortest queue of all.
  std::uint32_t m_maxBusyReplies{ 2 };
  /// Another worker is asked if the expected wait exceeds the time left to the
  /// target divided by this, and recent busy replies took less than that. On a
  /// tenth of a core under load one such reply takes 5 to 20 ms.
  std::uint32_t m_busyWaitDivisor{ 20 };
  /// Further workers tried after a refusal; each costs a round trip, and a
  /// third would be chosen by the same reports as the ones before.
  std::uint32_t m_maxRedirects{ 2 };

  // Placement.

  /// Workers compared in the local failure domain, and as many in all others
  /// together; 0: all. With all compared, many callers with rare reports would
  /// select the same worker.
  std::uint32_t m_choices{ 2 };
  /// The weight of a worker's report falls linearly to zero over this time.
  std::chrono::milliseconds m_reportLifetime{ 3000 };
  /// Whether the time that attempts spend outside the worker's daemon counts.
  bool m_countsTransit{ true };
  /// Whether the mean of a worker's domain replaces outdated load reports.
  bool m_usesDomainReports{ true };
  /// Fraction of its value that a call loses by a late answer.
  double m_lateLoss{ 0.6 };
  /// Cost of one KiB between failure domains, as a fraction of a call's value.
  double m_crossingPerKib{ 0.2 };
  /// Whether the request body counts for that cost.
  bool m_countsRequestBody{ true };
  /// Whether some calls go to workers that have not reported any load.
  bool m_explores{ true };
  /// Whether past failures and refusals count against a worker.
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
