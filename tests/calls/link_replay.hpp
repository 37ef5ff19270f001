#pragma once

#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/run_table.hpp"
#include "simulated_link.hpp"

#include <random>

namespace greengagehub::test {

using namespace std::chrono_literals;

struct LinkReplaySetup
{
  /// Whether the links are booked; otherwise a worker's daemon compares the
  /// pacer's backlog and the mean sizes of its active runs with the time left,
  /// and answers to clients are not paced.
  bool m_booksLinks{ true };
  /// Downloads per second, as a multiple of what the workers' links carry.
  double m_load{ 2.4 };
  std::size_t m_workers{ 10 };
  std::uint32_t m_workerMbps{ 15 };
  /// Callers' daemons on instances of their own.
  std::size_t m_callers{ 12 };
  std::uint32_t m_callerMbps{ 100 };
  /// Callers' daemons on the first workers' instances.
  std::size_t m_callersBesideWorkers{ 0 };
  Duration m_span{ 20s };
};

struct LinkReplayResult
{
  std::size_t m_calls{ 0 };
  std::size_t m_runs{ 0 };
  std::size_t m_inTarget{ 0 };
  std::size_t m_inDeadline{ 0 };
  std::size_t m_refused{ 0 };
  std::size_t m_attempts{ 0 };
  /// Longest wait of a small message on a link.
  Duration m_smallDelay{ 0 };
  /// Most bytes of answers that one daemon held at a time.
  std::size_t m_peakHeldBytes{ 0 };
  /// Used share of what the pacers of the workers' links may use, after two
  /// seconds and until the last call.
  double m_used{ 0.0 };

  [[nodiscard]] double ArrivedShare() const { return Share(m_inDeadline); }
  [[nodiscard]] double InTargetShare() const { return Share(m_inTarget); }

private:
  [[nodiscard]] double Share(std::size_t aCount) const
  {
    return m_runs == 0
             ? 1.0
             : static_cast<double>(aCount) / static_cast<double>(m_runs);
  }
};

/// \brief Simulates downloads over slow links in virtual time, with the real
/// dispatchers, run tables, pacers and bookings.
class LinkReplay
{
public:
  explicit LinkReplay(LinkReplaySetup aSetup)
    : m_setup(aSetup)
  {
    for (std::size_t i = 0; i < m_setup.m_workers; ++i) {
      AddInstance(m_setup.m_workerMbps);
      m_workers.push_back(std::make_unique<Worker>());
    }
    for (std::size_t i = 0; i < m_setup.m_callersBesideWorkers; ++i) {
      AddCaller(i);
    }
    for (std::size_t i = 0; i < m_setup.m_callers; ++i) {
      AddInstance(m_setup.m_callerMbps);
      AddCaller(m_instances.size() - 1);
    }
  }

  LinkReplayResult Run()
  {
    AddCalls();
    AddSmallMessages();
    m_events.Run();
    double sent = 0.0;
    for (std::size_t i = 0; i < m_setup.m_workers; ++i) {
      sent += m_instances[i]->CountedBytes();
    }
    const double carried =
      m_instances[0]->m_pacer.Rate() *
      std::chrono::duration<double>(m_setup.m_span - kWarmUp).count() *
      static_cast<double>(m_setup.m_workers);
    m_result.m_used = sent / carried;
    for (const auto& each : m_instances) {
      m_result.m_peakHeldBytes =
        std::max(m_result.m_peakHeldBytes, each->PeakHeldBytes());
    }
    return m_result;
  }

  /// \returns Bytes still booked on all links.
  [[nodiscard]] std::size_t BookedBytes() const
  {
    std::size_t bytes = 0;
    for (const auto& each : m_instances) {
      bytes += each->m_out.BookedBytes() + each->m_in.BookedBytes();
    }
    return bytes;
  }

private:
  static constexpr std::uint32_t kSlots = 20;
  static constexpr auto kTarget = 1500ms;
  static constexpr auto kDeadline = 4s;
  static constexpr auto kService = 160ms;
  static constexpr auto kHop = 1ms;
  static constexpr auto kWarmUp = 2s;
  static constexpr auto kSmallInterval = 20ms;
  static constexpr std::size_t kSmallBytes = 200;
  static constexpr double kMeanBytes = 90'000.0;
  static constexpr double kMaxBytes = 540'000.0;
  static constexpr double kSpread = 0.6;
  static constexpr CallKind kKind{ kTarget };

