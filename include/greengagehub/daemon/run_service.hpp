#pragma once

#include "greengagehub/calls/answer_sizes.hpp"
#include "greengagehub/calls/retry_budget.hpp"
#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/calls/worker_presence.hpp"
#include "greengagehub/daemon/request_log.hpp"
#include "greengagehub/http/backend_client.hpp"
#include "greengagehub/observe/metrics.hpp"
#include "greengagehub/observe/span.hpp"
#include "greengagehub/quarantine/crash_detector.hpp"
#include "greengagehub/quarantine/quarantine.hpp"
#include "greengagehub/rollout/rollout.hpp"
#include "greengagehub/settings/settings.hpp"
#include "greengagehub/transport/link_pacer.hpp"

#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>

namespace greengagehub {

/// \brief The worker's side of calls: runs attempts at the own worker as the
/// run table allows, and answers them.
class RunService
{
public:
  using Answer = std::function<void(CallKey, CallAnswer)>;
  using Trace = std::function<void(Span)>;

  struct Parts
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const CallDialect& m_dialect;
    Metrics& m_metrics;
    RequestLog& m_requests;
    const Quarantine& m_quarantine;
    const RolloutTable& m_rollouts;
    std::uint64_t m_seed;
    /// Delivers to the caller's daemon by whatever connection it has now.
    Answer m_answer;
    Trace m_trace;
    /// The worker's process ended under these runs.
    std::function<void(EndReport)> m_onEnd;
    /// A run of this content ended well.
    std::function<void(Fingerprint)> m_onRanWell;
    /// Whether repeats may still make calls of their own.
    std::function<bool(TimePoint)> m_mayRepeat;
    /// Of this machine's link; nullptr: its rate is not known.
    const LinkPacer* m_pacer{ nullptr };
  };

  explicit RunService(Parts aParts);

  [[nodiscard]] const RunTable& Runs() const noexcept { return m_runs; }

  void OnRequest(CallKey aKey, std::uint64_t aEpoch, CallRequest aRequest);
  /// \param aAbandon the answer is not wanted even if it started.
  /// \returns What the caller may conclude; Finished means that the answer is
  /// lost, unless it is still kept, when it is delivered again.
  [[nodiscard]] CancelResult OnCancel(CallKey aKey, bool aAbandon);
  void OnEpoch(std::uint64_t aProcess, std::uint64_t aEpoch);
  void StartLeaving();
  /// \brief Looks over what waits, every so often.
  void OnTick(TimePoint aNow);
  /// \brief A heartbeat told what the worker is; until the first one, and once
  /// it leaves, nothing is sent to it.
  void OnWorker(const WorkerPresence& aPresence);
  /// \returns Share of the worker's runs, lately, that were repeats.
  [[nodiscard]] double RepeatShareAt(TimePoint aNow) const
  {
    return m_repeats.At(aNow);
  }
  /// \returns What the worker did since CountAnew(); without a version if that
  /// is not known.
  [[nodiscard]] WorkerCounts Counts() const;
  void CountAnew() { m_tally.Clear(); }
  /// \brief Asks the worker for its id by its health check.
  /// \param aDone called with the id, if it is well and gives one.
  void Probe(const std::string& aPath, std::function<void(std::string)> aDone);

private:
  /// A request that waits or runs.
  struct Held
  {
    CallRequest m_request;
    Fingerprint m_content;
    TimePoint m_deadline;
    /// 0 while it waits.
    BackendClient::Ticket m_ticket{ 0 };
    TimePoint m_started;
    std::chrono::sys_time<std::chrono::nanoseconds> m_start;
    std::optional<TraceContext> m_parent;
    TraceContext m_span;
  };
  /// An answer kept for a caller whose connection may have been lost.
  struct Kept
  {
    CallKey m_key;
    CallAnswer m_answer;
    TimePoint m_since;
  };

  /// \returns How long the answer of another such run would take to leave: what
  /// waits on the link, the answers of runs under way, and its own.
  [[nodiscard]] Duration TimeOnLink(TimePoint aNow, CallKind aKind) const;
  /// \returns Whether the answer would leave too late to be of use.
  [[nodiscard]] bool IsLinkTooBusy(TimePoint aNow,
                                   const CallRequest& aRequest) const;
  void RefuseForLink(TimePoint aNow, CallKey aKey, const CallRequest& aRequest);
  /// Why a content is not run now.
  struct Bar
  {
    RefusalReason m_reason{ RefusalReason::None };
    std::chrono::milliseconds m_retryAfter{ 0 };
  };

  void Run(CallKey aKey);
  /// \returns Nothing if it may run.
  [[nodiscard]] std::optional<Bar> BarOf(TimePoint aNow,
                                         Fingerprint aContent) const;
  void Tally(const Held& aHeld, const CallAnswer& aAnswer);
  void RefuseBarred(TimePoint aNow,
                    CallKey aKey,
                    const CallRequest& aRequest,
                    Fingerprint aContent,
                    const Bar& aBar);
  void Ended(CallKey aKey, BackendResult aResult);
  /// \returns What the worker's answer means for the attempt.
  [[nodiscard]] CallAnswer AnswerFrom(CallKey aKey, BackendResult aResult);
  [[nodiscard]] CallAnswer AnswerFrom(CallKey aKey, HttpResponse aResponse);
  void Carry(const RunActions& aActions);
  /// \brief Adds what the caller's daemon learns of the worker, and answers.
  void Deliver(CallKey aKey, const CallRequest& aRequest, CallAnswer aAnswer);
  /// \brief Another start of the worker is there: what was learnt of the one
  /// before, or handed to it, is not this one's.
  void TakeStart(const WorkerStart& aStart, TimePoint aFormerHeardAt);
  /// \brief A run was lost as the worker closed its connection: the worker's
  /// process may have ended.
  void LookAfterLoss(CallKey aKey);
  void OnLooked(bool aNobodyListens);
  void ConcludeLost(CallKey aKey, bool aWorkerEnded);
  /// \brief A run has its answer.
  void Conclude(CallKey aKey, CallAnswer aAnswer);
  /// \brief Keeps the answer of a call that may not be run again, for a caller
  /// whose connection was lost with the answer on it.
  void Keep(CallKey aKey, const CallAnswer& aAnswer);
  [[nodiscard]] std::string_view IdOf(const CallRequest& aRequest) const;
  [[nodiscard]] RequestLog::WorkerState StateNow(
    const CallRequest& aRequest) const;
  void TraceEnd(const Held& aHeld, const CallAnswer& aAnswer);
  void Arm();

  Parts m_parts;
  Random m_random;
  RunTable m_runs;
  RepeatShare m_repeats;
  BackendClient m_client;
  CrashDetector m_ends;
  RunTally m_tally;
  /// Of the worker's software, and until when it is slow after its start.
  std::string m_version;
  TimePoint m_coldUntil{};
  /// Lost, and not known yet whether the worker has ended under them.
  std::vector<CallKey> m_doubted;
  /// The only start that requests are for; no id: whichever is there.
  WorkerStart m_start;
  bool m_hasWorker;
  std::map<CallKey, Held> m_held;
  AnswerSizes m_answerSizes;
  std::deque<Kept> m_kept;
  std::size_t m_keptBytes{ 0 };
  asio::steady_timer m_timer;
  std::optional<TimePoint> m_armed;
};

}
