#pragma once

#include "testkit/load.hpp"

#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

// What a run of the soak is made of.

namespace greengagehub::testkit {

struct SoakOptions
{
  std::uint64_t m_seed{ 1 };
  std::uint32_t m_seeds{ 1 };
  std::uint32_t m_seconds{ 15 };
  std::uint32_t m_daemons{ 5 };
  double m_rate{ 100.0 };
  /// Backend servers also start again under their ids, and reports come that
  /// are late or another writer's. Apart, as the plans of seeds that ever
  /// failed stay as they were.
  bool m_restarts{ false };
  /// A request comes under which backend servers end; apart likewise.
  bool m_crashing{ false };
  /// A version that fails is brought in, and the store comes back from older
  /// copies; apart likewise.
  bool m_rollout{ false };
};

/// Something that happens at a time of the plan.
struct SoakStep
{
  std::chrono::milliseconds m_at{ 0 };
  std::string m_what;
  std::function<void()> m_do;
};

struct SoakVerdict
{
  std::uint64_t m_seed{ 0 };
  CallReport m_releases;
  CallReport m_lookups;
  std::vector<std::string> m_plan;
  std::vector<std::string> m_broken;
};

/// \returns What may happen to the store.
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

/// \returns What may happen to a worker, and what ends it.
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
