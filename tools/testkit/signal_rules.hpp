#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub::testkit {

using UnixMs = std::chrono::sys_time<std::chrono::milliseconds>;

/// \brief What one incarnation of a backend server received and stated.
struct WorkerHistory
{
  struct Limit
  {
    UnixMs m_from;
    /// Requests per second; empty: none from then on.
    std::optional<double> m_perSecond;
  };
  struct Arrival
  {
    UnixMs m_at;
    std::string m_id;
  };
  /// A response that stated something.
  struct Statement
  {
    UnixMs m_at;
    std::string m_id;
    bool m_hasLimit{ false };
    bool m_isLeaving{ false };
  };

  std::vector<Limit> m_limits;
  std::vector<Arrival> m_arrivals;
  std::vector<Statement> m_statements;
};

/// \returns One entry for each incarnation, from a stand-in's GET /history;
/// empty if it did not answer.
[[nodiscard]] std::vector<WorkerHistory>
ParseHistories(const nlohmann::json& aHistories);

/// \brief A kill, stop or pause of the daemon at which requests begin.
struct DaemonFault
{
  std::string m_slot;
  UnixMs m_from;
  UnixMs m_until;
};

/// \brief Where and when the client sent a request.
struct RequestOrigin
{
  /// Slot of the daemon that received it; empty: not from a client.
  std::string m_slot;
  UnixMs m_sentAt;
};

/// \brief Bounds on what a backend server receives after it has stated a limit
/// or that it is leaving.
///
/// A daemon is bound by statements in responses to requests that began at it. A
/// fault of that daemon releases it until the next such response.
class SignalRules
{
public:
  using OriginOf = std::function<RequestOrigin(const std::string& aId)>;

  SignalRules(OriginOf aOriginOf, std::vector<DaemonFault> aFaults)
    : m_originOf(std::move(aOriginOf))
    , m_faults(std::move(aFaults))
  {
  }

  /// \returns Largest number of counted requests in a window that exceeds what
  /// the limit allows, as text, or nothing.
  [[nodiscard]] std::optional<std::string> CheckLimit(
    const WorkerHistory& aHistory) const;
  /// \returns The first request that arrived although the client sent it too
  /// late, as text, or nothing.
  [[nodiscard]] std::optional<std::string> CheckLeaving(
    const WorkerHistory& aHistory) const;

private:
  /// \returns Whether a statement bound the daemon `aSlot` at a time. It binds
  /// from `aDelay` after it.
  [[nodiscard]] bool IsBound(const WorkerHistory& aHistory,
                             bool WorkerHistory::Statement::*aKind,
                             const std::string& aSlot,
                             UnixMs aAt,
                             std::chrono::milliseconds aDelay) const;
  [[nodiscard]] bool HasFault(const std::string& aSlot,
                              UnixMs aFrom,
                              UnixMs aUntil) const;

  OriginOf m_originOf;
  std::vector<DaemonFault> m_faults;
};

}
