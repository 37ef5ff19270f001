#pragma once

#include "greengagehub/core/random.hpp"
#include "greengagehub/quarantine/quarantine.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace greengagehub::test {

using namespace std::chrono_literals;

struct CrashScenario
{
  std::uint64_t m_seed{ 1 };
  int m_workers{ 9 };
  /// Requests per second that are each sent once.
  double m_uniquePerSecond{ 100.0 };
  /// Number of distinct requests that are sent repeatedly.
  int m_repeatedCount{ 20 };
  Duration m_repeatInterval{ 500ms };
  /// Interval of the crashing request; zero disables it.
  Duration m_crashingInterval{};
  /// Kills a share of the workers.
  struct Kill
  {
    Duration m_at;
    double m_share;
  };
  std::vector<Kill> m_kills{};
  Duration m_length{ 30s };
};

struct CrashResult
{
  int m_crashes{ 0 };
  /// Runs of the crashing request that started more than three seconds after
  /// its third crash.
  int m_lateRuns{ 0 };
  int m_otherRequests{ 0 };
  int m_othersQuarantined{ 0 };
  /// Fingerprints of repeated requests that were quarantined.
  std::set<Fingerprint> m_repeatedQuarantined{};
};

/// \brief Simulates a fleet in virtual time: workers with one quarantine each,
/// updates that arrive some milliseconds later, and clients that retry through
/// any daemon.
class CrashReplay
{
public:
  explicit CrashReplay(const CrashScenario& aScenario)
    : m_scenario(aScenario)
    , m_random(aScenario.m_seed)
    , m_workers(static_cast<std::size_t>(aScenario.m_workers))
  {
  }

  CrashResult Run()
  {
    ScheduleRepeated(
      kUniqueFirst, PerSecond(m_scenario.m_uniquePerSecond), true);
    for (int i = 0; i < m_scenario.m_repeatedCount; ++i) {
      ScheduleRepeated({ 1, static_cast<std::uint64_t>(i) },
                       m_scenario.m_repeatInterval,
                       false);
    }
    if (m_scenario.m_crashingInterval > Duration{}) {
      ScheduleRepeated(kCrashing, m_scenario.m_crashingInterval, false);
    }
    for (const CrashScenario::Kill& each : m_scenario.m_kills) {
      ScheduleAt(kStart + each.m_at, [this, each] { Kill(each.m_share); });
    }
    while (!m_events.empty() && m_events.begin()->first < kStart + kTotalTime) {
      const auto next = m_events.begin();
      m_now = next->first;
      const auto action = std::move(next->second);
      m_events.erase(next);
      action();
    }
    return m_result;
  }

private:
  struct Running
  {
    std::uint64_t m_id{ 0 };
    Fingerprint m_fingerprint{};
    TimePoint m_started{};
    int m_attempts{ 0 };
    int m_clientTries{ 0 };
    std::size_t m_caller{ 0 };
  };
  struct Worker
  {
    Quarantine m_quarantine;
    std::vector<Running> m_running;
    bool m_isUp{ true };
  };

  static constexpr Fingerprint kCrashing{ 2, 0 };
  static constexpr Fingerprint kUniqueFirst{ 3, 0 };
  static constexpr TimePoint kStart{ 1h };
  static constexpr Duration kTotalTime{ 60s };
  static constexpr int kMaxAttempts = 2;
  static constexpr int kMaxClientTries = 3;

