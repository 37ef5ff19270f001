#pragma once

#include "replay.hpp"

namespace greengagehub::test {

inline void
Replay::BeginShared(std::uint64_t aId)
{
  RecordArrival(aId);
  m_sharedQueue.push_back(aId);
  ServeShared();
}

inline void
Replay::ServeShared()
{
  while (!m_sharedQueue.empty()) {
    Worker* fastest = nullptr;
    for (const auto& each : m_workers) {
      const bool isFree = each->m_running < m_setup.m_slots;
      if (isFree && (fastest == nullptr ||
                     MeanOf(*each, m_now) < MeanOf(*fastest, m_now))) {
        fastest = each.get();
      }
    }
    if (fastest == nullptr) {
      return;
    }
    const std::uint64_t id = m_sharedQueue.front();
    m_sharedQueue.pop_front();
    const Duration hops = 2 * m_setup.m_farHop;
    const TimePoint latest = m_arrivals.at(id) + m_setup.m_target - hops;
    if (m_now + MeanOf(*fastest, m_now) > latest && m_now > m_arrivals[id]) {
      continue;
    }
    ++fastest->m_running;
    Schedule(ServiceOf(*fastest), [this, fastest, id, hops] {
      --fastest->m_running;
      RecordLatency(id, m_now + hops - m_arrivals.at(id));
      ServeShared();
    });
  }
}

}
