#pragma once

#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/run_table.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <queue>

/// \file
/// \brief Simulation of calls through the real dispatchers and run tables in
/// virtual time; the result depends on the seed only.

namespace greengagehub::lab {

using namespace std::chrono_literals;

struct WorkerShape
{
  std::uint32_t m_slots{ 20 };
  Duration m_service{ 10ms };
};

struct ServiceShape
{
  const char* m_name;
  std::vector<WorkerShape> m_workers;
  std::uint32_t m_queue{ 40 };
  /// Shares of capacity between which the load alternates.
  std::vector<double> m_loads;
  /// Time for which each load lasts.
  Duration m_phase{ 10s };
};

enum class WorkerBehavior
{
  Honest,
  /// The first worker always reports a load of zero.
  OneClaimsIdle,
  /// The first worker fails every call within 100 us.
  OneFailsFast,
};

constexpr std::size_t kCallers = 8;
constexpr auto kDeadline = 500ms;
constexpr auto kSimulatedTime = 40s;
/// One-way delay between caller and worker.
constexpr auto kNetworkDelay = std::chrono::microseconds{ 500 };

struct ClassResult
{
  /// Of calls that succeeded before their deadline.
  std::vector<Duration> m_latencies;
  std::size_t m_refused{ 0 };
  std::size_t m_failed{ 0 };
};

struct Result
{
  std::array<ClassResult, 3> m_classes;
  /// Calls rejected although a worker had a free slot.
  std::size_t m_avoidableRejections{ 0 };
  std::size_t m_calls{ 0 };
  /// Longest time from the end of a burst until all queues were empty.
  Duration m_recovery{ 0 };
};

template<RoutingPolicy Policy>
class RoutingLab
{
public:
  RoutingLab(const ServiceShape& aShape,
             WorkerBehavior aBehavior,
             std::uint64_t aSeed)
    : m_shape(aShape)
    , m_behavior(aBehavior)
    , m_random(aSeed)
  {
    for (const WorkerShape& each : aShape.m_workers) {
      m_runs.push_back(std::make_unique<RunTable>(RunTableSettings{
        .m_slots = each.m_slots, .m_queue = aShape.m_queue }));
      m_capacity +=
        each.m_slots / std::chrono::duration<double>(each.m_service).count();
    }
    for (std::size_t i = 0; i < kCallers; ++i) {
      m_callers.push_back(
        std::make_unique<BasicDispatcher<Policy>>(m_random()));
      for (std::size_t w = 0; w < m_runs.size(); ++w) {
        WorkerRow row;
        row.m_slot = std::to_string(w);
        row.m_service = "s";
        row.m_slots = aShape.m_workers[w].m_slots;
        m_callers.back()->Workers().Put(std::move(row));
      }
    }
  }

  Result Run()
  {
    Schedule(m_start, [this] { GenerateCall(); });
    Schedule(m_start + 100ms, [this] { Tick(); });
    while (!m_events.empty()) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.m_at;
      event.m_action();
    }
    return std::move(m_result);
  }

private:
  struct Event
  {
    TimePoint m_at;
    std::uint64_t m_order;
    std::function<void()> m_action;
    [[nodiscard]] bool operator<(const Event& aOther) const
    {
      return m_at != aOther.m_at ? m_at > aOther.m_at
                                 : m_order > aOther.m_order;
    }
  };
  struct Call
  {
    TimePoint m_since;
    CallClass m_class;
  };

  void Schedule(TimePoint aTime, std::function<void()> aAction)
  {
    m_events.push({ aTime, ++m_order, std::move(aAction) });
  }

  [[nodiscard]] Duration Exponential(Duration aMean)
  {
    std::exponential_distribution<double> draw{ 1.0 };
    return std::chrono::duration_cast<Duration>(aMean * draw(m_random));
  }

  [[nodiscard]] double LoadNow() const
  {
    const auto phase =
      static_cast<std::size_t>((m_now - m_start) / m_shape.m_phase);
    return m_shape.m_loads[phase % m_shape.m_loads.size()];
  }

  void GenerateCall()
  {
    if (m_now - m_start > kSimulatedTime) {
      return;
    }
    const std::chrono::duration<double> gap{ 1.0 / (LoadNow() * m_capacity) };
    Schedule(m_now + Exponential(std::chrono::duration_cast<Duration>(gap)),
             [this] { GenerateCall(); });
    const auto draw = Below(m_random, 10);
    const CallClass callClass = draw < 6   ? CallClass::Critical
                                : draw < 9 ? CallClass::Lookup
                                           : CallClass::Export;
    const std::uint64_t id = ++m_lastCall;
    ++m_result.m_calls;
    m_calls.emplace(id, Call{ m_now, callClass });
    const std::size_t caller = id % kCallers;
    CallPlan plan;
    plan.m_service = "s";
    plan.m_class = callClass;
    plan.m_deadline = m_now + kDeadline;
    Execute(caller, m_callers[caller]->Begin(m_now, id, std::move(plan)));
  }

