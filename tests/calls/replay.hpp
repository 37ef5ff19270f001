#pragma once

#include "replay_setup.hpp"

#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/run_table.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace greengagehub::test {

/// \brief Simulates many callers with few calls each in virtual time, with the
/// real dispatchers and run tables.
///
/// Mean service times are 140 ms for two workers in three and 62 ms for the
/// rest, unless the setup has others.
class Replay
{
public:
  explicit Replay(ReplaySetup aSetup)
    : m_setup(std::move(aSetup))
    , m_random(m_setup.m_seed)
  {
    m_result.m_workspaces.resize(m_setup.m_workspaces.size());
    for (std::size_t i = 0; i < m_setup.m_domains.size(); ++i) {
      AddDomain(i);
    }
  }

  ReplayResult Run()
  {
    for (std::size_t i = 0; i < m_setup.m_domains.size(); ++i) {
      AddCalls(i);
    }
    while (!m_events.empty()) {
      const auto next = m_events.begin();
      m_now = next->first;
      const auto action = std::move(next->second);
      m_events.erase(next);
      action();
    }
    return m_result;
  }

private:
  static constexpr int kDeadlineTargets = 5;
  static constexpr auto kFast = 62ms;
  static constexpr auto kSlow = 140ms;

  struct Worker
  {
    explicit Worker(const RunTableSettings& aSettings)
      : m_table(aSettings)
    {
    }
    RunTable m_table;
    std::size_t m_domain{ 0 };
    Duration m_mean{ 0 };
    bool m_isLimited{ false };
    /// The caller's daemon that is also the worker's.
    std::size_t m_daemon{ 0 };
    Duration m_burstPhase{ -1 };
    /// Of the shared queue.
    std::uint32_t m_running{ 0 };
  };

  static std::string NameOf(std::size_t aDomain)
  {
    return "domain-" + std::to_string(aDomain);
  }

  void AddDomain(std::size_t aDomain)
  {
    const ReplayDomain& domain = m_setup.m_domains[aDomain];
    for (std::size_t i = 0; i < domain.m_workers; ++i) {
      auto worker = std::make_unique<Worker>(
        RunTableSettings{ .m_slots = m_setup.m_slots,
                          .m_queue = 4 * m_setup.m_slots,
                          .m_sharesFairly = m_setup.m_sharesFairly,
                          .m_decisions = m_setup.m_decisions });
      worker->m_domain = aDomain;
      worker->m_daemon = m_callers.size() + i % domain.m_callers;
      worker->m_mean = i % 3 == 2 || i == 0 ? kFast : kSlow;
      if (i < domain.m_limitedWorkers) {
        worker->m_isLimited = true;
        worker->m_table.Limiter().OnResponse(m_now, m_now, domain.m_limit);
      }
      m_workers.push_back(std::move(worker));
    }
    m_firstCaller.push_back(m_callers.size());
    m_daemonFree.resize(m_callers.size() + domain.m_callers);
    for (std::size_t i = 0; i < domain.m_callers; ++i) {
      m_callers.push_back(std::make_unique<Dispatcher>(m_callers.size() + 1));
      m_callers.back()->Routing().m_domain = NameOf(aDomain);
      m_callers.back()->SetDecisions(m_setup.m_decisions);
    }
  }

  void AddWorkerRows()
  {
    for (auto& caller : m_callers) {
      for (std::size_t i = 0; i < m_workers.size(); ++i) {
        WorkerRow row;
        row.m_slot = std::to_string(i);
        row.m_service = "board";
        row.m_domain = NameOf(m_workers[i]->m_domain);
        row.m_slots = m_setup.m_slots;
        caller->Workers().Put(std::move(row));
      }
    }
  }

  void AddCalls(std::size_t aDomain)
  {
    if (aDomain == 0) {
      SetUnequalSpeeds();
      AddWorkerRows();
    }
    const ReplayDomain& domain = m_setup.m_domains[aDomain];
    double capacity = 0.0;
    for (const auto& each : m_workers) {
      capacity += each->m_domain == aDomain
                    ? m_setup.m_slots / MeanOf(*each, m_now + 1h).count()
                    : 0.0;
    }
    if (m_setup.m_unequal) {
      capacity = UnequalCapacity() * static_cast<double>(domain.m_callers) /
                 static_cast<double>(m_callers.size());
    }
    const double rate = domain.m_load * capacity;
    if (m_setup.m_workspaces.empty()) {
      AddArrivals(aDomain, rate, m_random, kNoWorkspace);
      return;
    }
    const double usual =
      rate / static_cast<double>(m_setup.m_workspaces.size());
    for (std::size_t i = 0; i < m_setup.m_workspaces.size(); ++i) {
      // A workspace's arrivals do not depend on the others.
      std::mt19937_64 random{ 1000 * (aDomain + 1) + i };
      AddArrivals(aDomain, usual * m_setup.m_workspaces[i].m_rate, random, i);
    }
  }

