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

/// \brief What becomes of a request that callers of a workspace send.
struct WorkspaceAdmission
{
  /// None: the request is admitted, unless it waits.
  RefusalReason m_refusal{ RefusalReason::None };
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// Tokens are being asked for; to be tried again when reports have come.
  bool m_waits{ false };
  /// Of a request with a known key.
  const WorkspaceRow* m_workspace{ nullptr };
};

/// \brief Keys, freshness and quotas of workspaces, wired to the store and the
/// other daemons. Does nothing while the configuration has no workspace.
class WorkspaceService
{
public:
  struct Parts
  {
    asio::io_context& m_loop;
    const Settings& m_settings;
    const Log& m_log;
    platform::KvStore& m_store;
    const ConfigHolder& m_holder;
    std::function<Membership&()> m_members;
    std::function<bool()> m_hasJoined;
    /// Whether any other daemon was heard lately, or none is known.
    std::function<bool()> m_hearsOthers;
    std::function<void(GossipSend)> m_send;
    /// What was read last of the operators' configuration.
    std::function<StoreConfig()> m_storeConfig;
    /// A newer configuration was read.
    std::function<void(StoreReply)> m_onDocument;
  };

  WorkspaceService(Parts aParts, std::uint64_t aProcess, std::uint64_t aSeed);

  [[nodiscard]] const WorkspaceTable& Table() const noexcept { return m_table; }
  /// \returns Age of the proof on which keys are accepted, if there is one.
  [[nodiscard]] std::optional<std::chrono::milliseconds> ProofAge() const;
  [[nodiscard]] bool IsCoordinator() const;
  [[nodiscard]] const std::string& Coordinator() const noexcept
  {
    return m_coordinatorSlot;
  }

  /// \returns Whether requests of the route are to be admitted here.
  [[nodiscard]] bool NeedsKey(const Route& aRoute) const noexcept
  {
    return !m_table.IsEmpty() && !aRoute.m_public;
  }
  /// \param aKey as the caller sent it; empty: none.
  /// \param aIsNew false for a request that has waited.
  /// \param aIsLate its answer would come too late to earn its full worth.
  [[nodiscard]] WorkspaceAdmission Admit(std::string_view aKey,
                                         bool aIsNew,
                                         bool aIsLate);
  /// \brief A request waits for a token no more.
  void GiveUp(WorkspaceId aWorkspace) { m_client.GiveUp(aWorkspace); }
  /// \brief Called when requests that wait may be tried again.
  void OnDecided(std::function<void()> aHandler)
  {
    m_onDecided = std::move(aHandler);
  }

  void OnVersion();
  /// \param aAsked when the read was sent that shows `aConfig`.
  void OnConfirmed(TimePoint aAsked, const StoreConfig& aConfig);
  void OnMessage(const GossipMessage& aMessage);
  void OnTick();
  void OnStoreRestored();
  /// \brief This daemon ends soon.
  void Resign();

private:
  /// Which question a check answers.
  struct Check
  {
    TimePoint m_sent{};
    StoreConfig m_config{};
    bool m_isConfirm{ false };
  };

  void Query();
  void ArmTimeout();
  void SendQuery(const MemberPeer& aTo, QuotaQuery aQuery);
  [[nodiscard]] std::optional<MemberPeer> WhomToAsk();
  [[nodiscard]] QuotaReport Answer(std::string_view aSlot,
                                   const QuotaQuery& aQuery);
  void OnReport(std::string_view aFrom, const QuotaReport& aReport);
  /// \param aCoordinator who grants tokens from now on; empty: nobody.
  void Announce(const std::string& aCoordinator);
  void FollowRole(TimePoint aNow);
  [[nodiscard]] bool IsCandidate(TimePoint aNow);
  void ReadWhenStale(TimePoint aNow);
  void SendCheck(bool aIsConfirm);
  void OnChecked(const Check& aCheck, StoreReply aReply);
  void ReadKey();
  void Claim();
  [[nodiscard]] StoreConfig KnownConfig() const;

  Parts m_parts;
  Random m_random;
  WorkspaceTable m_table;
  Freshness m_freshness;
  QuotaClient m_client;
  QuotaCoordinator m_coordinator;
  CoordinatorRole m_role;
  std::function<void()> m_onDecided;
  asio::steady_timer m_timeout;
  /// Who grants tokens, as far as known.
  std::string m_coordinatorSlot;
  TimePoint m_coordinatorHeardAt{};
  /// As another daemon reported it.
  StoreConfig m_reported;
  bool m_isFirst{ false };
  TimePoint m_nextRank{};
  TimePoint m_nextRead{};
  /// How much longer than the first of all this daemon waits for a coordinator
  /// before it takes the place.
  std::chrono::milliseconds m_patience{ 0 };
};

}
