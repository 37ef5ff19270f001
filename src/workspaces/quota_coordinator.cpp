#include "greengagehub/workspaces/quota_coordinator.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

/// A daemon without demands for this long gets no share of the reserve.
constexpr std::chrono::seconds kRateLifetime{ 10 };
/// Bounds of the delay before the next demand after a partial grant.
constexpr std::chrono::milliseconds kMinRetryAfter{ 100 };
constexpr std::chrono::milliseconds kMaxRetryAfter{ 500 };
/// Lower bound of a daemon's rate, in requests per second.
constexpr double kMinRate = 0.02;
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
  const double rate = std::max(kMinRate, aDemand.m_milliRate / kMilliPerUnit);
  aBucket.m_totalRate += rate - daemonRate.m_rate;
  daemonRate = { rate, aNow };
}

QuotaGrant
QuotaCoordinator::Grant(TimePoint aNow,
                        std::uint64_t aSlot,
                        const QuotaDemand& aDemand,
                        const QuotaAllocation& aAllocation)
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
    const auto refill = std::chrono::milliseconds{ std::lround(
      kMilliPerUnit * (wanted - granted) /
      std::max(aAllocation.m_rate, kMinRate)) };
    grant.m_retryAfter = std::clamp<std::chrono::milliseconds>(
      refill, kMinRetryAfter, kMaxRetryAfter);
  }
  const double reserveShare =
    bucket.m_daemonRates[aSlot].m_rate / std::max(bucket.m_totalRate, kMinRate);
  grant.m_milliReserve = static_cast<std::uint32_t>(
    kMilliPerUnit * aAllocation.m_reserve * std::min(1.0, reserveShare));
  return grant;
}

std::vector<QuotaGrant>
QuotaCoordinator::OnDemands(TimePoint aNow,
                            std::string_view aSlot,
                            const std::vector<QuotaDemand>& aDemands,
                            const WorkspaceTable& aTable)
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
    grants.push_back(Grant(
      aNow,
      slot,
      each,
      AllocateQuota(m_tolerance, workspace->m_perSecond, workspace->m_burst)));
  }
  return grants;
}

}
