#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/calls/worker_signals.hpp"
#include "greengagehub/core/version.hpp"
#include "greengagehub/http/response_fault.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/observe/log_rate_limiter.hpp"
#include "greengagehub/quarantine/crash_detector.hpp"

namespace greengagehub {

/// \brief Logs the decisions about each request and its result, by request id.
///
/// | event            | where               | when                           |
/// |------------------|---------------------|--------------------------------|
/// | request_finished | caller's daemon     | failed, refused or retried; a  |
/// |                  |                     | sample of the other requests   |
/// | request_placed   | caller's daemon     | each retry                     |
/// | run_refused      | worker's daemon     | run not started                |
/// | run_answered     | worker's daemon     | a sample, and calls that were  |
/// |                  |                     | routed by an older version     |
/// | run_lost         | worker's daemon     | run started, answer lost       |
/// | answer_broken    | worker's daemon     | bytes that are no response     |
/// | request_held     | either              | fingerprint is quarantined     |
/// | run_cancelled    | worker's daemon     | answer no longer needed        |
/// | worker_ended     | worker's daemon     | process exited during runs     |
/// | worker_limit     | worker's daemon     | stated rate limit changed      |
/// | worker_leaving   | worker's daemon     | worker states that it exits    |
///
/// The rate of all lines but `worker_ended` and `worker_leaving` is limited; a
/// line `lines_left_out` counts the omitted ones.
class RequestLog
{
public:
  /// One in this many routine requests is logged: answered at the first attempt
  /// without a server error.
  static constexpr std::uint64_t kSampleInterval = 100;

  explicit RequestLog(const Log& aLog) noexcept
    : m_log(aLog)
  {
  }

  struct FinishedRequest
  {
    std::string_view m_id{};
    std::string_view m_route{};
    std::string_view m_service{};
    /// Name of the workspace; empty: no key, or an unknown one.
    std::string_view m_workspace{};
    /// Slot of the latest attempt; empty: none.
    std::string_view m_slot{};
    const CallAnswer& m_answer;
    std::uint32_t m_attempts{ 0 };
    Duration m_duration{};
    Version m_version{};
  };
  void OnFinished(TimePoint aNow, const FinishedRequest& aRequest);

  void OnRetried(TimePoint aNow,
                 std::string_view aId,
                 std::string_view aSlot,
                 std::uint32_t aAttempts,
                 std::chrono::microseconds aTimeLeft);

  /// \param aTimeLeft remaining time of the quarantine.
  void OnQuarantined(TimePoint aNow,
                     std::string_view aId,
                     Fingerprint aFingerprint,
                     Duration aTimeLeft);

  /// \brief A workspace's share of the worker and its use of it.
  struct ShareUse
  {
    /// Part of the weight of the workspaces with calls there.
    double m_share{ 0.0 };
    std::uint32_t m_queued{ 0 };
    std::uint32_t m_running{ 0 };
    /// Decayed, see FairShares::kUseDecay.
    double m_slotSeconds{ 0.0 };
  };
  struct WorkerState
  {
    std::string_view m_instance{};
    /// Time since the attempt arrived at this daemon.
    Duration m_waited{};
    /// Version by which the caller's daemon selected the service.
    Version m_routedBy{};
    /// Version in force at this daemon.
    Version m_version{};
    std::uint32_t m_running{ 0 };
    std::uint32_t m_queued{ 0 };
    std::uint32_t m_slots{ 0 };
    std::chrono::microseconds m_wait{ 0 };
    /// Booked on the link of this instance.
    std::size_t m_linkBytes{ 0 };
    /// Until an answer would have left the link, from the end of its run.
    std::chrono::microseconds m_linkWait{ 0 };
    /// Requests per second that the worker states; empty: not limited.
    std::optional<double> m_rateLimit{};
    std::optional<ShareUse> m_use{};
  };
  void OnRunRefused(TimePoint aNow,
                    std::string_view aId,
                    RefusalReason aReason,
                    std::chrono::microseconds aTimeLeft,
                    const WorkerState& aState);
  struct AnsweredRun
  {
    std::string_view m_id{};
    std::string_view m_service{};
    std::string_view m_instance{};
    /// As in WorkerState.
    Version m_routedBy{};
    Version m_version{};
    /// Time from the arrival of the attempt to its answer.
    Duration m_timeAtWorker{};
  };
  void OnRunAnswered(TimePoint aNow, const AnsweredRun& aRun);
  void OnRunLost(TimePoint aNow,
                 std::string_view aId,
                 Fingerprint aFingerprint,
                 RefusalReason aReason,
                 Duration aRunTime,
                 const WorkerState& aState);
  /// \param aId of the request; empty for a health check.
  void OnBrokenAnswer(TimePoint aNow,
                      std::string_view aId,
                      std::string_view aInstance,
                      ResponseFault aFault);
  /// \brief Logs the exit of the backend server's process with the fingerprints
  /// of its runs, without a rate limit.
  void OnWorkerExit(std::string_view aInstance,
                    bool aIsDraining,
                    const WorkerCrash& aExit);
  /// \brief Logs the statements of the backend server that have changed.
  void OnWorkerSignals(TimePoint aNow,
                       std::string_view aInstance,
                       const WorkerSignals& aPrevious,
                       const WorkerSignals& aCurrent);
  /// \param aWaited from the arrival of the attempt to its start.
  /// \param aRan since its start.
  void OnRunCancelled(TimePoint aNow,
                      std::string_view aId,
                      Duration aWaited,
                      Duration aRan);

  /// \brief Logs the number of omitted lines, if any.
  void OnTick();

private:
  /// Twice the refusals per second of an overloaded daemon.
  static constexpr double kLinesPerSecond = 200.0;
  static constexpr double kBurst = 400.0;

  /// Backend servers may state another limit in every response.
  static constexpr double kSignalLinesPerSecond = 1.0;
  static constexpr double kSignalBurst = 10.0;

  const Log& m_log;
  LogRateLimiter m_budget{ kLinesPerSecond, kBurst };
  LogRateLimiter m_signalBudget{ kSignalLinesPerSecond, kSignalBurst };
  std::uint64_t m_routineRequests{ 0 };
  std::uint64_t m_routineRuns{ 0 };
};

}