  Duration RandomDuration(Duration aLow, Duration aHigh)
  {
    std::uniform_int_distribution<Duration::rep> even{ aLow.count(),
                                                       aHigh.count() };
    return Duration{ even(m_random) };
  }
  static Duration PerSecond(double aRate)
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>{ 1.0 / aRate });
  }
  void ScheduleAt(TimePoint aWhen, std::function<void()> aAction)
  {
    m_events.emplace(aWhen, std::move(aAction));
  }

  void ScheduleRepeated(Fingerprint aFingerprint,
                        Duration aInterval,
                        bool aIsUnique)
  {
    const Duration delay =
      RandomDuration(aInterval / 2, aInterval + aInterval / 2);
    ScheduleAt(m_now + delay, [this, aFingerprint, aInterval, aIsUnique] {
      Fingerprint fingerprint = aFingerprint;
      if (aIsUnique) {
        fingerprint.m_low = ++m_lastUnique;
      }
      SendFromClient({ .m_fingerprint = fingerprint });
      if (m_now < kStart + m_scenario.m_length) {
        ScheduleRepeated(aFingerprint, aInterval, aIsUnique);
      }
    });
  }

  void SendFromClient(Running aRun)
  {
    m_result.m_otherRequests += aRun.m_fingerprint == kCrashing ? 0 : 1;
    aRun.m_caller = Below(m_random, m_workers.size());
    aRun.m_attempts = 0;
    ++aRun.m_clientTries;
    Send(aRun);
  }

  void Send(Running aRun)
  {
    std::vector<std::size_t> available;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      if (m_workers[i].m_isUp) {
        available.push_back(i);
      }
    }
    if (m_workers[aRun.m_caller].m_quarantine.IsQuarantined(
          m_now, aRun.m_fingerprint)) {
      RecordQuarantined(aRun.m_fingerprint);
      return;
    }
    if (available.empty()) {
      RetryFromClient(aRun);
      return;
    }
    // Suspects always go to the same worker.
    const bool isSuspect =
      m_workers[aRun.m_caller].m_quarantine.IsSuspect(aRun.m_fingerprint);
    const std::size_t index = isSuspect
                                ? aRun.m_fingerprint.m_low % available.size()
                                : Below(m_random, available.size());
    Begin(available[index], aRun);
  }

  void RecordQuarantined(Fingerprint aFingerprint)
  {
    if (aFingerprint == kCrashing) {
      return;
    }
    ++m_result.m_othersQuarantined;
    if (aFingerprint.m_high == 1) {
      m_result.m_repeatedQuarantined.insert(aFingerprint);
    }
  }

  void RetryFromClient(Running aRun)
  {
    if (aRun.m_clientTries < kMaxClientTries) {
      ScheduleAt(m_now + RandomDuration(20ms, 300ms),
                 [this, aRun] { SendFromClient(aRun); });
    }
  }

  void Begin(std::size_t aWorker, Running aRun)
  {
    Worker& worker = m_workers[aWorker];
    if (worker.m_quarantine.IsQuarantined(m_now, aRun.m_fingerprint)) {
      RecordQuarantined(aRun.m_fingerprint);
      return;
    }
    const bool isRejected =
      worker.m_quarantine.IsSuspect(aRun.m_fingerprint) &&
      std::ranges::any_of(worker.m_running, [&](const Running& aOther) {
        return worker.m_quarantine.IsSuspect(aOther.m_fingerprint);
      });
    if (isRejected) {
      RetryFromClient(aRun);
      return;
    }
    aRun.m_id = ++m_lastRun;
    aRun.m_started = m_now;
    ++aRun.m_attempts;
    worker.m_running.push_back(aRun);
    const bool isCrashing = aRun.m_fingerprint == kCrashing;
    if (isCrashing && m_result.m_crashes >= 3 && m_now > m_thirdCrash + 3s) {
      ++m_result.m_lateRuns;
    }
    const Duration duration =
      isCrashing ? RandomDuration(40ms, 125ms) : RandomDuration(20ms, 250ms);
    ScheduleAt(m_now + duration, [this, aWorker, id = aRun.m_id, isCrashing] {
      Finish(aWorker, id, isCrashing);
    });
  }

  void Finish(std::size_t aWorker, std::uint64_t aRun, bool aIsCrashing)
  {
    Worker& worker = m_workers[aWorker];
    const auto found =
      std::ranges::find(worker.m_running, aRun, &Running::m_id);
    if (found == worker.m_running.end()) {
      return;
    }
    if (aIsCrashing) {
      if (++m_result.m_crashes == 3) {
        m_thirdCrash = m_now;
      }
      Crash(aWorker);
      return;
    }
    const Fingerprint fingerprint = found->m_fingerprint;
    worker.m_running.erase(found);
    Broadcast(aWorker, worker.m_quarantine.OnSuccess(m_now, fingerprint));
  }

  void Kill(double aShare)
  {
    const auto count =
      static_cast<std::size_t>(aShare * static_cast<double>(m_workers.size()));
    for (std::size_t i = 0; i < count; ++i) {
      // Daemons notice the crash at slightly different times.
      ScheduleAt(m_now + RandomDuration(0ms, 5ms), [this, i] { Crash(i); });
    }
  }

  void Crash(std::size_t aWorker)
  {
    Worker& worker = m_workers[aWorker];
    if (!worker.m_isUp) {
      return;
    }
    worker.m_isUp = false;
    const std::vector<Running> lost = std::exchange(worker.m_running, {});
    CrashReport report{ ++m_lastCrash, "w", "s", {}, {} };
    for (const Running& each : lost) {
      report.m_ran.push_back(
        { each.m_fingerprint, m_now - each.m_started, std::nullopt });
    }
    Broadcast(aWorker,
              worker.m_quarantine.OnLocalCrash(m_now, std::move(report)));
    ScheduleAt(m_now + RandomDuration(3s, 3500ms),
               [&worker] { worker.m_isUp = true; });
    for (const Running& each : lost) {
      ScheduleAt(m_now + RandomDuration(1ms, 5ms), [this, aWorker, each] {
        const bool isRetried =
          each.m_attempts < kMaxAttempts &&
          !m_workers[aWorker].m_quarantine.IsSuspect(each.m_fingerprint);
        if (isRetried) {
          Send(each);
        } else {
          RetryFromClient(each);
        }
      });
    }
  }

  void Broadcast(std::size_t aSender, const QuarantineChanges& aChanges)
  {
    if (aChanges.m_update.IsEmpty()) {
      return;
    }
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
      if (i != aSender) {
        ScheduleAt(m_now + RandomDuration(1ms, 20ms),
                   [this, i, update = aChanges.m_update] {
                     static_cast<void>(
                       m_workers[i].m_quarantine.OnUpdate(m_now, update));
                   });
      }
    }
  }

  CrashScenario m_scenario;
  Random m_random;
  std::vector<Worker> m_workers;
  std::multimap<TimePoint, std::function<void()>> m_events;
  TimePoint m_now{ kStart };
  TimePoint m_thirdCrash{};
  CrashResult m_result;
  std::uint64_t m_lastUnique{ 0 };
  std::uint64_t m_lastRun{ 0 };
  std::uint64_t m_lastCrash{ 0 };
};

}
