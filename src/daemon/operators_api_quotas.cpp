#include "greengagehub/daemon/operators_api.hpp"

#include "operators_answers.hpp"

// Quotas as known to this daemon.

namespace greengagehub {

namespace {

/// Workspaces that are listed, the busiest first.
constexpr std::size_t kMaxListed = 50;

Json
ShardsOf(const QuotaService& aQuotas)
{
  Json shards = Json::array();
  for (const QuotaService::ShardStatus& each : aQuotas.Shards()) {
    Json shard{ { "coordinator", each.m_coordinator },
                { "silent", each.m_isSilent },
                { "own", each.m_isOwn } };
    if (each.m_isOwn) {
      shard["queriers"] = each.m_queriers;
    }
    shards.push_back(std::move(shard));
  }
  return shards;
}

Json
WorkspacesOf(const WorkspaceService& aWorkspaces)
{
  Json all = Json::array();
  const TimePoint now = BootNow();
  for (const WorkspaceQuotaStatus& each :
       aWorkspaces.Quotas().Client().Status(now)) {
    const WorkspaceRow* row = aWorkspaces.Table().Find(each.m_workspace);
    if (row == nullptr || all.size() >= kMaxListed) {
      continue;
    }
    all.push_back(Json{ { "workspace", row->m_name },
                        { "limit_per_second", row->m_perSecond },
                        { "per_second", each.m_rate },
                        { "tokens", each.m_tokens },
                        { "waiting", each.m_waiting },
                        { "reserve", each.m_reserve },
                        { "over_quota_ms", each.m_overQuotaFor.count() } });
  }
  return all;
}

}

HttpResponse
OperatorsApi::Quotas() const
{
  const WorkspaceService& workspaces = m_deps.m_control.GetWorkspaces();
  return JsonResponse(200,
                      Dump(Json{ { "shards", ShardsOf(workspaces.Quotas()) },
                                 { "workspaces", WorkspacesOf(workspaces) } }));
}

void
OperatorsApi::SetQuotaMetrics(Metrics& aMetrics) const
{
  const QuotaService& quotas = m_deps.m_control.GetWorkspaces().Quotas();
  const QuotaService::Counts counts = quotas.Totals();
  const auto set =
    [&](std::string_view aName, std::string_view aHelp, std::uint64_t aValue) {
      aMetrics.SetGauge(aName, aHelp, static_cast<double>(aValue));
    };
  set("quota_tokens_granted",
      "Quota tokens that this daemon granted since start",
      counts.m_granted);
  set("quota_admitted",
      "Requests admitted within a quota since start",
      counts.m_admitted);
  set("quota_reserve_used",
      "Requests admitted from the reserve since start",
      counts.m_fromReserve);
  set("quota_refill_waits",
      "Requests that all shards had denied at arrival and that waited for a "
      "refill",
      counts.m_awaitedRefill);
  set("quota_refused_over_quota",
      "Requests refused since start, as no shard had tokens",
      counts.m_overQuota);
  set("quota_refused_no_coordinator",
      "Requests refused since start, as no shard answered",
      counts.m_noCoordinator);
  set("quota_returned",
      "Tokens and uses of the reserve returned since start, as nothing ran",
      counts.m_returned);
  set("quota_shards_silent",
      "Quota shards that do not answer this daemon",
      quotas.Client().CountSilentShards(BootNow()));
  set("quota_shards_held",
      "Quota shards that this daemon coordinates",
      quotas.CountHeld());
}

}