  struct Worker
  {
    RunTable m_table{ { .m_slots = kSlots, .m_queue = 4 * kSlots } };
    AnswerSizes m_sizes;
    std::map<CallKey, std::size_t> m_active;
  };
  struct Caller
  {
    explicit Caller(std::uint64_t aSeed)
      : m_dispatcher(aSeed)
    {
    }
    Dispatcher m_dispatcher;
    std::size_t m_instance{ 0 };
    AnswerSizes m_sizes;
    /// Moving average of the time until an answer arrives.
    Duration m_answerTime{ kService };
  };
  /// A call at its caller's daemon.
  struct Call
  {
    std::size_t m_caller{ 0 };
    TimePoint m_arrival;
    LinkReservation m_out{};
    LinkReservation m_in{};
  };
  struct RunState
  {
    std::size_t m_caller{ 0 };
    std::size_t m_worker{ 0 };
    LinkReservation m_out{};
  };

  static std::string SlotOf(std::size_t aInstance)
  {
    return std::to_string(aInstance);
  }

  void AddInstance(std::uint32_t aMbps)
  {
    m_instances.push_back(
      std::make_unique<SimulatedLink>(m_events, aMbps, m_setup.m_booksLinks));
    m_instances.back()->Count(TimePoint{} + kWarmUp,
                              TimePoint{} + m_setup.m_span);
  }

  void AddCaller(std::size_t aInstance)
  {
    auto caller = std::make_unique<Caller>(m_callers.size() + 1);
    caller->m_instance = aInstance;
    caller->m_dispatcher.Routing().m_ownSlot = SlotOf(aInstance);
    for (std::size_t i = 0; i < m_setup.m_workers; ++i) {
      WorkerRow row;
      row.m_slot = SlotOf(i);
      row.m_service = "archive";
      row.m_slots = kSlots;
      caller->m_dispatcher.Workers().Put(std::move(row));
    }
    m_callers.push_back(std::move(caller));
  }

  void AddCalls()
  {
    const double carried = m_instances[0]->m_pacer.Rate() *
                           static_cast<double>(m_setup.m_workers) / kMeanBytes;
    std::exponential_distribution<double> gap{ m_setup.m_load * carried };
    double offset = gap(m_random);
    while (offset < std::chrono::duration<double>(m_setup.m_span).count()) {
      const std::uint64_t id = ++m_result.m_calls;
      const std::size_t caller = Below(m_random, m_callers.size());
      m_events.Schedule(std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(offset)),
                        [this, id, caller] { Begin(id, caller); });
      offset += gap(m_random);
    }
  }

  void AddSmallMessages()
  {
    for (Duration at = kSmallInterval; at < m_setup.m_span;
         at += kSmallInterval) {
      m_events.Schedule(at, [this] {
        for (auto& each : m_instances) {
          static_cast<void>(each->m_pacer.Reserve(m_events.Now(), kSmallBytes));
          m_result.m_smallDelay =
            std::max(m_result.m_smallDelay, each->OutDelay());
          static_cast<void>(each->WriteOut(kSmallBytes));
        }
      });
    }
  }

  std::size_t DrawBytes()
  {
    std::lognormal_distribution<double> size{
      std::log(kMeanBytes) - kSpread * kSpread / 2, kSpread
    };
    return static_cast<std::size_t>(std::min(kMaxBytes, size(m_random)));
  }

  Duration DrawService()
  {
    std::lognormal_distribution<double> spread{ -0.045, 0.3 };
    return std::chrono::duration_cast<Duration>(
      spread(m_random) * std::chrono::duration<double>(kService));
  }

  void Begin(std::uint64_t aId, std::size_t aCaller)
  {
    Caller& caller = *m_callers[aCaller];
    SimulatedLink& instance = *m_instances[caller.m_instance];
    CallPlan plan;
    plan.m_service = "archive";
    plan.m_idempotent = true;
    plan.m_deadline = m_events.Now() + kDeadline;
    plan.m_target = m_events.Now() + kTarget;
    plan.m_kind = kKind;
    const LinkDemand demand{ .m_size = caller.m_sizes.SizeOf(kKind),
                             .m_readyIn = caller.m_answerTime,
                             .m_targetLeft = kTarget,
                             .m_deadlineLeft = kDeadline,
                             .m_target = kTarget };
    const Duration backlog = instance.m_pacer.Backlog(m_events.Now());
    if (!instance.m_out.Check(m_events.Now(), backlog, demand).IsAccepted()) {
      ++m_result.m_refused;
      return;
    }
    plan.m_remoteTransfer = instance.m_in.WaitOf(m_events.Now(), {}, demand);
    Call& call = m_calls[aId];
    call.m_caller = aCaller;
    call.m_arrival = m_events.Now();
    call.m_out = instance.m_out.Book(m_events.Now(), demand);
    Execute(aCaller,
            caller.m_dispatcher.Begin(m_events.Now(), aId, std::move(plan)));
  }

