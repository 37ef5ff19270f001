#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/daemon/quota_service.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/settings/settings.hpp"
#include "greengagehub/workspaces/workspaces.hpp"
#include "platform/kv_store.hpp"

#include <functional>
#include <optional>
#include <string>

namespace greengagehub {

/// \brief Result of the admission of a request by key and quota.
struct WorkspaceAdmission
{
  /// None: the request is admitted, unless m_waits is set.
  RefusalReason m_refusal{ RefusalReason::None };
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// The request waits for tokens; Admit() is to be called again when the
  /// handler of SetRetryHandler() runs.
  bool m_waits{ false };
  /// Of a request that waits for too long.
  RefusalReason m_refusalAfterWait{ RefusalReason::NoCoordinator };
  /// Workspace of the key; nullptr: the key is unknown or was not checked.
  const WorkspaceRow* m_workspace{ nullptr };
  /// For Return(), if the request is admitted.
  QuotaReceipt m_receipt{};
};

/// \brief Checks keys and quotas of workspaces, and exchanges quota messages
/// with other daemons and the store. Inactive while the configuration has no
/// workspace.
class WorkspaceService
{
public:
  /// References must outlive the service.
  struct Dependencies
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const Log& m_log;
    platform::KvStore& m_store;
    const ConfigHolder& m_holder;
    std::function<Membership&()> m_members;
    /// Whether this daemon has joined the fleet, or has no peers.
    std::function<bool()> m_knowsPeers;
    /// Whether another daemon sent a message recently, or none is known.
    std::function<bool()> m_hasPeerContact;
    std::function<void(GossipSend)> m_send;
    /// Store key that changes with every version of the configuration.
    std::string m_configKey;
    /// Version and revision of the configuration read last from the store.
    std::function<StoredConfig()> m_storeConfig;
    /// Applies the configuration in a reply; returns nothing if it cannot be
    /// read or followed.
    std::function<std::optional<StoredConfig>(StoreReply)> m_onNewerConfig;
  };

  WorkspaceService(Dependencies aDependencies,
                   std::uint64_t aProcess,
                   std::uint64_t aSeed);

  [[nodiscard]] const WorkspaceTable& Table() const noexcept { return m_table; }
  /// \returns Age of the newest proof that the active configuration is current;
  /// empty: none.
  [[nodiscard]] std::optional<std::chrono::milliseconds> ProofAge() const;
  [[nodiscard]] const QuotaService& Quotas() const noexcept { return m_quota; }

  /// \returns Whether requests of the route need an API key.
  [[nodiscard]] bool NeedsKey(const Route& aRoute) const noexcept
  {
    return m_table.RequiresKey() && !aRoute.m_public;
  }
  /// \param aKey API key from the request; empty: none.
  /// \param aIsNew false for a request that has waited for tokens.
  /// \param aIsLate the route's target latency has passed; such a request is
  /// refused while tokens are scarce.
  [[nodiscard]] WorkspaceAdmission Admit(std::string_view aKey,
                                         bool aIsNew,
                                         bool aIsLate);
  /// \brief Ends the wait of one request for a token.
  void CancelWait(WorkspaceId aWorkspace) { m_quota.CancelWait(aWorkspace); }
  /// \brief Takes back what admitted a request that has run nowhere.
  void Return(WorkspaceId aWorkspace, const QuotaReceipt& aReceipt)
  {
    m_quota.Return(aWorkspace, aReceipt);
  }
  /// \param aHandler called when waiting requests are to be admitted again.
  void SetRetryHandler(std::function<void()> aHandler)
  {
    m_quota.SetRetryHandler(std::move(aHandler));
  }

  void OnVersion();
  /// \param aReadSentAt when the read that returned `aConfig` was sent.
  void OnConfirmed(TimePoint aReadSentAt, const StoredConfig& aConfig);
  void OnMessage(const GossipMessage& aMessage) { m_quota.OnMessage(aMessage); }
  void OnTick();
  void OnStoreRestored();
  /// \brief Gives up the coordinator role before this daemon exits.
  void Resign() { m_quota.Resign(); }

private:
  [[nodiscard]] QuotaService::Dependencies QuotaDependencies();
  void AddProof(QuotaReport& aReport) const;
  void CheckStoreIfStale(TimePoint aNow);
  void SendStoreCheck(CoordinatorRoles::Check aRoles);
  void OnStoreCheck(const StoreCheck& aCheck, StoreReply aReply);
  [[nodiscard]] StoredConfig KnownConfig() const;

  Dependencies m_deps;
  Random m_random;
  WorkspaceTable m_table;
  ConfigFreshness m_freshness;
  StoredConfig m_reportedConfig;
  /// Highest era of the store in a reply to a check; 0: none yet.
  std::uint64_t m_storeEra{ 0 };
  TimePoint m_nextStoreCheck{};
  QuotaService m_quota;
};

}
