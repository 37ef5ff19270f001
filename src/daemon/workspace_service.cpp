#include "greengagehub/daemon/workspace_service.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

namespace greengagehub {

namespace {

/// Subtracted from the bound: the time that a request takes from its caller to
/// this daemon.
constexpr std::chrono::milliseconds kProofMargin{ 200 };
constexpr std::chrono::milliseconds kStaleKeysRetryAfter{ 1000 };

std::chrono::milliseconds
ProofBound(const Settings& aSettings)
{
  const auto bound = aSettings.m_workspaces.m_maxRevokeDelay;
  return bound > 2 * kProofMargin ? bound - kProofMargin : bound;
}

}

WorkspaceService::WorkspaceService(Dependencies aDependencies,
                                   std::uint64_t aProcess,
                                   std::uint64_t aSeed)
  : m_deps(std::move(aDependencies))
  , m_random(aSeed)
  , m_freshness(ProofBound(m_deps.m_settings))
  , m_quota(QuotaDependencies(), aProcess, m_random())
{
}

QuotaService::Dependencies
WorkspaceService::QuotaDependencies()
{
  return { .m_loop = m_deps.m_loop,
           .m_settings = m_deps.m_settings,
           .m_log = m_deps.m_log,
           .m_store = m_deps.m_store,
           .m_table = m_table,
           .m_members = m_deps.m_members,
           .m_knowsPeers = m_deps.m_knowsPeers,
           .m_hasPeerContact = m_deps.m_hasPeerContact,
           .m_send = m_deps.m_send,
           .m_addProof = [this](QuotaReport& aReport) { AddProof(aReport); },
           .m_onAnswer =
             [this](TimePoint aQueriedAt, const QuotaReport& aReport) {
               if (aReport.m_proofAge) {
                 m_freshness.OnProof({ aQueriedAt - *aReport.m_proofAge,
                                       aReport.m_config.m_version });
                 m_reportedConfig = aReport.m_config;
               }
             },
           .m_check =
             [this](CoordinatorRoles::Check aRoles) {
               SendStoreCheck(std::move(aRoles));
             } };
}

void
WorkspaceService::AddProof(QuotaReport& aReport) const
{
  aReport.m_proofAge = ProofAge();
  aReport.m_config.m_version = m_deps.m_holder.GetVersion();
  const StoredConfig known = KnownConfig();
  if (known.m_version == aReport.m_config.m_version) {
    aReport.m_config = known;
  }
}

WorkspaceAdmission
WorkspaceService::Admit(std::string_view aKey, bool aIsNew, bool aIsLate)
{
  const TimePoint now = BootNow();
  if (!m_freshness.IsFresh(now)) {
    return { .m_refusal = RefusalReason::KeysNotCurrent,
             .m_retryAfter = kStaleKeysRetryAfter };
  }
  const WorkspaceRow* workspace =
    aKey.empty() ? nullptr : m_table.FindByKey(aKey);
  if (workspace == nullptr) {
    return { .m_refusal = RefusalReason::UnknownKey };
  }
  if (workspace->m_perSecond <= 0.0) {
    return { .m_workspace = workspace };
  }
  const QuotaDecision decision =
    m_quota.TryAdmit(now, workspace->m_id, aIsNew, aIsLate);
  switch (decision.m_kind) {
    case QuotaDecision::Kind::Admitted:
      break;
    case QuotaDecision::Kind::Waiting:
      return { .m_waits = true,
               .m_refusalAfterWait = decision.m_isForRefill
                                       ? RefusalReason::OverQuota
                                       : RefusalReason::NoCoordinator,
               .m_workspace = workspace };
    case QuotaDecision::Kind::OverQuota:
      return { .m_refusal = RefusalReason::OverQuota,
               .m_retryAfter = decision.m_retryAfter,
               .m_workspace = workspace };
    case QuotaDecision::Kind::NoCoordinator:
      return { .m_refusal = RefusalReason::NoCoordinator,
               .m_retryAfter = decision.m_retryAfter,
               .m_workspace = workspace };
  }
  return { .m_workspace = workspace, .m_receipt = decision.m_receipt };
}

void
WorkspaceService::OnVersion()
{
  const auto& active = m_deps.m_holder.Active();
  for (const WorkspaceId each : m_table.Update(active->m_content)) {
    m_quota.OnLimitLowered(each);
  }
  m_freshness.OnVersion(active->m_version);
}

void
WorkspaceService::OnTick()
{
  const TimePoint now = BootNow();
  if (!m_table.RequiresKey()) {
    m_quota.OnIdle(now);
    return;
  }
  CheckStoreIfStale(now);
  m_quota.OnTick(now);
}

void
WorkspaceService::OnStoreRestored()
{
  m_reportedConfig = {};
  m_quota.OnStoreRestored();
}

}
