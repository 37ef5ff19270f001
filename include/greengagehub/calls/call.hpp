#pragma once

#include "greengagehub/calls/call_dialect.hpp"
#include "greengagehub/calls/call_kind.hpp"
#include "greengagehub/config/content.hpp"
#include "greengagehub/core/clock.hpp"
#include "greengagehub/http/http_message.hpp"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief What is true of a call once it has its final answer.
enum class CallOutcome : std::uint8_t
{
  /// The worker's whole answer.
  Answered,
  /// The worker did not start it and never will.
  NotRun,
  /// It may have run; nobody can say.
  Unknown,
};

/// \brief Why a call has no answer from a worker.
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
  /// The worker turned it away before it began.
  WorkerRefused,
  /// Another worker has the address.
  WorkerReplaced,
  /// It would have had to wait, and was not to.
  Busy,
  /// The worker's process ended under it.
  WorkerEnded,
  /// Its content has ended too many workers.
  Held,
  /// The worker's version is not to get calls now.
  NotInService,
  /// A repeat, whose run would make calls to a service that has had as many
  /// repeats as it may get.
  NoRepeats,
  /// No workspace holds the caller's key, or it sent none.
  UnknownKey,
  /// The workspace has used up its quota.
  OverQuota,
  /// Nobody grants quota now, and the daemon's reserve is used up.
  NoCoordinator,
  /// It is not certain enough that the caller's key is still valid.
  KeysNotCurrent,
};

/// \returns The public name, such as "deadline-too-short".
[[nodiscard]] std::string_view
NameOf(RefusalReason aReason) noexcept;
/// \returns "answered", "not-run" or "unknown".
[[nodiscard]] std::string_view
NameOf(CallOutcome aOutcome) noexcept;

/// \brief Identifies one attempt of a call across the fleet: the caller's
/// daemon process and a number that it never uses twice.
struct CallKey
{
  std::uint64_t m_process{ 0 };
  std::uint64_t m_call{ 0 };

  [[nodiscard]] auto operator<=>(const CallKey&) const noexcept = default;
};

/// \brief A call on its way to a worker.
struct CallRequest
{
  std::uint64_t m_call{ 0 };
  std::string m_service;
  std::string m_method;
  std::string m_target;
  std::vector<HttpHeader> m_headers;
  std::string m_body;
  /// Time left when it was sent; clocks of two machines are never compared.
  std::chrono::microseconds m_timeLeft{ 0 };
  CallClass m_class{ CallClass::Critical };
  /// Rank among the calls that wait at a worker, 0 first.
  std::uint32_t m_priority{ 0 };
  CallKind m_kind{};
  /// Until an answer stops being as good as an immediate one.
  std::chrono::microseconds m_targetLeft{ 0 };
  bool m_idempotent{ false };
  /// Hops behind it, for the limit on depth.
  std::uint32_t m_depth{ 0 };
  /// Retries that it and the calls made for it may still use.
  std::uint32_t m_triesLeft{ 0 };
  /// An earlier attempt of the call has reached a worker.
  bool m_isRepeat{ false };
  /// To be refused rather than to wait: its caller has others to ask.
  bool m_refuseIfBusy{ false };
};

/// \brief The final word on an attempt.
struct CallAnswer
{
  std::uint64_t m_call{ 0 };
  CallOutcome m_outcome{ CallOutcome::Unknown };
  RefusalReason m_reason{ RefusalReason::None };
  HttpResponse m_response{};
  /// When to come back, worked out from the queue; 0 for no hint.
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// Calls queued and running at the worker, for routing.
  std::uint32_t m_load{ 0 };
  /// The request was put on a connection to the worker, whatever came of it.
  bool m_reachedWorker{ false };
  /// Calls the worker runs at once; 0 while no worker is known there.
  std::uint32_t m_slots{ 0 };
  /// Moving mean of the worker's service time for calls of this route's kind.
  std::chrono::microseconds m_serviceTime{ 0 };
  /// What another call like this one would wait there.
  std::chrono::microseconds m_wait{ 0 };
  /// WorkerEnded: ends that are counted against its content by now.
  std::uint32_t m_ends{ 0 };
};

/// \returns An answer that refuses an attempt.
[[nodiscard]] CallAnswer
Refuse(std::uint64_t aCall,
       CallOutcome aOutcome,
       RefusalReason aReason,
       std::chrono::milliseconds aRetryAfter = {});

/// \returns Whether a method may be repeated by its definition (RFC 9110).
[[nodiscard]] bool
IsIdempotentMethod(std::string_view aMethod) noexcept;

}
