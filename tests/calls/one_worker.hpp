#pragma once

#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/core/random.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace greengagehub::test {

/// \brief Calls of one kind that arrive at a fixed interval.
struct CallStream
{
  CallKind m_kind{};
  std::uint32_t m_priority{ 0 };
  std::chrono::microseconds m_interval{ 0 };
  std::chrono::milliseconds m_service{ 0 };
  std::chrono::milliseconds m_target{ 0 };
  std::chrono::milliseconds m_deadline{ 0 };
};

struct StreamResult
{
  int m_arrived{ 0 };
  int m_onTime{ 0 };
  int m_late{ 0 };
  int m_refused{ 0 };
  Duration m_longestRefusal{ 0 };

  [[nodiscard]] double RefusedShare() const
  {
    return static_cast<double>(m_refused) / m_arrived;
  }
  [[nodiscard]] double OnTimeShare() const
  {
    return static_cast<double>(m_onTime) / m_arrived;
  }
};

/// \brief Simulates one worker's run table under streams of calls.
class SimulatedWorker
{
public:
  explicit SimulatedWorker(std::uint32_t aSlots)
    : m_table({ .m_slots = aSlots, .m_queue = 4 * aSlots })
  {
  }

  [[nodiscard]] RunTable& Table() noexcept { return m_table; }
  [[nodiscard]] TimePoint Now() const noexcept { return m_now; }

  /// \returns One entry for each stream.
  std::vector<StreamResult> Run(const std::vector<CallStream>& aStreams,
                                Duration aDuration)
  {
    std::vector<StreamResult> results(aStreams.size());
    std::vector<TimePoint> next(aStreams.size(), m_now);
    const TimePoint end = m_now + aDuration;
    for (;;) {
      const auto first = std::min_element(next.begin(), next.end());
      if (*first >= end) {
        break;
      }
      const auto index = static_cast<std::size_t>(first - next.begin());
      RunTo(*first, results);
      *first += aStreams[index].m_interval;
      SendCall(aStreams[index], index, results);
    }
    RunTo(end + std::chrono::seconds{ 10 }, results);
    return results;
  }

private:
  struct PendingCall
  {
    std::size_t m_stream{ 0 };
    TimePoint m_arrived;
    std::chrono::milliseconds m_service{ 0 };
    std::chrono::milliseconds m_target{ 0 };
  };

  void SendCall(const CallStream& aStream,
                std::size_t aIndex,
                std::vector<StreamResult>& aResults)
  {
    const CallKey key{ 1, ++m_lastCall };
    m_pending[key] = { aIndex, m_now, aStream.m_service, aStream.m_target };
    ++aResults[aIndex].m_arrived;
    RunActions out;
    const Admission admission =
      m_table.Admit(m_now,
                    key,
                    1,
                    { .m_priority = aStream.m_priority,
                      .m_kind = aStream.m_kind,
                      .m_timeLeft = aStream.m_deadline,
                      .m_targetLeft = aStream.m_target },
                    out);
    if (admission.m_kind == Admission::Kind::Start) {
      Start(key);
    } else if (admission.m_kind == Admission::Kind::Refused) {
      Refuse(key, aResults);
    }
    Apply(out, aResults);
  }

  void Start(const CallKey& aKey)
  {
    // Varies between 0.5 and 1.5 of the mean, so that runs don't end in step.
    const auto mean = static_cast<std::uint64_t>(
      std::chrono::microseconds{ m_pending.at(aKey).m_service }.count());
    const auto serviceTime = mean / 2 + Below(m_random, mean);
    m_ends.emplace(m_now + std::chrono::microseconds{ serviceTime }, aKey);
  }

  void Refuse(const CallKey& aKey, std::vector<StreamResult>& aResults)
  {
    const PendingCall call = m_pending.at(aKey);
    StreamResult& result = aResults[call.m_stream];
    ++result.m_refused;
    result.m_longestRefusal =
      std::max<Duration>(result.m_longestRefusal, m_now - call.m_arrived);
    m_pending.erase(aKey);
  }

  void Apply(const RunActions& aActions, std::vector<StreamResult>& aResults)
  {
    for (const RefusedRun& each : aActions.m_refused) {
      Refuse(each.m_key, aResults);
    }
    for (const CallKey& each : aActions.m_start) {
      Start(each);
    }
  }

  void FinishNext(std::vector<StreamResult>& aResults)
  {
    const CallKey key = m_ends.begin()->second;
    m_ends.erase(m_ends.begin());
    const PendingCall call = m_pending.at(key);
    m_pending.erase(key);
    StreamResult& result = aResults[call.m_stream];
    ++(m_now - call.m_arrived <= call.m_target ? result.m_onTime
                                               : result.m_late);
    Apply(m_table.Finish(m_now, key), aResults);
  }

  /// Processes ends of runs, expiries of waits and delayed starts up to
  /// `aUntil`.
  void RunTo(TimePoint aUntil, std::vector<StreamResult>& aResults)
  {
    for (;;) {
      const TimePoint nextEnd =
        m_ends.empty() ? TimePoint::max() : m_ends.begin()->first;
      const TimePoint nextExpiry =
        m_table.NextWakeUp(m_now).value_or(TimePoint::max());
      if (std::min(nextEnd, nextExpiry) > aUntil) {
        break;
      }
      m_now = std::max(m_now, std::min(nextEnd, nextExpiry));
      if (nextEnd <= nextExpiry) {
        FinishNext(aResults);
      } else {
        Apply(m_table.OnTick(m_now), aResults);
      }
    }
    m_now = aUntil;
  }

  RunTable m_table;
  Random m_random{ 1 };
  TimePoint m_now{ std::chrono::hours{ 1 } };
  std::uint64_t m_lastCall{ 0 };
  std::map<CallKey, PendingCall> m_pending;
  std::multimap<TimePoint, CallKey> m_ends;
};

}