  void AddArrivals(std::size_t aDomain,
                   double aRate,
                   std::mt19937_64& aRandom,
                   std::size_t aWorkspace)
  {
    const std::size_t callers = m_setup.m_domains[aDomain].m_callers;
    std::exponential_distribution<double> gap{ aRate };
    double offset = 0.0;
    while (offset < std::chrono::duration<double>(m_setup.m_span).count()) {
      offset += gap(aRandom);
      const auto arrival = m_now + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(offset));
      const std::uint64_t id = ++m_result.m_calls;
      const std::size_t caller = m_firstCaller[aDomain] + id % callers;
      if (aWorkspace != kNoWorkspace) {
        m_workspaceOf[id] = aWorkspace;
        ReplayWorkspaceResult& result = m_result.m_workspaces[aWorkspace];
        ++result.m_calls;
        const ReplayWorkspace& workspace = m_setup.m_workspaces[aWorkspace];
        const double admitted = aRate * workspace.m_limit / workspace.m_rate;
        if (workspace.m_limit > 0.0 &&
            static_cast<double>(result.m_calls - result.m_overQuota) >
              admitted * (offset + 1.0)) {
          ++result.m_overQuota;
          continue;
        }
      }
      m_events.emplace(arrival, [this, id, caller] { Begin(id, caller); });
    }
  }

  using Seconds = std::chrono::duration<double>;

  void SetUnequalSpeeds()
  {
    if (!m_setup.m_unequal) {
      return;
    }
    const UnequalWorkers& unequal = *m_setup.m_unequal;
    std::vector<Worker*> workers;
    for (const auto& each : m_workers) {
      workers.push_back(each.get());
    }
    std::ranges::shuffle(workers, m_random);
    const auto last =
      static_cast<double>(std::max<std::size_t>(1, workers.size() - 1));
    for (std::size_t i = 0; i < workers.size(); ++i) {
      const double speed =
        unequal.m_slowest +
        (unequal.m_fastest - unequal.m_slowest) * static_cast<double>(i) / last;
      workers[i]->m_mean =
        std::chrono::duration_cast<Duration>(unequal.m_mean / speed);
      if (i % 4 == 1) {
        workers[i]->m_burstPhase =
          unequal.m_burstPeriod * static_cast<int>(i % 7) / 7;
      }
    }
  }

  [[nodiscard]] double UnequalCapacity() const
  {
    const double calm = 1.0 - 0.2 * (1.0 - 1.0 / m_setup.m_unequal->m_burst);
    double capacity = 0.0;
    for (const auto& each : m_workers) {
      const double share = each->m_burstPhase >= Duration{ 0 } ? calm : 1.0;
      capacity += share * m_setup.m_slots / Seconds(each->m_mean).count();
    }
    return capacity;
  }

  /// \returns Mean service time of calls that start at a time.
  [[nodiscard]] Seconds MeanOf(const Worker& aWorker, TimePoint aAt) const
  {
    Seconds mean = aWorker.m_mean;
    if (!m_setup.m_unequal) {
      return mean;
    }
    const UnequalWorkers& unequal = *m_setup.m_unequal;
    const Duration age = aAt - m_start;
    if (age < unequal.m_coldTime) {
      mean *= 2.0 - Seconds(age) / Seconds(unequal.m_coldTime);
    }
    const bool isBurst = aWorker.m_burstPhase >= Duration{ 0 } &&
                         (age + aWorker.m_burstPhase) % unequal.m_burstPeriod <
                           unequal.m_burstPeriod / 5;
    return isBurst ? mean * unequal.m_burst : mean;
  }

  Duration ServiceOf(const Worker& aWorker)
  {
    const double spread = m_setup.m_spread;
    std::lognormal_distribution<double> draw{ -spread * spread / 2, spread };
    const auto took = std::chrono::duration_cast<Duration>(
      MeanOf(aWorker, m_now) * draw(m_random));
    return took;
  }

  void Schedule(Duration aSpan, std::function<void()> aAction)
  {
    m_events.emplace(m_now + aSpan, std::move(aAction));
  }

  /// \brief Sends a frame between the daemons of a caller and a worker.
  void Transmit(std::size_t aFrom,
                std::size_t aTo,
                std::size_t aCaller,
                const Worker& aWorker,
                std::function<void()> aAction)
  {
    const bool isFar =
      m_callers[aCaller]->Routing().m_domain != NameOf(aWorker.m_domain);
    ++m_result.m_messages;
    Schedule(Occupy(aFrom) + (isFar ? m_setup.m_farHop : m_setup.m_hop),
             [this, aTo, action = std::move(aAction)]() mutable {
               if (m_setup.m_messageTime > Duration{ 0 }) {
                 Schedule(Occupy(aTo), std::move(action));
               } else {
                 action();
               }
             });
  }

  /// \returns Time until the daemon has handled another message.
  Duration Occupy(std::size_t aDaemon)
  {
    TimePoint& free = m_daemonFree[aDaemon];
    free = std::max(free, m_now) + m_setup.m_messageTime;
    return free - m_now;
  }

  void BeginShared(std::uint64_t aId);
  /// Starts each call at the fastest worker that has a free slot.
  void ServeShared();

  [[nodiscard]] bool IsCounted(std::uint64_t aId) const
  {
    return m_arrivals.at(aId) - m_start >= m_setup.m_countFrom;
  }

  void RecordLatency(std::uint64_t aId, Duration aTook)
  {
    ++m_result.m_answered;
    if (IsCounted(aId)) {
      m_result.m_inTarget += aTook <= m_setup.m_target ? 1 : 0;
      m_result.m_latencies.push_back(aTook);
    }
  }

  void RecordArrival(std::uint64_t aId)
  {
    m_arrivals[aId] = m_now;
    m_result.m_counted += IsCounted(aId) ? 1 : 0;
  }

  void Begin(std::uint64_t aId, std::size_t aCaller)
  {
    if (m_setup.m_queueing == ReplayQueueing::Shared) {
      BeginShared(aId);
      return;
    }
    CallPlan plan;
    plan.m_service = "board";
    plan.m_deadline = m_now + kDeadlineTargets * m_setup.m_target;
    plan.m_target = m_now + m_setup.m_target;
    plan.m_kind = m_setup.m_target;
    plan.m_crossingCost = m_setup.m_crossingCost;
    plan.m_share = ShareOf(aId);
    RecordArrival(aId);
    Execute(aCaller, m_callers[aCaller]->Begin(m_now, aId, std::move(plan)));
  }

  void Execute(std::size_t aCaller, const DispatchActions& aActions)
  {
    for (const DispatchAction& each : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&each)) {
        ++m_result.m_sends;
        const Worker& worker = *m_workers[std::stoul(send->m_slot)];
        Transmit(
          aCaller,
          worker.m_daemon,
          aCaller,
          worker,
          [this, aCaller, attempt = *send] { Deliver(aCaller, attempt); });
      } else if (const auto* finish = std::get_if<FinishCall>(&each)) {
        const bool answered =
          finish->m_answer.m_outcome == CallOutcome::Answered;
        const Duration took = m_now - m_arrivals.at(finish->m_call);
        Digest(finish->m_call, answered ? 3 : 4);
        if (answered) {
          RecordLatency(finish->m_call, took);
        }
        if (const auto found = m_workspaceOf.find(finish->m_call);
            found != m_workspaceOf.end()) {
          ReplayWorkspaceResult& result = m_result.m_workspaces[found->second];
          result.m_answered += answered ? 1 : 0;
          result.m_inTarget += answered && took <= m_setup.m_target ? 1 : 0;
        }
      }
    }
  }

  void Deliver(std::size_t aCaller, const SendAttempt& aAttempt)
  {
    const std::size_t index = std::stoul(aAttempt.m_slot);
    Worker& worker = *m_workers[index];
    const CallKey key{ aCaller + 1, aAttempt.m_attempt };
    m_workerOf[key] = index;
    m_callOf[key] = aAttempt.m_call;
    m_deliveredAt[key] = m_now;
    RunActions out;
    const Admission admission =
      worker.m_table.Admit(m_now,
                           key,
                           1,
                           { .m_priority = 2,
                             .m_kind = m_setup.m_target,
                             .m_timeLeft = aAttempt.m_timeLeft,
                             .m_targetLeft = aAttempt.m_targetLeft,
                             .m_refuseIfBusy = aAttempt.m_refuseIfBusy,
                             .m_share = ShareOf(aAttempt.m_call) },
                           out);
    const bool refused = admission.m_kind == Admission::Kind::Refused;
    const bool isCrossing =
      m_callers[aCaller]->Routing().m_domain != NameOf(worker.m_domain);
    m_result.m_crossed += isCrossing && !refused ? 1 : 0;
    if (admission.m_kind == Admission::Kind::Start) {
      Start(key);
    } else if (refused) {
      Answer(key,
             Refuse(key.m_call,
                    CallOutcome::NotRun,
                    admission.m_reason,
                    admission.m_retryAfter));
    }
    Apply(out);
    ScheduleWakeUp(index);
  }

  /// Starts delayed by a limit need a timer; other workers start calls when
  /// runs end.
  void ScheduleWakeUp(std::size_t aWorker)
  {
    const RunTable& table = m_workers[aWorker]->m_table;
    const auto next = table.NextWakeUp(m_now);
    if (m_workers[aWorker]->m_isLimited && next) {
      Schedule(*next - m_now, [this, aWorker] {
        Apply(m_workers[aWorker]->m_table.OnTick(m_now));
      });
    }
  }

  void Start(const CallKey& aKey)
  {
    const Worker& worker = *m_workers[m_workerOf.at(aKey)];
    m_result.m_limitedRuns += worker.m_isLimited ? 1 : 0;
    Digest(aKey.m_call, 1);
    const Duration service = ServiceOf(worker);
    if (const auto found = m_workspaceOf.find(m_callOf.at(aKey));
        found != m_workspaceOf.end()) {
      m_result.m_workspaces[found->second].m_slotTime += service;
    }
    Schedule(service, [this, aKey] {
      Apply(m_workers[m_workerOf.at(aKey)]->m_table.Finish(m_now, aKey));
      CallAnswer answer;
      answer.m_call = aKey.m_call;
      answer.m_outcome = CallOutcome::Answered;
      Answer(aKey, std::move(answer));
    });
  }

  void Apply(const RunActions& aActions)
  {
    for (const RefusedRun& each : aActions.m_refused) {
      Digest(each.m_key.m_call, 2);
      Answer(each.m_key,
             Refuse(each.m_key.m_call,
                    CallOutcome::NotRun,
                    each.m_reason,
                    each.m_retryAfter));
    }
    for (const CallKey& each : aActions.m_start) {
      Start(each);
    }
  }

  void Answer(const CallKey& aKey, CallAnswer aAnswer)
  {
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    const RunTable& worker = m_workers[m_workerOf.at(aKey)]->m_table;
    aAnswer.m_load = worker.Load();
    aAnswer.m_slots = m_setup.m_slots;
    aAnswer.m_timeAtWorker =
      duration_cast<microseconds>(m_now - m_deliveredAt.at(aKey));
    aAnswer.m_statement.m_rateLimit = worker.Limiter().Limit();
    aAnswer.m_serviceTime =
      duration_cast<microseconds>(worker.ServiceTime(m_now, m_setup.m_target));
    aAnswer.m_wait = duration_cast<microseconds>(
      worker.ExpectedWaitOfKind(m_now, 2, m_setup.m_target));
    const std::size_t caller = aKey.m_process - 1;
    const Worker& from = *m_workers[m_workerOf.at(aKey)];
    Transmit(from.m_daemon,
             caller,
             caller,
             from,
             [this, caller, answer = std::move(aAnswer)] {
               Execute(caller, m_callers[caller]->OnAnswer(m_now, answer));
             });
  }

  [[nodiscard]] CallShare ShareOf(std::uint64_t aCall) const
  {
    const auto found = m_workspaceOf.find(aCall);
    return found != m_workspaceOf.end()
             ? m_setup.m_workspaces[found->second].m_share
             : CallShare{};
  }

  void Digest(std::uint64_t aCall, std::uint64_t aWhat)
  {
    m_result.m_digest =
      (m_result.m_digest ^ (8 * aCall + aWhat)) * 0x9E3779B97F4A7C15U;
    m_result.m_digest ^= m_result.m_digest >> 29U;
  }

  static constexpr std::size_t kNoWorkspace = SIZE_MAX;

  ReplaySetup m_setup;
  ReplayResult m_result{};
  std::mt19937_64 m_random;
  TimePoint m_start{ 1h };
  TimePoint m_now{ 1h };
  std::vector<std::unique_ptr<Dispatcher>> m_callers{};
  std::vector<std::size_t> m_firstCaller{};
  std::vector<std::unique_ptr<Worker>> m_workers{};
  std::multimap<TimePoint, std::function<void()>> m_events{};
  std::map<std::uint64_t, TimePoint> m_arrivals{};
  std::map<CallKey, std::size_t> m_workerOf{};
  std::map<CallKey, std::uint64_t> m_callOf{};
  std::map<std::uint64_t, std::size_t> m_workspaceOf{};
  std::map<CallKey, TimePoint> m_deliveredAt{};
  std::vector<TimePoint> m_daemonFree{};
  std::deque<std::uint64_t> m_sharedQueue{};
};

}

#include "replay_shared_queue.hpp"
