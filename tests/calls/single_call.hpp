#pragma once

#include "greengagehub/calls/dispatcher.hpp"

#include <optional>

namespace greengagehub::test {

using namespace std::chrono_literals;

inline const TimePoint kStart{ 1h };

/// A dispatcher with two workers and one call in flight.
class SingleCall
{
public:
  explicit SingleCall(bool aIdempotent)
  {
    for (const char* slot : { "a", "b" }) {
      WorkerRow row;
      row.m_slot = slot;
      row.m_service = "locker-app";
      m_dispatcher.Workers().Put(std::move(row));
    }
    CallPlan plan;
    plan.m_service = "locker-app";
    plan.m_idempotent = aIdempotent;
    plan.m_deadline = kStart + 1s;
    Apply(m_dispatcher.Begin(kStart, 1, std::move(plan)));
    m_dispatcher.RecordProcess(m_attempt, kProcess);
  }

  static constexpr std::uint64_t kProcess = 77;

  void Apply(const DispatchActions& aActions)
  {
    for (const DispatchAction& each : aActions) {
      if (const auto* send = std::get_if<SendAttempt>(&each)) {
        ++m_sends;
        m_attempt = send->m_attempt;
        m_slot = send->m_slot;
      } else if (std::get_if<SendCancel>(&each) != nullptr) {
        ++m_cancels;
      } else {
        m_final = std::get<FinishCall>(each).m_answer;
      }
    }
  }

  Dispatcher m_dispatcher{ 1 };
  int m_sends{ 0 };
  int m_cancels{ 0 };
  std::uint64_t m_attempt{ 0 };
  std::string m_slot;
  std::optional<CallAnswer> m_final;
};

}
