#pragma once

#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/core/outcome.hpp"
#include "greengagehub/dissemination/disseminator.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/membership/watch_lease.hpp"
#include "greengagehub/workspaces/quota_allocation.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

/// \brief A numeric IP address and a port.
struct HostPort
{
  std::string m_host;
  std::uint16_t m_port{ 0 };
};

struct ListenSettings
{
  std::string m_host{ "127.0.0.1" };
  /// Address of the readiness check; port 0 disables it.
  HostPort m_readiness{};
  /// Address that receives the backend server's heartbeats; port 0 disables it.
  HostPort m_heartbeats{};
  /// Address that accepts callers; empty: m_host.
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
  /// Maximum wait of one watch request.
  std::chrono::milliseconds m_watch{ 20'000 };
  /// Maximum pause between retries.
  std::chrono::milliseconds m_maxBackoff{ 15'000 };
};

struct CallSettings
{
  std::uint64_t m_maxBodyBytes{ 1024UL * 1024 };
  /// Maximum number of retries of one call, over all its hops.
  std::uint32_t m_maxRetries{ 2 };
  /// Maximum wait of a drain for calls in flight.
  std::chrono::milliseconds m_drain{ 30'000 };
  /// Time that a draining daemon stays reachable after its last call.
  std::chrono::milliseconds m_linger{ 500 };
  /// Busy-polling time before the event loop blocks while calls are in flight.
  std::chrono::microseconds m_spin{ 0 };
  /// Maximum share of a processor used for polling.
  std::uint32_t m_spinPercent{ 5 };
  /// Whether large answers are booked on a link of known bandwidth.
  bool m_booksLinks{ true };
};

/// \brief Limits set by the platform that hosts the fleet. Without a platform,
/// configuration comes from operators' patches.
struct PlatformSettings
{
  bool m_enabled{ false };
  std::chrono::milliseconds m_heartbeatPeriod{ 1500 };
  /// Time after a deregistration in which requests may still arrive.
  std::chrono::milliseconds m_workerDrain{ 2000 };
  /// Time between SIGTERM and SIGKILL.
  std::chrono::milliseconds m_terminationGrace{ 6000 };
  /// Maximum time until a new configuration is active on every daemon.
  std::chrono::milliseconds m_maxConfigDelay{ 2000 };
  /// Retry budget of a service per window, over the whole fleet: this share of
  /// its requests plus the slack.
  double m_retryShare{ 0.2 };
  std::chrono::milliseconds m_retryWindow{ 10'000 };
  /// Retries; a fraction is allowed.
  double m_retrySlack{ 50.0 };
  /// Maximum calls to a bad canary per roll-out: this share of the service's
  /// calls plus the slack.
  double m_canaryShare{ 0.1 };
  double m_canarySlack{ 50.0 };
};

/// \brief Enforcement of the workspaces' API keys and quotas.
struct WorkspaceSettings
{
  /// Maximum time until no daemon accepts a removed key, even if cut off from
  /// the store and its peers; 0: no limit.
  std::chrono::milliseconds m_maxRevokeDelay{ 0 };
  QuotaTolerance m_quota{};
  /// Number of quota shards, each with a coordinator of its own.
  std::uint32_t m_quotaShards{ 1 };
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
  /// Share of new traces that is sampled, in percent.
  std::uint32_t m_tracePercent{ 0 };
};

struct Settings
{
  std::string m_slot{};
  std::string m_service{};
  std::string m_region{};
  std::string m_domain{};
  /// Bandwidth of this instance's network link, in Mbit/s; 0: unknown.
  std::uint32_t m_linkMbps{ 0 };
  /// Memory that this process may use, in MB.
  std::uint32_t m_memoryMb{ 256 };
  /// Descriptors that this process may open; 0: as the system limits it.
  std::uint32_t m_maxDescriptors{ 0 };
  ListenSettings m_listen{};
  /// Required for requests that change state; empty: they are rejected. Never
  /// logged.
  std::string m_operatorToken{};
  HostPort m_worker{};
  RunTableSettings m_runs{};
  std::uint32_t m_workerConnections{ 100 };
  StoreSettings m_store{};
  MembershipSettings m_membership{};
  /// Gossip addresses contacted to join, in addition to those in the store.
  std::vector<MemberAddress> m_seeds{};
  WatchLeaseSettings m_watch{};
  DisseminationSettings m_dissemination{};
  CallSettings m_calls{};
  LogSettings m_log{};
  PlatformSettings m_platform{};
  WorkspaceSettings m_workspaces{};
};

/// \brief The settings, or all errors in them with their source regions.
using SettingsResult =
  boost::outcome_v2::std_result<Settings,
                                std::vector<Error>,
                                boost::outcome_v2::policy::all_narrow>;

/// \param aFile file name reported in errors.
[[nodiscard]] SettingsResult
ParseSettings(std::string_view aToml, const std::string& aFile);

[[nodiscard]] SettingsResult
LoadSettings(const std::string& aFile);

}
