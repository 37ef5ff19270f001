#pragma once

#include "testkit/load.hpp"
#include "testkit/tcp_proxy.hpp"

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace greengagehub::testkit {

struct SoakOptions
{
  std::uint64_t m_seed{ 1 };
  /// Number of consecutive seeds from m_seed on.
  std::uint32_t m_seeds{ 1 };
  /// Length of each plan.
  std::uint32_t m_seconds{ 15 };
  std::uint32_t m_daemons{ 5 };
  /// Releases per second, and as many lookups.
  double m_rate{ 100.0 };
  /// Adds restarts of backend servers under the same id, and late or malformed
  /// reports. Off by default, as the other options below, so that the plans of
  /// known seeds stay the same.
  bool m_restarts{ false };
  /// Adds a request that crashes backend servers.
  bool m_crashing{ false };
  /// Adds the roll-out of a failing version, and restores of the store from
  /// older copies.
  bool m_rollout{ false };
  /// Adds backend servers that state limits or that they are leaving.
  bool m_signals{ false };
};

/// \brief An action at a time since the start of the plan.
struct SoakStep
{
  std::chrono::milliseconds m_at{ 0 };
  std::string m_description;
  std::function<void()> m_action;
};

/// \brief Result of one seed; it passes if there are no violations.
struct SoakResult
{
  std::uint64_t m_seed{ 0 };
  CallReport m_releases;
  CallReport m_lookups;
  std::vector<std::string> m_plan;
  std::vector<std::string> m_violations;
};

inline const std::vector<nlohmann::json>&
StoreFaults()
{
  static const std::vector<nlohmann::json> kFaults{
    { { "outage", "refuse" } },
    { { "outage", "silent" }, { "lapse_leases", true } },
    { { "delay_ms", 400 } },
    { { "lose_answers", 3 } },
    { { "lapse_leases", true } },
  };
  return kFaults;
}

/// \returns Faults of connections to the store, with their descriptions.
inline const std::vector<std::pair<ProxyFault, const char*>>&
ProxyFaults()
{
  static const std::vector<std::pair<ProxyFault, const char*>> kFaults{
    { ProxyFault::Delay, "delayed" },
    { ProxyFault::Drop, "silenced" },
    { ProxyFault::DropAnswers, "cut one way" },
    { ProxyFault::Reset, "reset" },
  };
  return kFaults;
}

/// \returns Changes of the start time at a restart under the same id.
inline const std::vector<std::int64_t>&
RestartOffsetsMs()
{
  static const std::vector<std::int64_t> kOffsets{ 1, 5'000, -3'600'000 };
  return kOffsets;
}

/// \returns Fields of late and malformed reports.
inline const std::vector<nlohmann::json>&
ExtraReports()
{
  static const std::vector<nlohmann::json> kReports{
    { { "seq", 100'000 }, { "state", "draining" }, { "born", 1 } },
    { { "seq", 100'001 }, { "state", "resting" } },
    { { "seq", 100'002 }, { "slots", -1 } },
    { { "seq", 100'003 }, { "slots", 6.5 } },
    { { "seq", true } },
    { { "seq", 100'004 }, { "born", "soon" }, { "state", "draining" } },
  };
  return kReports;
}

/// \returns What backend servers state; malformed limits state nothing.
inline const std::vector<nlohmann::json>&
WorkerSignalFaults()
{
  static const std::vector<nlohmann::json> kSignals{
    { { "limit", "3" } },     { { "limit", "8.5" } }, { { "limit", "30" } },
    { { "limit", "0.4" } },   { { "limit", "nan" } }, { { "leaving", true } },
    { { "limit", nullptr } },
  };
  return kSignals;
}

/// \returns Pairs of a worker's fault and the control request that ends it.
inline const std::vector<std::pair<nlohmann::json, nlohmann::json>>&
WorkerFaults()
{
  static const std::vector<std::pair<nlohmann::json, nlohmann::json>> kFaults{
    { { { "shed", true } }, { { "shed", false } } },
    { { { "fail", true } }, { { "fail", false } } },
    { { { "unsigned", true } }, { { "unsigned", false } } },
    { { { "service_ms", 400 } }, { { "service_ms", 20 } } },
    { { { "draining", true } }, { { "restart", true } } },
    { { { "restart", true } }, { { "restart", true } } },
    { { { "foreign", 5 } }, { { "foreign", 0 } } },
  };
  return kFaults;
}
}
