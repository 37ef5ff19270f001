#include "greengagehub/daemon/workspace_service.hpp"

#include "greengagehub/daemon/wall_clock.hpp"

#include <tuple>

// Proofs that the configuration in force is the newest: checks of the store's
// revision, which also confirm the coordinator roles.

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
    SendStoreCheck({});
  }
}

void
WorkspaceService::SendStoreCheck(CoordinatorRoles::Check aRoles)
{
  StoreCheck check{ BootNow(), KnownConfig(), std::move(aRoles) };
  StoreRequest request = MakeStoreCheck(m_deps.m_configKey, check);
  m_deps.m_store.Execute(std::move(request),
                         [this, check = std::move(check)](StoreReply aReply) {
                           OnStoreCheck(check, std::move(aReply));
                         });
}

void
WorkspaceService::OnStoreCheck(const StoreCheck& aCheck, StoreReply aReply)
{
  const ConfigCheckResult result = InterpretStoreCheck(aCheck, aReply);
  m_storeEra = std::max(m_storeEra, aReply.m_era);
  if (result == ConfigCheckResult::Current) {
    m_freshness.OnProof({ aCheck.m_sentAt, aCheck.m_config.m_version });
  }
  m_quota.OnChecked(BootNow(), aCheck.m_roles, aReply);
  if (result == ConfigCheckResult::Changed && !aReply.m_value.empty()) {
    // One that cannot be read may revoke keys, so it renews no proof.
    if (const auto read = m_deps.m_onNewerConfig(std::move(aReply))) {
      m_freshness.OnProof({ aCheck.m_sentAt, read->m_version });
    }
  }
}

}
