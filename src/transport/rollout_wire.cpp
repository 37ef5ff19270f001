#include "rollout_wire.hpp"

#include <algorithm>

namespace greengagehub {

namespace {

constexpr std::uint32_t kLastRolloutState =
  static_cast<std::uint32_t>(RolloutState::Completed);
constexpr std::uint32_t kLastRollbackCause =
  static_cast<std::uint32_t>(RollbackCause::Replaced);

void
ToWire(const RouteCounts& aCounts, wire::RouteCounts& aOut)
{
  aOut.set_route(aCounts.m_route);
  aOut.set_runs(aCounts.m_runs);
  aOut.set_failed(aCounts.m_failed);
  aOut.set_lost(aCounts.m_lost);
  const auto isUsed = [](std::uint32_t aCount) { return aCount > 0; };
  const auto first = std::ranges::find_if(aCounts.m_times, isUsed);
  const auto last =
    std::find_if(aCounts.m_times.rbegin(), aCounts.m_times.rend(), isUsed)
      .base();
  aOut.set_first_bucket(
    static_cast<std::uint32_t>(first - aCounts.m_times.begin()));
  for (auto each = first; each < last; ++each) {
    aOut.add_times(*each);
  }
}

Outcome<RouteCounts>
FromWire(const wire::RouteCounts& aWire)
{
  RouteCounts counts;
  counts.m_route = aWire.route();
  counts.m_runs = aWire.runs();
  counts.m_failed = aWire.failed();
  counts.m_lost = aWire.lost();
  const std::size_t first = aWire.first_bucket();
  const auto count = static_cast<std::size_t>(aWire.times_size());
  if (first > RunTimeHistogram::kBuckets ||
      count > RunTimeHistogram::kBuckets - first) {
    return Malformed("route counts: times exceed the last bucket");
  }
  for (std::size_t i = 0; i < count; ++i) {
    counts.m_times.at(first + i) = aWire.times(static_cast<int>(i));
  }
  return counts;
}

}

void
ToWire(const RolloutRecord& aRecord, wire::Rollout& aOut)
{
  aOut.set_service(aRecord.m_order.m_service);
  aOut.set_target(aRecord.m_order.m_target);
  aOut.set_duration_ms(ToMs(aRecord.m_order.m_duration));
  aOut.set_generation(aRecord.m_generation);
  aOut.set_base(aRecord.m_base);
  aOut.set_state(static_cast<std::uint32_t>(aRecord.m_state));
  aOut.set_is_written(aRecord.m_isWritten);
  aOut.set_cause(static_cast<std::uint32_t>(aRecord.m_cause));
  aOut.set_step(aRecord.m_step);
  aOut.set_permille(aRecord.m_permit.m_permille);
  aOut.set_workers(aRecord.m_permit.m_workers);
  aOut.set_runs(aRecord.m_evidence.m_runs);
  aOut.set_harmed(aRecord.m_evidence.m_badRuns);
  aOut.set_harmed_expected(aRecord.m_evidence.m_expected);
  aOut.set_first_worker(aRecord.m_permit.m_first);
  aOut.set_leave_left_ms(ToMs(aRecord.m_permit.m_remainingTime));
  aOut.set_age_ms(ToMs(aRecord.m_age));
}

Outcome<RolloutRecord>
FromWire(const wire::Rollout& aWire)
{
  const bool isValid = aWire.state() <= kLastRolloutState &&
                       aWire.cause() <= kLastRollbackCause &&
                       aWire.generation() > 0 && !aWire.service().empty() &&
                       !aWire.target().empty();
  if (!isValid) {
    return Malformed("roll-out: empty or out-of-range field");
  }
  RolloutRecord record;
  record.m_order = { aWire.service(),
                     aWire.target(),
                     std::chrono::milliseconds{ aWire.duration_ms() } };
  record.m_generation = aWire.generation();
  record.m_base = aWire.base();
  record.m_state = static_cast<RolloutState>(aWire.state());
  record.m_isWritten = aWire.is_written();
  record.m_cause = static_cast<RollbackCause>(aWire.cause());
  record.m_evidence = { aWire.runs(), aWire.harmed(), aWire.harmed_expected() };
  record.m_step = aWire.step();
  record.m_permit = { aWire.permille(),
                      aWire.workers(),
                      aWire.first_worker(),
                      FromMs(aWire.leave_left_ms()) };
  record.m_age = FromMs(aWire.age_ms());
  return record;
}

void
ToWire(const WorkerCounts& aCounts, wire::WorkerCounts& aOut)
{
  aOut.set_service(aCounts.m_service);
  aOut.set_version(aCounts.m_version);
  aOut.set_process(aCounts.m_process);
  aOut.set_at_work(aCounts.m_pendingCalls);
  aOut.set_arrived(aCounts.m_arrived);
  for (const RouteCounts& each : aCounts.m_routes) {
    ToWire(each, *aOut.add_routes());
  }
}

Outcome<WorkerCounts>
FromWire(const wire::WorkerCounts& aWire)
{
  WorkerCounts counts;
  for (const wire::RouteCounts& each : aWire.routes()) {
    auto route = FromWire(each);
    if (!route) {
      return route.error();
    }
    counts.m_routes.push_back(route.value());
  }
  counts.m_service = aWire.service();
  counts.m_version = aWire.version();
  counts.m_process = aWire.process();
  counts.m_pendingCalls = aWire.at_work();
  counts.m_arrived = aWire.arrived();
  return counts;
}

}
