#pragma once

#include "greengagehub/calls/answer_sizes.hpp"
#include "greengagehub/calls/call_dialect.hpp"
#include "greengagehub/calls/call_kind.hpp"
#include "greengagehub/calls/call_share.hpp"
#include "greengagehub/calls/worker_incarnation.hpp"
#include "greengagehub/config/content.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/version.hpp"
#include "greengagehub/http/http_message.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief Execution state of a call as stated by its final answer.
enum class CallOutcome : std::uint8_t
{
  /// A worker executed the call and its answer is complete.
  Answered,
  /// No worker executed the call, and none will.
  NotRun,
  /// The call may have been executed.
  Unknown,
};

/// \brief Reason why a call has no answer from a worker.
enum class RefusalReason : std::uint8_t
{
  None,
  NoRoute,
  NoWorker,
  Overloaded,
  DeadlineTooShort,
  DeadlinePassed,
  Leaving,
  Cancelled,
  WorkerUnreachable,
  LinkLost,
  AnswerLost,
  TooDeep,
  NotReady,
  Restarted,
  /// The worker rejected the request before it started to process it.
  WorkerRefused,
  /// The address now belongs to another worker.
  WorkerReplaced,
  /// All slots are in use and the request asked not to be queued.
  Busy,
  WorkerCrashed,
  /// The request's fingerprint is quarantined.
  Quarantined,
  /// The worker runs a version that receives no calls at present.
  NotInService,
  /// A retry whose execution would call a service that has used up its retry
  /// budget.
  RetryBudgetExhausted,
  /// The caller sent no API key, or one that belongs to no workspace.
  UnknownKey,
  OverQuota,
  /// No quota coordinator is reachable and the daemon's reserve is used up.
  NoCoordinator,
  /// The daemon's copy of the keys is too old to trust the caller's key.
  KeysNotCurrent,
  /// The worker's own limit of requests per second is used up.
  RateLimited,
  /// The answer would not pass a network link in time.
  LinkBusy,
  /// A newer version that is known to exist has, or may have, another route.
  ConfigBehind,
};

/// \returns Why a request without a route is refused by a daemon that knows
/// `aKnown` to exist.
[[nodiscard]] constexpr RefusalReason
ReasonForMissingRoute(Version aInForce, Version aKnown) noexcept
{
  return aKnown > aInForce ? RefusalReason::ConfigBehind
                           : RefusalReason::NoRoute;
}

/// \returns The name used in responses and logs, such as "deadline-too-short".
[[nodiscard]] std::string_view
NameOf(RefusalReason aReason) noexcept;
/// \returns "answered", "not-run" or "unknown".
[[nodiscard]] std::string_view
NameOf(CallOutcome aOutcome) noexcept;

/// \brief Identifies one attempt of a call across the fleet: the caller's
/// daemon process and a number unique within it.
struct CallKey
{
  std::uint64_t m_process{ 0 };
  std::uint64_t m_call{ 0 };

  [[nodiscard]] auto operator<=>(const CallKey&) const noexcept = default;
};

/// \brief What a daemon knows that a worker has stated about itself.
struct WorkerStatement
{
  /// 0: not known.
  IncarnationTag m_incarnation{ 0 };
  /// Requests per second that it accepts from all daemons; empty: not limited,
  /// or not known.
  std::optional<double> m_rateLimit{};
  bool m_isLeaving{ false };

  [[nodiscard]] bool IsEmpty() const noexcept
  {
    return !m_rateLimit && !m_isLeaving;
  }
};

/// \brief A request sent to a worker's daemon.
struct CallRequest
{
  std::uint64_t m_call{ 0 };
  std::string m_service;
  std::string m_method;
  std::string m_target;
  std::vector<HttpHeader> m_headers;
  Body m_body;
  /// Size of a body that follows on the link in parts.
  std::uint64_t m_bodyBytesToFollow{ 0 };
  /// The receiver had no room for the body, so the request cannot run.
  bool m_isBodyDropped{ false };
  /// Relative, as the clocks of two machines may differ.
  std::chrono::microseconds m_timeLeft{ 0 };
  CallClass m_class{ CallClass::Critical };
  /// Rank in the worker's queue; 0 is served first.
  std::uint32_t m_priority{ 0 };
  CallKind m_kind{};
  /// Time left to the target latency of the route.
  std::chrono::microseconds m_targetLeft{ 0 };
  bool m_idempotent{ false };
  /// Hops so far.
  std::uint32_t m_depth{ 0 };
  /// Retries left for the call and for the calls made on its behalf.
  std::uint32_t m_retriesLeft{ 0 };
  /// Whether an earlier attempt of the call has reached a worker.
  bool m_isRetry{ false };
  bool m_refuseIfBusy{ false };
  /// When the worker's daemon received it; not sent.
  TimePoint m_receivedAt{};
  /// What the caller's daemon knows of the worker; its own daemon may have
  /// restarted.
  WorkerStatement m_knownStatement{};
  /// The workspace that the slot time is charged to.
  CallShare m_share{};
  /// Time that the answer takes on the link of the caller's daemon.
  std::chrono::microseconds m_answerTransfer{ 0 };
  /// As learnt by the caller's daemon.
  AnswerSize m_answerSize{};
  /// Version of the configuration that selected the service; 0: not known.
  Version m_routedBy{};
};

/// \brief Final result of an attempt.
struct CallAnswer
{
  std::uint64_t m_call{ 0 };
  CallOutcome m_outcome{ CallOutcome::Unknown };
  RefusalReason m_reason{ RefusalReason::None };
  HttpResponse m_response{};
  /// Size of a body that follows on the link in parts.
  std::uint64_t m_bodyBytesToFollow{ 0 };
  /// Suggested delay before a retry, from the queue length; 0: no hint.
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// Calls queued and running at the worker.
  std::uint32_t m_load{ 0 };
  /// Whether the request was written to a connection to the worker.
  bool m_reachedWorker{ false };
  /// 0: no worker is known there.
  std::uint32_t m_slots{ 0 };
  /// Moving average for calls of this kind.
  std::chrono::microseconds m_serviceTime{ 0 };
  /// Expected queueing delay of another such call at the worker.
  std::chrono::microseconds m_wait{ 0 };
  /// Time between the attempt's arrival at the worker's daemon and this answer;
  /// empty: not known.
  std::optional<std::chrono::microseconds> m_timeAtWorker{};
  /// WorkerCrashed: crashes counted so far for the request's fingerprint.
  std::uint32_t m_crashCount{ 0 };
  WorkerStatement m_statement{};
  /// Time from the end of a run until another such answer would have left the
  /// link of the worker's instance; 0 for small answers.
  std::chrono::microseconds m_linkWait{ 0 };
  /// Version in force at the worker's daemon if it is newer than the one that
  /// the call was routed by; 0: it is not, or not known.
  Version m_newerVersion{};
};

[[nodiscard]] CallAnswer
Refuse(std::uint64_t aCall,
       CallOutcome aOutcome,
       RefusalReason aReason,
       std::chrono::milliseconds aRetryAfter = {});

/// \returns Whether RFC 9110 defines the method as idempotent.
[[nodiscard]] bool
IsIdempotentMethod(std::string_view aMethod) noexcept;

}
