#include "greengagehub/daemon/workspace_service.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

#include <tuple>

// Proofs that the configuration in force is the newest: checks of the store's
// revision, which also confirm the coordinator's role.

namespace greengagehub {

namespace {

/// A daemon checks the store itself once its proof is older than the bound
/// divided by this.
constexpr int kStaleDivisor = 3;
constexpr std::chrono::milliseconds kStoreCheckInterval{ 1000 };

}

std::optional<std::chrono::milliseconds>
WorkspaceService::ProofAge() const
{
  const auto provenAt = m_freshness.ProvenAt();
  if (!provenAt) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(BootNow() - *provenAt);
}

StoredConfig
WorkspaceService::KnownConfig() const
{
  const auto isNewer = [](const StoredConfig& aLeft,
                          const StoredConfig& aRight) {
    return std::tie(aLeft.m_version, aLeft.m_era, aLeft.m_revision) >
           std::tie(aRight.m_version, aRight.m_era, aRight.m_revision);
  };
  const StoredConfig read = m_deps.m_storeConfig();
  StoredConfig known =
    isNewer(m_reportedConfig, read) ? m_reportedConfig : read;
  if (known.m_era < m_storeEra) {
    known.m_revision = 0;
  }
  return known;
}

void
WorkspaceService::OnConfirmed(TimePoint aReadSentAt,
                              const StoredConfig& aConfig)
{
  m_freshness.OnProof({ aReadSentAt, aConfig.m_version });
}

void
WorkspaceService::CheckStoreIfStale(TimePoint aNow)
{
  const auto provenAt = m_freshness.ProvenAt();
  const auto bound = m_deps.m_settings.m_workspaces.m_maxRevokeDelay;
  const bool isStale = !provenAt || aNow - *provenAt > bound / kStaleDivisor;
  const bool isCheckDue =
    m_freshness.IsEnforced() && isStale && aNow >= m_nextStoreCheck;
  if (isCheckDue) {
    m_nextStoreCheck = aNow + Jittered(m_random, kStoreCheckInterval);
    SendStoreCheck(false);
  }
}

void
WorkspaceService::SendStoreCheck(bool aConfirmsRole)
{
  StoreCheck check{ BootNow(), KnownConfig(), {} };
  if (aConfirmsRole) {
    check.m_term = m_coordinatorRole.ExpectedRevision();
  }
  m_deps.m_store.Execute(MakeStoreCheck(m_deps.m_configKey, check),
                         [this, check](StoreReply aReply) {
                           OnStoreCheck(check, std::move(aReply));
                         });
}

void
WorkspaceService::OnStoreCheck(const StoreCheck& aCheck, StoreReply aReply)
{
  const StoreCheckResult result = InterpretStoreCheck(aCheck, aReply);
  m_storeEra = std::max(m_storeEra, aReply.m_era);
  if (result.m_config == StoreCheckResult::Config::Current) {
    m_freshness.OnProof({ aCheck.m_sentAt, aCheck.m_config.m_version });
  }
  if (aCheck.m_term == m_coordinatorRole.ExpectedRevision()) {
    ApplyRoleResult(aCheck.m_sentAt, result.m_role);
  }
  const bool hasNewerConfig =
    result.m_config == StoreCheckResult::Config::Changed &&
    !aReply.m_value.empty();
  if (hasNewerConfig) {
    // One that cannot be read may revoke keys, so it renews no proof.
    if (const auto read = m_deps.m_onNewerConfig(std::move(aReply))) {
      m_freshness.OnProof({ aCheck.m_sentAt, read->m_version });
    }
  }
}

void
WorkspaceService::ApplyRoleResult(TimePoint aSentAt,
                                  StoreCheckResult::Role aRole)
{
  using Role = StoreCheckResult::Role;
  if (!m_coordinatorRole.HoldsKey()) {
    return;
  }
  const TimePoint now = BootNow();
  switch (aRole) {
    case Role::Confirmed:
      m_coordinatorRole.OnConfirmed(now, aSentAt, true);
      m_lastCoordinatorReport = now;
      break;
    case Role::Lost:
      m_deps.m_log.Info("workspaces", "coordinator_deposed");
      m_coordinatorRole.OnConfirmed(now, aSentAt, false);
      break;
    case Role::Unknown:
      m_coordinatorRole.OnStoreCallFailed(now);
      break;
  }
  if (m_coordinatorRole.StandDownIfFailing(now)) {
    m_deps.m_log.Warning("workspaces", "coordinator_stood_down");
    AnnounceCoordinator({});
  }
}

}
