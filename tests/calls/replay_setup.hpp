#pragma once

#include "greengagehub/calls/call_share.hpp"
#include "greengagehub/calls/decision_settings.hpp"
#include "greengagehub/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

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

/// \brief Workers of unequal and varying speed.
struct UnequalWorkers
{
  Duration m_mean{ 240ms };
  /// Factors of the mean speed, spread evenly over the workers.
  double m_slowest{ 0.5 };
  double m_fastest{ 1.7 };
  /// One worker in four is slower by this factor for a fifth of the time.
  double m_burst{ 2.5 };
  Duration m_burstPeriod{ 10s };
  /// Time over which the workers reach their speed, starting at half of it.
  Duration m_coldTime{ 3s };
};

enum class ReplayQueueing
{
  /// Dispatchers and run tables.
  Product,
  /// One queue that knows all free slots and speeds, at no cost.
  Shared,
};

struct ReplaySetup
{
  std::vector<ReplayDomain> m_domains{ {} };
  DecisionSettings m_decisions{};
  ReplayQueueing m_queueing{ ReplayQueueing::Product };
  std::optional<UnequalWorkers> m_unequal{};
  std::uint32_t m_slots{ 6 };
  std::chrono::milliseconds m_target{ 400 };
  /// Standard deviation of the logarithm of a service time.
  double m_spread{ 0.47 };
  Duration m_hop{ std::chrono::microseconds{ 200 } };
  /// Between failure domains.
  Duration m_farHop{ std::chrono::microseconds{ 200 } };
  /// Time in which a daemon sends or receives a message; one at a time.
  Duration m_messageTime{ 0 };
  /// Cost of a crossing as a fraction of a call's value.
  double m_crossingCost{ 0.0 };
  Duration m_span{ 20s };
  /// Calls that arrive earlier don't count as late or in time.
  Duration m_countFrom{ 0 };
  std::uint64_t m_seed{ 7 };
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
  std::size_t m_counted{ 0 };
  std::size_t m_inTarget{ 0 };
  std::size_t m_crossed{ 0 };
  std::size_t m_sends{ 0 };
  std::size_t m_answered{ 0 };
  /// Runs at workers that state a limit.
  std::size_t m_limitedRuns{ 0 };
  std::vector<ReplayWorkspaceResult> m_workspaces{};
  /// Starts, refusals and answers in their order.
  std::uint64_t m_digest{ 0 };
  /// Frames between daemons.
  std::size_t m_messages{ 0 };
  std::vector<Duration> m_latencies{};

  [[nodiscard]] double Messages() const { return Share(m_messages); }
  [[nodiscard]] Duration LatencyAt(double aShare) const
  {
    std::vector<Duration> sorted = m_latencies;
    std::ranges::sort(sorted);
    return sorted.empty() ? Duration{ 0 }
                          : sorted[static_cast<std::size_t>(
                              aShare * static_cast<double>(sorted.size() - 1))];
  }
  [[nodiscard]] double Missed() const
  {
    return 1.0 -
           static_cast<double>(m_inTarget) / static_cast<double>(m_counted);
  }
  [[nodiscard]] double Crossed() const { return Share(m_crossed); }
  [[nodiscard]] double Sends() const { return Share(m_sends); }

private:
  [[nodiscard]] double Share(std::size_t aCount) const
  {
    return static_cast<double>(aCount) / static_cast<double>(m_calls);
  }
};

}
