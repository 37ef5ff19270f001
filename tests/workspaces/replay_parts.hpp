#pragma once

#include "greengagehub/workspaces/workspaces.hpp"

#include <array>
#include <chrono>
#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

// Parts of a replay of a whole fleet in virtual time.

namespace greengagehub::replay {

using namespace std::chrono_literals;
using Kind = CoordinatorRoles::Action::Kind;
using Status = StoreReply::Status;

inline constexpr TimePoint kStart{ 1000s };
inline constexpr QuotaTolerance kTolerance{};
inline constexpr std::size_t kDaemons = 62;
inline constexpr Duration kStep = 2ms;
inline constexpr Duration kDatagramTime = 4ms;
inline constexpr Duration kStoreTime = 6ms;
/// Requests per second of the workspaces' limits.
inline constexpr std::array<double, 8> kLimits{ 2, 4, 8, 16, 30, 60, 100, 160 };
/// Of its limit that a workspace below it asks for.
inline constexpr double kUsual = 1.0 / 1.6;
/// Of the requests below the limit that are admitted in each second.
inline constexpr double kMinAdmitted = 0.98;
/// A request waits for a token no longer.
inline constexpr Duration kMaxWait = 400ms;

inline std::string
NameOf(std::size_t aWorkspace)
{
  return fmt::format("w{}", aWorkspace);
}

inline WorkspaceTable
MakeTable(double aLowered = 1.0)
{
  Content content;
  std::string text;
  for (std::size_t i = 0; i < kLimits.size(); ++i) {
    text += fmt::format(R"({}"{}":{{"per_second":{},"burst":{}}})",
                        i == 0 ? "" : ",",
                        NameOf(i),
                        kLimits[i] * aLowered,
                        kLimits[i] * aLowered);
  }
  REQUIRE(
    content.Apply(fmt::format(R"({{"workspaces":{{{}}}}})", text)).empty());
  WorkspaceTable table;
  table.Update(content);
  return table;
}

inline double
Allowance(double aLimit)
{
  const double window =
    std::chrono::duration<double>(kTolerance.m_window).count();
  return (aLimit * window + aLimit) * (1.0 + kTolerance.m_overage) +
         kTolerance.m_slack;
}

struct StoredKey
{
  std::string m_value;
  Revision m_revision{ 0 };
};

struct Store
{
  StoreReply Put(const StoreRequest& aRequest)
  {
    StoredKey& key = m_keys[aRequest.m_key];
    if (key.m_revision != aRequest.m_expected) {
      return { .m_status = Status::Conflict,
               .m_revision = key.m_revision,
               .m_value = key.m_value };
    }
    key = { aRequest.m_value, ++m_revision };
    return { .m_status = Status::Ok, .m_revision = m_revision };
  }
  StoreReply Get(const std::string& aKey)
  {
    const auto found = m_keys.find(aKey);
    return found == m_keys.end()
             ? StoreReply{ .m_status = Status::NotFound }
             : StoreReply{ .m_status = Status::Ok,
                           .m_revision = found->second.m_revision,
                           .m_value = found->second.m_value };
  }
  StoreReply Compare(const std::vector<ExpectedKey>& aKeys)
  {
    StoreReply reply{ .m_status = Status::Ok };
    for (const ExpectedKey& each : aKeys) {
      const StoreReply now = Get(each.m_key);
      if (now.m_revision != each.m_revision) {
        reply.m_status = Status::Conflict;
      }
      if (now.m_status == Status::Ok) {
        reply.m_items.push_back({ each.m_key, now.m_value, now.m_revision });
      }
    }
    return reply;
  }

  std::map<std::string, StoredKey> m_keys;
  Revision m_revision{ 0 };
};

/// Delivers functions in the order of their times.
struct Schedule
{
  void At(TimePoint aTime, std::function<void()> aWhat)
  {
    m_events.emplace(aTime, std::move(aWhat));
  }
  void Run(TimePoint aNow)
  {
    while (!m_events.empty() && m_events.begin()->first <= aNow) {
      const auto what = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      what();
    }
  }
  std::multimap<TimePoint, std::function<void()>> m_events;
};

struct Waiting
{
  std::size_t m_workspace{ 0 };
  TimePoint m_since{};
};

struct Daemon
{
  Daemon(std::size_t aIndex, std::uint64_t aProcess, std::uint32_t aShards)
    : m_slot(fmt::format("d{}", aIndex))
    , m_client(kTolerance, aProcess, aShards)
    , m_roles(m_slot, aProcess, aProcess, aShards)
  {
    for (std::uint32_t i = 0; i < kMaxQuotaShards; ++i) {
      m_coordinators.emplace_back(kTolerance, QuotaShard{ i, aShards });
    }
    m_queriers.resize(kMaxQuotaShards);
    m_known.resize(kMaxQuotaShards);
    m_lastReports.resize(kMaxQuotaShards, kStart);
  }

  std::string m_slot;
  QuotaClient m_client;
  CoordinatorRoles m_roles;
  std::vector<QuotaCoordinator> m_coordinators;
  std::vector<QuerierMonitor> m_queriers;
  /// By shard: index of the coordinator that this daemon knows.
  std::vector<std::optional<std::size_t>> m_known;
  std::vector<TimePoint> m_lastReports;
  std::vector<Waiting> m_waiting;
  /// Knows one coordinator only, as daemons of the previous version.
  bool m_isFormerVersion{ false };
  bool m_isDead{ false };
  bool m_isPaused{ false };
  bool m_isCutFromStore{ false };
  bool m_isCutFromPeers{ false };
  /// Messages that came during a pause.
  std::vector<std::function<void()>> m_backlog;
};

struct Second
{
  std::size_t m_asked{ 0 };
  std::size_t m_admitted{ 0 };
};

}