  void Execute(std::size_t aCaller, const DispatchActions& aActions)
  {
    for (const DispatchAction& each : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&each)) {
        Schedule(m_now + kNetworkDelay,
                 [this, aCaller, attempt = *send] { Admit(aCaller, attempt); });
      } else if (const auto* finish = std::get_if<FinishCall>(&each)) {
        Finish(*finish);
      }
    }
  }

  void Admit(std::size_t aCaller, const SendAttempt& aAttempt)
  {
    const std::size_t worker = std::stoul(aAttempt.m_slot);
    const CallKey key{ aCaller + 1, aAttempt.m_attempt };
    const CallClass callClass = m_calls.at(aAttempt.m_call).m_class;
    m_owners[key] = aCaller;
    RunActions out;
    const Admission admission = m_runs[worker]->Admit(
      m_now,
      key,
      1,
      { .m_class = callClass,
        .m_priority = static_cast<std::uint32_t>(callClass),
        .m_timeLeft = aAttempt.m_timeLeft - kNetworkDelay,
        .m_targetLeft = aAttempt.m_timeLeft - kNetworkDelay },
      out);
    if (admission.m_kind == Admission::Kind::Start) {
      Start(worker, key);
    } else if (admission.m_kind == Admission::Kind::Refused) {
      Refuse(worker, { key, admission.m_reason, admission.m_retryAfter });
    }
    Execute(worker, out);
  }

  void Execute(std::size_t aWorker, const RunActions& aActions)
  {
    for (const RefusedRun& each : aActions.m_refused) {
      Refuse(aWorker, each);
    }
    for (const CallKey& each : aActions.m_start) {
      Start(aWorker, each);
    }
  }

  void Start(std::size_t aWorker, CallKey aKey)
  {
    const bool fails =
      m_behavior == WorkerBehavior::OneFailsFast && aWorker == 0;
    const Duration runTime =
      fails ? Duration{ 100us }
            : Exponential(m_shape.m_workers[aWorker].m_service);
    Schedule(m_now + runTime, [this, aWorker, aKey, fails] {
      const RunActions next = m_runs[aWorker]->Finish(m_now, aKey);
      CallAnswer answer;
      answer.m_outcome = CallOutcome::Answered;
      answer.m_response.m_status = fails ? 500 : 200;
      Answer(aWorker, aKey, std::move(answer));
      Execute(aWorker, next);
    });
  }

  void Refuse(std::size_t aWorker, const RefusedRun& aRun)
  {
    Answer(aWorker,
           aRun.m_key,
           greengagehub::Refuse(aRun.m_key.m_call,
                                CallOutcome::NotRun,
                                aRun.m_reason,
                                aRun.m_retryAfter));
  }

  void Answer(std::size_t aWorker, CallKey aKey, CallAnswer aAnswer)
  {
    const bool claimsIdle =
      m_behavior == WorkerBehavior::OneClaimsIdle && aWorker == 0;
    aAnswer.m_call = aKey.m_call;
    aAnswer.m_load = claimsIdle ? 0 : m_runs[aWorker]->Load();
    const std::size_t caller = m_owners.at(aKey);
    m_owners.erase(aKey);
    Schedule(m_now + kNetworkDelay,
             [this, caller, answer = std::move(aAnswer)] {
               Execute(caller, m_callers[caller]->OnAnswer(m_now, answer));
             });
  }

  void Finish(const FinishCall& aFinish)
  {
    const auto call = m_calls.find(aFinish.m_call);
    ClassResult& result =
      m_result.m_classes[static_cast<std::size_t>(call->second.m_class)];
    const Duration latency = m_now - call->second.m_since;
    m_calls.erase(call);
    if (aFinish.m_answer.m_outcome != CallOutcome::Answered) {
      ++result.m_refused;
      const bool hasFreeSlot =
        std::any_of(m_runs.begin(), m_runs.end(), [&](const auto& aRuns) {
          const auto index = static_cast<std::size_t>(&aRuns - m_runs.data());
          return aRuns->Running() < m_shape.m_workers[index].m_slots;
        });
      m_result.m_avoidableRejections += hasFreeSlot ? 1 : 0;
    } else if (aFinish.m_answer.m_response.m_status != 200 ||
               latency > kDeadline) {
      ++result.m_failed;
    } else {
      result.m_latencies.push_back(latency);
    }
  }

  void Tick()
  {
    for (std::size_t w = 0; w < m_runs.size(); ++w) {
      Execute(w, m_runs[w]->OnTick(m_now));
    }
    for (std::size_t c = 0; c < m_callers.size(); ++c) {
      Execute(c, m_callers[c]->OnTick(m_now));
    }
    UpdateRecovery();
    if (m_now - m_start < kSimulatedTime + 2s) {
      Schedule(m_now + 10ms, [this] { Tick(); });
    }
  }

  void UpdateRecovery()
  {
    const bool isLowPhase =
      m_shape.m_loads.size() > 1 && LoadNow() < m_shape.m_loads.back();
    std::uint32_t queued = 0;
    for (const auto& each : m_runs) {
      queued += each->Queued();
    }
    if (!isLowPhase) {
      m_burstEnd = m_now;
      m_recovered = false;
    } else if (!m_recovered && queued == 0) {
      m_recovered = true;
      m_result.m_recovery =
        std::max(m_result.m_recovery, Duration{ m_now - m_burstEnd });
    }
  }

  const ServiceShape& m_shape;
  WorkerBehavior m_behavior;
  Random m_random;
  TimePoint m_start{ 1h };
  TimePoint m_now{ 1h };
  TimePoint m_burstEnd{ 1h };
  bool m_recovered{ true };
  double m_capacity{ 0 };
  std::vector<std::unique_ptr<RunTable>> m_runs;
  std::vector<std::unique_ptr<BasicDispatcher<Policy>>> m_callers;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order{ 0 };
  std::uint64_t m_lastCall{ 0 };
  std::unordered_map<std::uint64_t, Call> m_calls;
  std::map<CallKey, std::size_t> m_owners;
  Result m_result;
};

}
