#pragma once

#include "greengagehub/calls/call.hpp"
#include "greengagehub/config/config_holder.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/observe/log.hpp"
#include "greengagehub/settings/settings.hpp"
#include "greengagehub/workspaces/workspaces.hpp"
#include "platform/kv_store.hpp"

#include <asio/steady_timer.hpp>
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
  /// Workspace of the key; nullptr: the key is unknown or was not checked.
  const WorkspaceRow* m_workspace{ nullptr };
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
  [[nodiscard]] bool IsCoordinator() const;
  [[nodiscard]] const std::string& Coordinator() const noexcept
  {
    return m_coordinatorSlot;
  }

  /// \returns Whether requests of the route need an API key.
  [[nodiscard]] bool NeedsKey(const Route& aRoute) const noexcept
  {
    return !m_table.IsEmpty() && !aRoute.m_public;
  }
  /// \param aKey API key from the request; empty: none.
  /// \param aIsNew false for a request that has waited for tokens.
  /// \param aIsLate the route's target latency has passed; such a request is
  /// refused while tokens are scarce.
  [[nodiscard]] WorkspaceAdmission Admit(std::string_view aKey,
                                         bool aIsNew,
                                         bool aIsLate);
  /// \brief Ends the wait of one request for a token.
  void CancelWait(WorkspaceId aWorkspace)
  {
    m_quotaClient.CancelWait(aWorkspace);
  }
  /// \param aHandler called when waiting requests are to be admitted again.
  void SetRetryHandler(std::function<void()> aHandler)
  {
    m_retryHandler = std::move(aHandler);
  }

  void OnVersion();
  /// \param aReadSentAt when the read that returned `aConfig` was sent.
  void OnConfirmed(TimePoint aReadSentAt, const StoredConfig& aConfig);
  void OnMessage(const GossipMessage& aMessage);
  void OnTick();
  void OnStoreRestored();
  /// \brief Gives up the coordinator role before this daemon exits.
  void Resign();

private:
  void SendNextQuery();
  void ArmQueryTimeout();
  void SendQuery(const MemberPeer& aTo, QuotaQuery aQuery);
  [[nodiscard]] std::optional<MemberPeer> SelectQueryPeer();
  [[nodiscard]] QuotaReport AnswerQuery(std::string_view aSlot,
                                        const QuotaQuery& aQuery);
  void OnReport(std::string_view aFrom, const QuotaReport& aReport);
  /// \param aCoordinator slot of the coordinator; empty: none.
  void AnnounceCoordinator(const std::string& aCoordinator);
  void AdvanceRole(TimePoint aNow);
  [[nodiscard]] bool IsCandidate(TimePoint aNow);
  void CheckStoreIfStale(TimePoint aNow);
  void SendStoreCheck(bool aConfirmsRole);
  void OnStoreCheck(const StoreCheck& aCheck, StoreReply aReply);
  void ApplyRoleResult(TimePoint aSentAt, StoreCheckResult::Role aRole);
  void ReadCoordinatorKey();
  void ClaimCoordinatorKey();
  [[nodiscard]] StoredConfig KnownConfig() const;

  Dependencies m_deps;
  Random m_random;
  WorkspaceTable m_table;
  ConfigFreshness m_freshness;
  QuotaClient m_quotaClient;
  QuotaCoordinator m_coordinator;
  CoordinatorRole m_coordinatorRole;
  std::function<void()> m_retryHandler;
  asio::steady_timer m_queryTimeout;
  /// Slot of the coordinator; empty: unknown.
  std::string m_coordinatorSlot;
  TimePoint m_lastCoordinatorReport{};
  StoredConfig m_reportedConfig;
  /// Highest era of the store in a reply to a check; 0: none yet.
  std::uint64_t m_storeEra{ 0 };
  bool m_isHighestRanked{ false };
  TimePoint m_nextRankCheck{};
  TimePoint m_nextStoreCheck{};
  /// Random addition to kRelaySilence and kMemberSilence, so that daemons do
  /// not claim the role at the same time.
  std::chrono::milliseconds m_claimDelay{ 0 };
};

}
