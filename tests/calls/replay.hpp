#pragma once

#include "greengagehub/calls/dispatcher.hpp"
#include "greengagehub/calls/run_table.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace greengagehub::test {

using namespace std::chrono_literals;

struct ReplayDomain
{
  std::size_t m_callers{ 40 };
  std::size_t m_workers{ 8 };
  /// Rate of calls from the domain as a fraction of its workers' capacity.
  double m_load{ 0.85 };
  /// Number of workers that state a limit, the first ones of the domain.
  std::size_t m_limitedWorkers{ 0 };
  /// Their limit, in requests per second.
  double m_limit{ 0.0 };
};

struct ReplayWorkspace
{
  CallShare m_share{};
  /// Rate of calls, relative to the usual one, which is equal for all.
  double m_rate{ 1.0 };
  /// Rate above which calls are not admitted; 0: no limit.
  double m_limit{ 0.0 };
};

struct ReplaySetup
{
  std::vector<ReplayDomain> m_domains{ {} };
  DecisionSettings m_decisions{};
  /// Cost of a crossing as a fraction of a call's value.
  double m_crossingCost{ 0.0 };
  Duration m_span{ 20s };
  /// The usual calls of all of them are the load of a domain; empty: calls
  /// without workspace.
  std::vector<ReplayWorkspace> m_workspaces{};
  bool m_sharesFairly{ true };
};

struct ReplayWorkspaceResult
{
  std::size_t m_calls{ 0 };
  /// Calls not admitted by the limit.
  std::size_t m_overQuota{ 0 };
  std::size_t m_answered{ 0 };
  std::size_t m_inTarget{ 0 };
  /// Slot time of its runs.
  Duration m_slotTime{ 0 };
};

struct ReplayResult
{
  std::size_t m_calls{ 0 };
  std::size_t m_inTarget{ 0 };
  std::size_t m_crossed{ 0 };
  std::size_t m_sends{ 0 };
  std::size_t m_answered{ 0 };
  /// Runs at workers that state a limit.
  std::size_t m_limitedRuns{ 0 };
  std::vector<ReplayWorkspaceResult> m_workspaces{};
  /// Starts, refusals and answers in their order.
  std::uint64_t m_digest{ 0 };

  [[nodiscard]] double Missed() const { return 1.0 - Share(m_inTarget); }
  [[nodiscard]] double Crossed() const { return Share(m_crossed); }
  [[nodiscard]] double Sends() const { return Share(m_sends); }

private:
  [[nodiscard]] double Share(std::size_t aCount) const
  {
    return static_cast<double>(aCount) / static_cast<double>(m_calls);
  }
};

/// \brief Simulates many callers with few calls each in virtual time, with the
/// real dispatchers and run tables.
///
/// Mean service times are 140 ms for two workers in three and 62 ms for the
/// rest.
class Replay
{
public:
  explicit Replay(ReplaySetup aSetup)
    : m_setup(std::move(aSetup))
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
  static constexpr std::uint32_t kSlots = 6;
  static constexpr auto kTarget = 400ms;
  static constexpr auto kHop = std::chrono::microseconds{ 200 };
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
        RunTableSettings{ .m_slots = kSlots,
                          .m_queue = 4 * kSlots,
                          .m_sharesFairly = m_setup.m_sharesFairly });
      worker->m_domain = aDomain;
      worker->m_mean = i % 3 == 2 || i == 0 ? kFast : kSlow;
      if (i < domain.m_limitedWorkers) {
        worker->m_isLimited = true;
        worker->m_table.Limiter().OnResponse(m_now, m_now, domain.m_limit);
      }
      m_workers.push_back(std::move(worker));
    }
    m_firstCaller.push_back(m_callers.size());
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
        row.m_slots = kSlots;
        caller->Workers().Put(std::move(row));
      }
    }
  }

  void AddCalls(std::size_t aDomain)
  {
    if (aDomain == 0) {
      AddWorkerRows();
    }
    const ReplayDomain& domain = m_setup.m_domains[aDomain];
    double capacity = 0.0;
    for (const auto& each : m_workers) {
      capacity +=
        each->m_domain == aDomain
          ? kSlots / std::chrono::duration<double>(each->m_mean).count()
          : 0.0;
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

  Duration ServiceOf(const Worker& aWorker)
  {
    std::lognormal_distribution<double> spread{ -0.11, 0.47 };
    return std::chrono::duration_cast<Duration>(aWorker.m_mean *
                                                spread(m_random));
  }

  void Schedule(Duration aSpan, std::function<void()> aAction)
  {
    m_events.emplace(m_now + aSpan, std::move(aAction));
  }

  void Begin(std::uint64_t aId, std::size_t aCaller)
  {
    CallPlan plan;
    plan.m_service = "board";
    plan.m_deadline = m_now + 2s;
    plan.m_target = m_now + kTarget;
    plan.m_kind = kTarget;
    plan.m_crossingCost = m_setup.m_crossingCost;
    plan.m_share = ShareOf(aId);
    m_arrivals[aId] = m_now;
    Execute(aCaller, m_callers[aCaller]->Begin(m_now, aId, std::move(plan)));
  }

  void Execute(std::size_t aCaller, const DispatchActions& aActions)
  {
    for (const DispatchAction& each : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&each)) {
        ++m_result.m_sends;
        Schedule(kHop, [this, aCaller, attempt = *send] {
          Deliver(aCaller, attempt);
        });
      } else if (const auto* finish = std::get_if<FinishCall>(&each)) {
        const bool answered =
          finish->m_answer.m_outcome == CallOutcome::Answered;
        const Duration took = m_now - m_arrivals.at(finish->m_call);
        m_result.m_inTarget += answered && took <= kTarget ? 1 : 0;
        m_result.m_answered += answered ? 1 : 0;
        Digest(finish->m_call, answered ? 3 : 4);
        if (const auto found = m_workspaceOf.find(finish->m_call);
            found != m_workspaceOf.end()) {
          ReplayWorkspaceResult& result = m_result.m_workspaces[found->second];
          result.m_answered += answered ? 1 : 0;
          result.m_inTarget += answered && took <= kTarget ? 1 : 0;
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
    RunActions out;
    const Admission admission =
      worker.m_table.Admit(m_now,
                           key,
                           1,
                           { .m_priority = 2,
                             .m_kind = kTarget,
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
    aAnswer.m_slots = kSlots;
    aAnswer.m_statement.m_rateLimit = worker.Limiter().Limit();
    aAnswer.m_serviceTime =
      duration_cast<microseconds>(worker.ServiceTime(m_now, kTarget));
    aAnswer.m_wait =
      duration_cast<microseconds>(worker.ExpectedWaitOfKind(m_now, 2, kTarget));
    Schedule(kHop, [this, aKey, answer = std::move(aAnswer)] {
      const std::size_t caller = aKey.m_process - 1;
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
  std::mt19937_64 m_random{ 7 };
  TimePoint m_now{ 1h };
  std::vector<std::unique_ptr<Dispatcher>> m_callers{};
  std::vector<std::size_t> m_firstCaller{};
  std::vector<std::unique_ptr<Worker>> m_workers{};
  std::multimap<TimePoint, std::function<void()>> m_events{};
  std::map<std::uint64_t, TimePoint> m_arrivals{};
  std::map<CallKey, std::size_t> m_workerOf{};
  std::map<CallKey, std::uint64_t> m_callOf{};
  std::map<std::uint64_t, std::size_t> m_workspaceOf{};
};

}
