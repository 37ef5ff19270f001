#pragma once

#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/core/random.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace greengagehub::test {

/// \brief Calls of one kind that come evenly spaced.
struct Stream
{
  CallKind m_kind{};
  std::uint32_t m_priority{ 0 };
  std::chrono::microseconds m_every{ 0 };
  std::chrono::milliseconds m_service{ 0 };
  std::chrono::milliseconds m_target{ 0 };
  std::chrono::milliseconds m_deadline{ 0 };
};

/// \brief What became of one stream's calls.
struct Served
{
  int m_came{ 0 };
  int m_inTarget{ 0 };
  int m_late{ 0 };
  int m_refused{ 0 };
  Duration m_longestRefusal{ 0 };

  [[nodiscard]] double Refused() const
  {
    return static_cast<double>(m_refused) / m_came;
  }
  [[nodiscard]] double InTarget() const
  {
    return static_cast<double>(m_inTarget) / m_came;
  }
};

/// \brief One worker's run table under streams of calls, in virtual time.
class OneWorker
{
public:
  explicit OneWorker(std::uint32_t aSlots)
    : m_table({ .m_slots = aSlots, .m_queue = 4 * aSlots })
  {
  }

  [[nodiscard]] RunTable& Table() noexcept { return m_table; }
  [[nodiscard]] TimePoint Now() const noexcept { return m_now; }

  /// \brief Plays the streams for a while. \returns A row for each.
  std::vector<Served> Play(const std::vector<Stream>& aStreams, Duration aFor)
  {
    std::vector<Served> served(aStreams.size());
    std::vector<TimePoint> next(aStreams.size(), m_now);
    const TimePoint end = m_now + aFor;
    for (;;) {
      const auto first = std::min_element(next.begin(), next.end());
      if (*first >= end) {
        break;
      }
      const auto index = static_cast<std::size_t>(first - next.begin());
      RunTo(*first, served);
      *first += aStreams[index].m_every;
      Offer(aStreams[index], index, served);
    }
    RunTo(end + std::chrono::seconds{ 10 }, served);
    return served;
  }

private:
  struct Under
  {
    std::size_t m_stream{ 0 };
    TimePoint m_came;
    std::chrono::milliseconds m_service{ 0 };
    std::chrono::milliseconds m_target{ 0 };
  };

  void Offer(const Stream& aStream,
             std::size_t aIndex,
             std::vector<Served>& aServed)
  {
    const CallKey key{ 1, ++m_last };
    m_under[key] = { aIndex, m_now, aStream.m_service, aStream.m_target };
    ++aServed[aIndex].m_came;
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
      Refuse(key, aServed);
    }
    Carry(out, aServed);
  }

  void Start(const CallKey& aKey)
  {
    // Half to one and a half of the mean, or all slots end at once.
    const auto mean = static_cast<std::uint64_t>(
      std::chrono::microseconds{ m_under.at(aKey).m_service }.count());
    const auto took = mean / 2 + Below(m_random, mean);
    m_ends.emplace(m_now + std::chrono::microseconds{ took }, aKey);
  }

  void Refuse(const CallKey& aKey, std::vector<Served>& aServed)
  {
    const Under call = m_under.at(aKey);
    Served& row = aServed[call.m_stream];
    ++row.m_refused;
    row.m_longestRefusal =
      std::max<Duration>(row.m_longestRefusal, m_now - call.m_came);
    m_under.erase(aKey);
  }

  void Carry(const RunActions& aActions, std::vector<Served>& aServed)
  {
    for (const RefusedRun& each : aActions.m_refused) {
      Refuse(each.m_key, aServed);
    }
    for (const CallKey& each : aActions.m_start) {
      Start(each);
    }
  }

  void EndNext(std::vector<Served>& aServed)
  {
    const CallKey key = m_ends.begin()->second;
    m_ends.erase(m_ends.begin());
    const Under call = m_under.at(key);
    m_under.erase(key);
    Served& row = aServed[call.m_stream];
    ++(m_now - call.m_came <= call.m_target ? row.m_inTarget : row.m_late);
    Carry(m_table.Finish(m_now, key), aServed);
  }

  /// Runs that end and waits that expire until then.
  void RunTo(TimePoint aUntil, std::vector<Served>& aServed)
  {
    for (;;) {
      const TimePoint ends =
        m_ends.empty() ? TimePoint::max() : m_ends.begin()->first;
      const TimePoint expires = m_table.NextExpiry().value_or(TimePoint::max());
      if (std::min(ends, expires) > aUntil) {
        break;
      }
      m_now = std::max(m_now, std::min(ends, expires));
      if (ends <= expires) {
        EndNext(aServed);
      } else {
        Carry(m_table.OnTick(m_now), aServed);
      }
    }
    m_now = aUntil;
  }

  RunTable m_table;
  Random m_random{ 1 };
  TimePoint m_now{ std::chrono::hours{ 1 } };
  std::uint64_t m_last{ 0 };
  std::map<CallKey, Under> m_under;
  std::multimap<TimePoint, CallKey> m_ends;
};

}
