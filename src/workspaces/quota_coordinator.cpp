#include "greengagehub/workspaces/quota_coordinator.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace greengagehub {

namespace {

/// A daemon without demands for this long gets no share of the reserve.
constexpr std::chrono::seconds kRateLifetime{ 10 };
/// Bounds of the delay before the next demand after a partial grant.
constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 500 };
/// Lower bound of a daemon's rate, in requests per second.
constexpr double kMinRate = 0.02;
/// Weight of a new report in the average of a daemon's rate.
constexpr double kRateWeight = 0.2;
constexpr double kMilliPerUnit = 1000.0;

}

void
QuotaCoordinator::Start(TimePoint aNow)
{
  m_buckets.clear();
  m_startedAt = aNow;
}

QuotaCoordinator::TokenBucket&
QuotaCoordinator::BucketOf(WorkspaceId aWorkspace)
{
  const auto [found, isNew] = m_buckets.try_emplace(aWorkspace);
  if (isNew) {
    found->second.m_refilledAt = m_startedAt;
  }
  return found->second;
}

void
QuotaCoordinator::Refill(TimePoint aNow,
                         TokenBucket& aBucket,
                         const QuotaAllocation& aAllocation)
{
  const std::chrono::duration<double> elapsed = aNow - aBucket.m_refilledAt;
  aBucket.m_refilledAt = aNow;
  aBucket.m_tokens = std::min(
    aAllocation.m_capacity,
    aBucket.m_tokens + aAllocation.m_rate * std::max(0.0, elapsed.count()));
}

void
QuotaCoordinator::RemoveSilentDaemons(TimePoint aNow, TokenBucket& aBucket)
{
  std::erase_if(aBucket.m_daemonRates, [&](const auto& aEach) {
    const bool isSilent = aNow - aEach.second.m_reportedAt > kRateLifetime;
    aBucket.m_totalRate -= isSilent ? aEach.second.m_rate : 0.0;
    return isSilent;
  });
}

void
QuotaCoordinator::RecordRate(TimePoint aNow,
                             std::uint64_t aSlot,
                             const QuotaDemand& aDemand,
                             TokenBucket& aBucket)
{
  const auto [found, isNew] = aBucket.m_daemonRates.try_emplace(aSlot);
  if (isNew) {
    RemoveSilentDaemons(aNow, aBucket);
  }
  DaemonRate& daemonRate = aBucket.m_daemonRates[aSlot];
  const double reported =
    std::max(kMinRate, aDemand.m_milliRate / kMilliPerUnit);
  const double rate =
    isNew ? reported
          : daemonRate.m_rate + kRateWeight * (reported - daemonRate.m_rate);
  aBucket.m_totalRate += rate - daemonRate.m_rate;
  daemonRate = { rate, aNow };
}

QuotaGrant
QuotaCoordinator::Grant(TimePoint aNow,
                        std::uint64_t aSlot,
                        const QuotaDemand& aDemand,
                        const QuotaAllocation& aAllocation,
                        bool aGetsReserve)
{
  TokenBucket& bucket = BucketOf(aDemand.m_workspace);
  Refill(aNow, bucket, aAllocation);
  RecordRate(aNow, aSlot, aDemand, bucket);
  const double available = std::floor(std::max(0.0, bucket.m_tokens));
  const double wanted = aDemand.m_wanted;
  const double granted = std::min(wanted, available);
  bucket.m_tokens -= granted;
  QuotaGrant grant{ .m_workspace = aDemand.m_workspace,
                    .m_tokens = static_cast<std::uint32_t>(granted) };
  if (granted < wanted) {
    // A later demand would find a bucket that has overflowed. The bucket may
    // hold a part of the next token.
    const double missing =
      std::min(wanted - granted, std::max(1.0, aAllocation.m_capacity)) -
      std::max(0.0, bucket.m_tokens);
    const auto refill = std::chrono::milliseconds{ std::lround(
      kMilliPerUnit * missing / std::max(aAllocation.m_rate, kMinRate)) };
    grant.m_retryAfter = std::clamp<std::chrono::milliseconds>(
      refill, kMinRetryAfter, kMaxRetryAfter);
  }
  if (aGetsReserve) {
    grant.m_milliReserve = static_cast<std::uint32_t>(kMilliPerUnit) *
                           GrantReserve(aNow, aSlot, bucket, aAllocation);
  }
  m_granted += grant.m_tokens;
  return grant;
}

std::uint32_t
QuotaCoordinator::GrantReserve(TimePoint aNow,
                               std::uint64_t aSlot,
                               TokenBucket& aBucket,
                               const QuotaAllocation& aAllocation) const
{
  const auto bookedFor = kReserveLifetime + m_tolerance.m_window;
  if (aNow - m_startedAt < bookedFor) {
    return 0;
  }
  const double part = aBucket.m_daemonRates[aSlot].m_rate /
                      std::max(aBucket.m_totalRate, kMinRate);
  const double share = aAllocation.m_reserve * std::min(1.0, part);
  // Of daemons with equal shares below one request, always the same get one:
  // a share that moves is booked at two daemons.
  const double rounding = std::ldexp(
    static_cast<double>(aSlot), -std::numeric_limits<std::uint64_t>::digits);
  return aBucket.m_reserve.Grant(aNow,
                                 aSlot,
                                 static_cast<std::uint32_t>(share + rounding),
                                 aAllocation.m_reserve,
                                 bookedFor);
}

QuotaAllocation
QuotaCoordinator::AllocationOf(const WorkspaceRow& aWorkspace) const noexcept
{
  const std::uint32_t used = CountUsedShards(
    m_tolerance, aWorkspace.m_perSecond, aWorkspace.m_burst, m_shard.m_count);
  return m_shard.m_index < used ? AllocateQuota(m_tolerance,
                                                aWorkspace.m_perSecond,
                                                aWorkspace.m_burst,
                                                m_shard.m_count)
                                : QuotaAllocation{};
}

std::vector<QuotaGrant>
QuotaCoordinator::OnDemands(TimePoint aNow,
                            std::string_view aSlot,
                            const std::vector<QuotaDemand>& aDemands,
                            const WorkspaceTable& aTable,
                            bool aGetsReserve)
{
  const std::uint64_t slot = ShortHash(aSlot);
  std::vector<QuotaGrant> grants;
  for (const QuotaDemand& each : aDemands) {
    const WorkspaceRow* workspace = aTable.Find(each.m_workspace);
    if (workspace == nullptr || workspace->m_perSecond <= 0.0) {
      // Without a limit, all wanted tokens are granted; an unknown workspace
      // gets none.
      grants.push_back(
        { .m_workspace = each.m_workspace,
          .m_tokens = workspace != nullptr ? each.m_wanted : 0 });
      continue;
    }
    grants.push_back(
      Grant(aNow, slot, each, AllocationOf(*workspace), aGetsReserve));
  }
  return grants;
}

}
