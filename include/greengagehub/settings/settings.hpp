#pragma once

#include "greengagehub/calls/run_table.hpp"
#include "greengagehub/core/outcome.hpp"
#include "greengagehub/dissemination/disseminator.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/membership/watch_role.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace greengagehub {

struct ListenSettings
{
  std::string m_host{ "127.0.0.1" };
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
  ListenSettings m_listen{};
  /// Guards what changes something; never logged.
  std::string m_operatorToken{};
  std::string m_workerUrl{};
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
