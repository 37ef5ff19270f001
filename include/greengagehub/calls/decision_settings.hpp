#pragma once

#include <cstdint>

namespace greengagehub {

/// \brief What bears on decisions about calls: each mechanism with its switch,
/// each weight with its unit.
///
/// Switches are there to measure what a mechanism is worth, not to be turned in
/// operation; docs/design/deciding.md tells which have been measured.
struct DecisionSettings
{
  // Turns at a worker.

  /// Worth of a late answer as a part of a timely one; deployments give 0.3 to
  /// 0.5.
  double m_lateCredit{ 0.5 };
  /// Worth of a call as a part of that of the next higher rank. Operators give
  /// ranks and no worth; where both are known a rank is a factor of two.
  double m_nextRankCredit{ 0.5 };
  /// Whether a call's worth counts for each second of a slot, or as a whole.
  bool m_countsTime{ true };

  // Refusals at a worker.

  /// Whether calls are refused that waiting would make late in vain.
  bool m_refusesEarly{ true };
  /// A call that will miss its target waits for at most one part in so many of
  /// the time that its caller has left: then it is told, while the caller can
  /// still do something else.
  std::uint32_t m_latePart{ 3 };
  /// Whether what still runs tells, too, that a worker has become slow.
  bool m_seesSlowness{ true };
  /// Calls that gain more use all of a worker from this share on: what they
  /// leave is within the error of the estimate.
  double m_nothingLeft{ 0.95 };

  // Asking before waiting.

  /// Workers that may say that they are busy before a call waits at one of
  /// them: three choices with news of this moment are close to the shortest
  /// queue of all, and cost at most two messages within the domain.
  std::uint32_t m_maxBusy{ 2 };
  /// A wait of more than one part in so many of the time left to the target is
  /// worth asking another worker, if asking has lately taken less than that. On
  /// daemons with a tenth of a core under load an ask takes 5 to 20 ms: calls
  /// that runs wait for were late by it, and the slots of their callers stood
  /// still.
  std::uint32_t m_busyPart{ 20 };
  /// Workers' daemons that a call is offered to after the first refused it.
  /// Each costs a way there and back; the third has the same news as the ones
  /// before.
  std::uint32_t m_maxRedirects{ 2 };

  // Placing.

  /// Workers nearby, and as many beyond the domain, that are drawn at random
  /// and weighed against each other; 0: all. Of forty callers that hear seldom
  /// all would take the same one for the best: at 0.95 of capacity 1.4% of
  /// calls miss their target, 0.6% with two (replayed load, tests/calls).
  std::uint32_t m_choices{ 2 };

  /// Whether a worker whose own news is old is presumed to be as busy as what
  /// others of its domain told lately.
  bool m_sharesNews{ true };
  /// What a call loses of its worth when its answer comes late.
  double m_lateLoss{ 0.6 };
  /// Price of a KiB between failure domains, as a share of what a call is
  /// worth; operators know theirs.
  double m_crossingPerKib{ 0.2 };
  /// Whether the bytes of a request's body count for that price.
  bool m_countsRequestBody{ true };
  /// Whether a worker that has told nothing yet is tried now and then.
  bool m_explores{ true };
  /// Whether failures and refusals that calls met push a worker back.
  bool m_pushesBack{ true };
  /// Whether a worker that mostly fails is left out for a while.
  bool m_ejects{ true };

  // Callers.

  /// Whether the time that a call has lost before it came counts.
  bool m_weighsAge{ true };
  /// Whether failures that all workers of a service share keep calls from being
  /// run again.
  bool m_seesCommonCause{ true };
};

}
