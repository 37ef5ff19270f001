#pragma once

#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/core/outcome.hpp"
#include "greengagehub/dissemination/disseminator.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/membership/watch_role.hpp"
#include "greengagehub/workspaces/quota_terms.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief An IP number and a port.
struct HostPort
{
  std::string m_host;
  std::uint16_t m_port{ 0 };
};

struct ListenSettings
{
  std::string m_host{ "127.0.0.1" };
  /// Where the platform asks whether this daemon is ready, and where the
  /// backend server beside it sends heartbeats; port 0: nowhere.
  HostPort m_readiness{};
  HostPort m_heartbeats{};
  /// Where callers connect; empty: m_host.
  std::string m_callsHost{};
  std::uint16_t m_callsPort{ 0 };
  std::uint16_t m_operatorsPort{ 0 };
  std::uint16_t m_gossipPort{ 0 };
  std::uint16_t m_bulkPort{ 0 };
  std::uint16_t m_linkPort{ 0 };
};

struct StoreSettings
{
  std::string m_url{};
  std::chrono::milliseconds m_timeout{ 2000 };
  /// How long one watch waits.
  std::chrono::milliseconds m_watch{ 20'000 };
  /// Longest pause between tries while the store is away.
  std::chrono::milliseconds m_maxBackoff{ 15'000 };
};

struct CallSettings
{
  std::uint64_t m_maxBodyBytes{ 1024UL * 1024 };
  /// Most retries that one call may use, over all its hops.
  std::uint32_t m_tries{ 2 };
  /// Longest time that a drain waits for calls in flight.
  std::chrono::milliseconds m_drain{ 30'000 };
  /// How long a leaving daemon stays reachable after its last call, so that
  /// callers learn of it.
  std::chrono::milliseconds m_linger{ 500 };
  /// How long the event loop looks for events before it sleeps while calls are
  /// under way, and the share of a processor that this may use.
  std::chrono::microseconds m_spin{ 0 };
  std::uint32_t m_spinPercent{ 5 };
};

/// \brief What a platform that hosts the fleet lays down. Without it, daemons
/// take configuration from operators' patches and know their backend server
/// from the settings alone.
struct PlatformSettings
{
  bool m_enabled{ false };
  /// Between two heartbeats of a backend server.
  std::chrono::milliseconds m_heartbeat{ 1500 };
  /// After an acknowledged leave, no request may reach the backend server
  /// later than this.
  std::chrono::milliseconds m_workerDrain{ 2000 };
  /// Between SIGTERM and SIGKILL.
  std::chrono::milliseconds m_grace{ 6000 };
  /// A new configuration is in force everywhere within this.
  std::chrono::milliseconds m_configApply{ 2000 };
  /// Attempts beyond the first of each request that a service may get, in the
  /// window, from the whole fleet: a share of its requests, and some.
  double m_retryShare{ 0.2 };
  std::chrono::milliseconds m_retryWindow{ 10'000 };
  /// May have a fraction.
  double m_retrySlack{ 50.0 };
  /// Of a service's calls from the order to its deadline, what a bad version on
  /// trial may get: a share, and some.
  double m_trialShare{ 0.1 };
  double m_trialSlack{ 50.0 };
};

/// \brief How workspaces of the configuration are served.
struct WorkspaceSettings
{
  /// A key that was taken away is accepted nowhere later than this after the
  /// store acknowledged it, also at daemons that the store or their peers do
  /// not reach; 0: as soon as the daemon hears of it.
  std::chrono::milliseconds m_revokeWithin{ 0 };
  QuotaRules m_quota{};
};

struct LogSettings
{
  std::string m_level{ "info" };
  struct Component
  {
    std::string m_name;
    std::string m_level;
  };
  std::vector<Component> m_components{};
  /// Share of new traces that are sampled, in percent.
  std::uint32_t m_tracePercent{ 0 };
};

/// \brief Everything that a daemon is told at start.
struct Settings
{
  std::string m_slot{};
  std::string m_service{};
  std::string m_region{};
  std::string m_domain{};
  /// Rate of this machine's link, in Mbit/s; 0: not known.
  std::uint32_t m_linkMbps{ 0 };
  ListenSettings m_listen{};
  /// Guards what changes something; never logged. Empty: nothing is changed.
  std::string m_operatorToken{};
  HostPort m_worker{};
  RunTableSettings m_runs{};
  std::uint32_t m_workerConnections{ 100 };
  StoreSettings m_store{};
  MembershipSettings m_membership{};
  /// Addresses "host:port" of gossip ports to join by, beside the store's.
  std::vector<MemberAddress> m_seeds{};
  WatchRoleSettings m_watch{};
  DisseminationSettings m_dissemination{};
  CallSettings m_calls{};
  LogSettings m_log{};
  PlatformSettings m_platform{};
  WorkspaceSettings m_workspaces{};
};

/// \brief Settings, or every fault in them with its place.
using SettingsResult =
  boost::outcome_v2::std_result<Settings,
                                std::vector<Error>,
                                boost::outcome_v2::policy::all_narrow>;

/// \param aFile shown as the place of faults.
[[nodiscard]] SettingsResult
ParseSettings(std::string_view aToml, const std::string& aFile);

/// \brief Reads and parses a file.
[[nodiscard]] SettingsResult
LoadSettings(const std::string& aFile);

}
