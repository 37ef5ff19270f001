#include "testkit/signal_rules.hpp"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <fmt/format.h>

namespace greengagehub::testkit {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kWindow{ 4000 };
constexpr double kFactor = 1.5;
constexpr double kSlack = 5.0;
/// From a response to the first request that counts.
constexpr milliseconds kLimitDelay{ 500 };
/// From the first statement of a limit to the first window that counts.
constexpr milliseconds kSettleTime{ 3000 };
constexpr milliseconds kDrainTime{ 2000 };

UnixMs
TimeFrom(const nlohmann::json& aJson)
{
  return UnixMs{ milliseconds{ aJson.get<std::int64_t>() } };
}

std::optional<double>
LimitAt(const WorkerHistory& aHistory, UnixMs aAt)
{
  std::optional<double> limit = aHistory.m_limits.front().m_perSecond;
  for (const WorkerHistory::Limit& each : aHistory.m_limits) {
    if (each.m_from <= aAt) {
      limit = each.m_perSecond;
    }
  }
  return limit;
}

/// \returns Requests allowed in the window that ends at `aEnd`, or nothing if
/// no limit was stated for a part of it.
std::optional<double>
AllowedUntil(const WorkerHistory& aHistory, UnixMs aEnd)
{
  constexpr milliseconds kStep{ 50 };
  double requests = 0.0;
  for (UnixMs at = aEnd - kWindow; at < aEnd; at += kStep) {
    const auto limit = LimitAt(aHistory, at);
    if (!limit) {
      return std::nullopt;
    }
    requests += *limit * std::chrono::duration<double>(kStep).count();
  }
  return kFactor * requests + kSlack;
}

}

std::vector<WorkerHistory>
ParseHistories(const nlohmann::json& aHistories)
{
  std::vector<WorkerHistory> histories;
  if (!aHistories.is_array()) {
    return histories;
  }
  for (const auto& incarnation : aHistories) {
    WorkerHistory& history = histories.emplace_back();
    for (const auto& each : incarnation["limits"]) {
      const bool isStated = each[1].is_string();
      history.m_limits.push_back(
        { TimeFrom(each[0]),
          isStated ? std::optional{ std::strtod(
                       each[1].get<std::string>().c_str(), nullptr) }
                   : std::nullopt });
    }
    for (const auto& each : incarnation["arrivals"]) {
      history.m_arrivals.push_back(
        { TimeFrom(each[0]), each[1].get<std::string>() });
    }
    for (const auto& each : incarnation["statements"]) {
      history.m_statements.push_back({ TimeFrom(each[0]),
                                       each[1].get<std::string>(),
                                       each[2].get<bool>(),
                                       each[3].get<bool>() });
    }
  }
  return histories;
}

bool
SignalRules::HasFault(const std::string& aSlot,
                      UnixMs aFrom,
                      UnixMs aUntil) const
{
  return std::ranges::any_of(m_faults, [&](const DaemonFault& aFault) {
    return aFault.m_slot == aSlot && aFault.m_from <= aUntil &&
           aFault.m_until >= aFrom;
  });
}

bool
SignalRules::IsBound(const WorkerHistory& aHistory,
                     bool WorkerHistory::Statement::*aKind,
                     const std::string& aSlot,
                     UnixMs aAt,
                     milliseconds aDelay) const
{
  return std::ranges::any_of(
    aHistory.m_statements, [&](const WorkerHistory::Statement& aEach) {
      return aEach.*aKind && aEach.m_at + aDelay <= aAt &&
             m_originOf(aEach.m_id).m_slot == aSlot &&
             !HasFault(aSlot, aEach.m_at, aAt);
    });
}

std::optional<std::string>
SignalRules::CheckLimit(const WorkerHistory& aHistory) const
{
  const auto first = std::ranges::find_if(
    aHistory.m_limits,
    [](const WorkerHistory::Limit& aEach) { return !!aEach.m_perSecond; });
  if (first == aHistory.m_limits.end()) {
    return std::nullopt;
  }
  std::optional<std::string> worst;
  double largestExcess = 0.0;
  std::deque<UnixMs> counted;
  for (const WorkerHistory::Arrival& each : aHistory.m_arrivals) {
    const std::string slot = m_originOf(each.m_id).m_slot;
    const bool isCounted =
      !slot.empty() && IsBound(aHistory,
                               &WorkerHistory::Statement::m_hasLimit,
                               slot,
                               each.m_at,
                               kLimitDelay);
    if (!isCounted) {
      continue;
    }
    counted.push_back(each.m_at);
    while (counted.front() <= each.m_at - kWindow) {
      counted.pop_front();
    }
    const auto allowed = AllowedUntil(aHistory, each.m_at);
    const double excess =
      static_cast<double>(counted.size()) - allowed.value_or(0.0);
    if (allowed && each.m_at >= first->m_from + kSettleTime &&
        excess > largestExcess) {
      largestExcess = excess;
      worst = fmt::format("a worker with a limit got {} requests in 4 s, "
                          "allowed {:.1f}",
                          counted.size(),
                          *allowed);
    }
  }
  return worst;
}

std::optional<std::string>
SignalRules::CheckLeaving(const WorkerHistory& aHistory) const
{
  for (const WorkerHistory::Arrival& each : aHistory.m_arrivals) {
    const RequestOrigin origin = m_originOf(each.m_id);
    if (!origin.m_slot.empty() &&
        IsBound(aHistory,
                &WorkerHistory::Statement::m_isLeaving,
                origin.m_slot,
                origin.m_sentAt,
                kDrainTime)) {
      return fmt::format("request {} from {} reached a worker that was leaving",
                         each.m_id,
                         origin.m_slot);
    }
  }
  return std::nullopt;
}

}
