#include "greengagehub/workspaces/quota_coordinator.hpp"

#include "greengagehub/core/digest.hpp"

#include <algorithm>
#include <cmath>

namespace greengagehub {

namespace {

/// A daemon that has not asked for this long has no part in the reserve.
constexpr std::chrono::seconds kShareLife{ 10 };
/// Pause of a daemon that was granted less than it wanted.
constexpr std::chrono::milliseconds kLeastRetry{ 100 };
constexpr std::chrono::milliseconds kMostRetry{ 500 };
/// Rate that stands for a daemon whose first request has just come.
constexpr double kLeastRate = 0.02;
constexpr double kMilli = 1000.0;

}

void
QuotaCoordinator::Start(TimePoint aNow)
{
  m_pools.clear();
  m_started = aNow;
}

QuotaCoordinator::Pool&
QuotaCoordinator::PoolOf(WorkspaceId aWorkspace)
{
  const auto [found, isNew] = m_pools.try_emplace(aWorkspace);
  if (isNew) {
    found->second.m_refilledAt = m_started;
  }
  return found->second;
}

void
QuotaCoordinator::Refill(TimePoint aNow, Pool& aPool, const QuotaTerms& aTerms)
{
  const std::chrono::duration<double> since = aNow - aPool.m_refilledAt;
  aPool.m_refilledAt = aNow;
  aPool.m_tokens =
    std::min(aTerms.m_depth,
             aPool.m_tokens + aTerms.m_rate * std::max(0.0, since.count()));
}

void
QuotaCoordinator::ForgetSilent(TimePoint aNow, Pool& aPool)
{
  std::erase_if(aPool.m_shares, [&](const auto& aEach) {
    const bool isSilent = aNow - aEach.second.m_heardAt > kShareLife;
    aPool.m_rateOfAll -= isSilent ? aEach.second.m_rate : 0.0;
    return isSilent;
  });
}

void
QuotaCoordinator::Note(TimePoint aNow,
                       std::uint64_t aSlot,
                       const QuotaDemand& aDemand,
                       Pool& aPool)
{
  const auto [found, isNew] = aPool.m_shares.try_emplace(aSlot);
  if (isNew) {
    // The number of shares is bounded by that of daemons lately heard.
    ForgetSilent(aNow, aPool);
  }
  Share& share = aPool.m_shares[aSlot];
  const double rate = std::max(kLeastRate, aDemand.m_milliRate / kMilli);
  aPool.m_rateOfAll += rate - share.m_rate;
  share = { rate, aNow };
}

QuotaGrant
QuotaCoordinator::Grant(TimePoint aNow,
                        std::uint64_t aSlot,
                        const QuotaDemand& aDemand,
                        const QuotaTerms& aTerms)
{
  Pool& pool = PoolOf(aDemand.m_workspace);
  Refill(aNow, pool, aTerms);
  Note(aNow, aSlot, aDemand, pool);
  const double whole = std::floor(std::max(0.0, pool.m_tokens));
  const double wanted = aDemand.m_wanted;
  const double granted = std::min(wanted, whole);
  pool.m_tokens -= granted;
  QuotaGrant grant{ .m_workspace = aDemand.m_workspace,
                    .m_tokens = static_cast<std::uint32_t>(granted) };
  if (granted < wanted) {
    const auto refill = std::chrono::milliseconds{ std::lround(
      kMilli * (wanted - granted) / std::max(aTerms.m_rate, kLeastRate)) };
    grant.m_retryAfter =
      std::clamp<std::chrono::milliseconds>(refill, kLeastRetry, kMostRetry);
  }
  const double share =
    pool.m_shares[aSlot].m_rate / std::max(pool.m_rateOfAll, kLeastRate);
  grant.m_milliReserve = static_cast<std::uint32_t>(kMilli * aTerms.m_reserve *
                                                    std::min(1.0, share));
  return grant;
}

std::vector<QuotaGrant>
QuotaCoordinator::OnDemands(TimePoint aNow,
                            std::string_view aSlot,
                            const std::vector<QuotaDemand>& aDemands,
                            const WorkspaceTable& aTable)
{
  const std::uint64_t slot = ShortHashOf(aSlot);
  std::vector<QuotaGrant> grants;
  for (const QuotaDemand& each : aDemands) {
    const WorkspaceRow* row = aTable.Find(each.m_workspace);
    if (row == nullptr || row->m_perSecond <= 0.0) {
      // Without a limit here, or not yet: as much as is wanted.
      grants.push_back({ .m_workspace = each.m_workspace,
                         .m_tokens = row != nullptr ? each.m_wanted : 0 });
      continue;
    }
    grants.push_back(Grant(
      aNow, slot, each, TermsOf(m_rules, row->m_perSecond, row->m_burst)));
  }
  return grants;
}

}