  void Execute(std::size_t aCaller, const DispatchActions& aActions)
  {
    for (const DispatchAction& each : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&each)) {
        ++m_result.m_attempts;
        BookIn(*send);
        m_events.Schedule(kHop, [this, aCaller, attempt = *send] {
          Deliver(aCaller, attempt);
        });
      } else if (const auto* finish = std::get_if<FinishCall>(&each)) {
        Finish(*finish);
      }
    }
  }

  void BookIn(const SendAttempt& aAttempt)
  {
    Call& call = m_calls.at(aAttempt.m_call);
    Caller& caller = *m_callers[call.m_caller];
    SimulatedLink& instance = *m_instances[caller.m_instance];
    call.m_in = {};
    if (aAttempt.m_slot != SlotOf(caller.m_instance)) {
      call.m_in = instance.m_in.Book(m_events.Now(),
                                     { .m_size = caller.m_sizes.SizeOf(kKind),
                                       .m_readyIn = caller.m_answerTime });
    }
  }

  bool IsRefusedByMean(Worker& aWorker,
                       const SimulatedLink& aInstance,
                       const SendAttempt& aAttempt) const
  {
    const std::size_t mean = aWorker.m_sizes.MeanSize(kKind);
    const std::size_t bytes = mean * (aWorker.m_active.size() + 1);
    const Duration left = aAttempt.m_targetLeft.count() > 0
                            ? aAttempt.m_targetLeft
                            : aAttempt.m_timeLeft;
    return mean > LinkPacer::kPartBytes &&
           aInstance.m_pacer.Backlog(m_events.Now()) +
               aInstance.m_pacer.TransmissionTime(bytes) >
             left;
  }

  void Deliver(std::size_t aCaller, const SendAttempt& aAttempt)
  {
    const std::size_t index = std::stoul(aAttempt.m_slot);
    Worker& worker = *m_workers[index];
    SimulatedLink& instance = *m_instances[index];
    const CallKey key{ aCaller + 1, aAttempt.m_attempt };
    RunState run{ aCaller, index };
    const bool isLocal = m_callers[aCaller]->m_instance == index;
    const auto& callers = *m_instances[m_callers[aCaller]->m_instance];
    const Duration transfer = m_setup.m_booksLinks
                                ? TransferOf(*m_callers[aCaller], callers)
                                : Duration{ 0 };
    const LinkDemand demand{ .m_size = worker.m_sizes.SizeOf(kKind),
                             .m_readyIn = ReadyIn(worker),
                             .m_targetLeft = aAttempt.m_targetLeft - transfer,
                             .m_deadlineLeft = aAttempt.m_timeLeft - transfer,
                             .m_target = kTarget };
    if (m_setup.m_booksLinks) {
      const auto decision = instance.m_out.Check(
        m_events.Now(), instance.m_pacer.Backlog(m_events.Now()), demand);
      if (!isLocal && !decision.IsAccepted()) {
        Answer(run, key, Refused(key, RefusalReason::LinkBusy));
        return;
      }
    } else if (IsRefusedByMean(worker, instance, aAttempt)) {
      Answer(run, key, Refused(key, RefusalReason::Overloaded));
      return;
    }
    RunActions out;
    const Admission admission =
      worker.m_table.Admit(m_events.Now(),
                           key,
                           1,
                           { .m_priority = 2,
                             .m_kind = kKind,
                             .m_timeLeft = aAttempt.m_timeLeft,
                             .m_targetLeft = aAttempt.m_targetLeft,
                             .m_refuseIfBusy = aAttempt.m_refuseIfBusy },
                           out);
    if (admission.m_kind == Admission::Kind::Refused) {
      Answer(run, key, Refused(key, admission.m_reason));
    } else {
      if (!isLocal) {
        run.m_out = instance.m_out.Book(m_events.Now(), demand);
      }
      worker.m_active.emplace(key, 0);
      m_runs.emplace(key, std::move(run));
    }
    if (admission.m_kind == Admission::Kind::Start) {
      Start(key);
    }
    Apply(out);
  }

  Duration TransferOf(const Caller& aCaller,
                      const SimulatedLink& aInstance) const
  {
    const LinkDemand demand{ .m_size = aCaller.m_sizes.SizeOf(kKind),
                             .m_readyIn = aCaller.m_answerTime };
    return aInstance.m_out.WaitOf(
      m_events.Now(), aInstance.m_pacer.Backlog(m_events.Now()), demand);
  }

  Duration ReadyIn(const Worker& aWorker) const
  {
    return aWorker.m_table.ServiceTime(m_events.Now(), kKind) +
           aWorker.m_table.ExpectedWaitOfKind(m_events.Now(), 2, kKind);
  }

  static CallAnswer Refused(CallKey aKey, RefusalReason aReason)
  {
    return Refuse(aKey.m_call, CallOutcome::NotRun, aReason, 100ms);
  }

  void Start(CallKey aKey)
  {
    ++m_result.m_runs;
    m_events.Schedule(DrawService(), [this, aKey] { End(aKey); });
  }

  void Apply(const RunActions& aActions)
  {
    for (const RefusedRun& each : aActions.m_refused) {
      RunState run = TakeRun(each.m_key);
      Answer(run, each.m_key, Refused(each.m_key, each.m_reason));
    }
    for (const CallKey& each : aActions.m_start) {
      Start(each);
    }
  }

  RunState TakeRun(CallKey aKey)
  {
    const auto found = m_runs.find(aKey);
    RunState run = std::move(found->second);
    m_runs.erase(found);
    m_workers[run.m_worker]->m_active.erase(aKey);
    return run;
  }

  void End(CallKey aKey)
  {
    RunState run = TakeRun(aKey);
    Worker& worker = *m_workers[run.m_worker];
    const RunActions next = worker.m_table.Finish(m_events.Now(), aKey);
    CallAnswer answer;
    answer.m_call = aKey.m_call;
    answer.m_outcome = CallOutcome::Answered;
    answer.m_response.m_status = 200;
    const std::size_t bytes = DrawBytes();
    answer.m_response.m_body = std::string(bytes, '\0');
    worker.m_sizes.Record(kKind, bytes);
    Answer(run, aKey, std::move(answer));
    Apply(next);
  }

  void Answer(RunState& aRun, CallKey aKey, CallAnswer aAnswer)
  {
    using std::chrono::microseconds;
    Worker& worker = *m_workers[aRun.m_worker];
    SimulatedLink& instance = *m_instances[aRun.m_worker];
    aAnswer.m_reachedWorker = aAnswer.m_outcome == CallOutcome::Answered;
    aAnswer.m_load = worker.m_table.Load();
    aAnswer.m_slots = kSlots;
    aAnswer.m_serviceTime = std::chrono::duration_cast<microseconds>(
      worker.m_table.ServiceTime(m_events.Now(), kKind));
    aAnswer.m_wait = std::chrono::duration_cast<microseconds>(
      worker.m_table.ExpectedWaitOfKind(m_events.Now(), 2, kKind));
    aAnswer.m_linkWait = std::chrono::duration_cast<microseconds>(
      instance.m_out.WaitOf(m_events.Now(),
                            instance.m_pacer.Backlog(m_events.Now()),
                            { .m_size = worker.m_sizes.SizeOf(kKind),
                              .m_readyIn = ReadyIn(worker),
                              .m_target = kTarget }));
    const std::size_t caller = aKey.m_process - 1;
    const std::size_t bytes = aAnswer.m_response.m_body.Size();
    auto receive = [this, caller, answer = std::move(aAnswer)]() mutable {
      Execute(caller,
              m_callers[caller]->m_dispatcher.OnAnswer(m_events.Now(), answer));
    };
    if (bytes == 0 || m_callers[caller]->m_instance == aRun.m_worker) {
      m_events.Schedule(kHop, std::move(receive));
      return;
    }
    instance.SendPaced(bytes,
                       [this, caller, bytes, receive = std::move(receive)] {
                         m_instances[m_callers[caller]->m_instance]->Receive(
                           bytes, kHop, receive);
                       });
    instance.m_out.HandOver(m_events.Now(),
                            instance.m_pacer.Backlog(m_events.Now()),
                            std::move(aRun.m_out),
                            bytes);
  }

  void Finish(const FinishCall& aFinish)
  {
    Call call = std::move(m_calls.at(aFinish.m_call));
    m_calls.erase(aFinish.m_call);
    if (aFinish.m_answer.m_outcome != CallOutcome::Answered) {
      ++m_result.m_refused;
      return;
    }
    Caller& caller = *m_callers[call.m_caller];
    SimulatedLink& instance = *m_instances[caller.m_instance];
    const std::size_t bytes = aFinish.m_answer.m_response.m_body.Size();
    caller.m_sizes.Record(kKind, bytes);
    caller.m_answerTime +=
      (m_events.Now() - call.m_arrival - caller.m_answerTime) / 20;
    const auto arrive = [this, arrival = call.m_arrival] {
      m_result.m_inTarget += m_events.Now() - arrival <= kTarget ? 1 : 0;
      m_result.m_inDeadline += m_events.Now() - arrival <= kDeadline ? 1 : 0;
    };
    if (!m_setup.m_booksLinks) {
      instance.SendAtOnce(bytes, arrive);
      return;
    }
    instance.SendPaced(bytes, arrive);
    instance.m_out.HandOver(m_events.Now(),
                            instance.m_pacer.Backlog(m_events.Now()),
                            std::move(call.m_out),
                            bytes);
  }

  LinkReplaySetup m_setup;
  LinkReplayResult m_result;
  Random m_random{ 1 };
  EventQueue m_events;
  std::vector<std::unique_ptr<SimulatedLink>> m_instances;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::map<std::uint64_t, Call> m_calls;
  std::map<CallKey, RunState> m_runs;
};

}
