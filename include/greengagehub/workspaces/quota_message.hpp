#pragma once

#include "greengagehub/core/store_message.hpp"
#include "greengagehub/core/version.hpp"
#include "greengagehub/workspaces/workspace_id.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

struct QuotaDemand
{
  WorkspaceId m_workspace{ 0 };
  /// Tokens; each admits one request.
  std::uint32_t m_wanted{ 0 };
  /// Recent request rate at the daemon, in thousandths of requests per second.
  std::uint32_t m_milliRate{ 0 };
};

/// \brief Tokens and reserve that a daemon is granted for one workspace.
struct QuotaGrant
{
  WorkspaceId m_workspace{ 0 };
  std::uint32_t m_tokens{ 0 };
  /// After a partial grant: delay before the next demand; 0 otherwise.
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// Thousandths of requests that the daemon may admit per quota window while
  /// a shard does not answer, for kReserveLifetime.
  std::uint32_t m_milliReserve{ 0 };
};

/// \brief Requests a freshness proof and tokens, whose lifetimes start when the
/// query is sent.
struct QuotaQuery
{
  std::uint64_t m_sequence{ 0 };
  std::vector<QuotaDemand> m_demands{};
  std::uint32_t m_shard{ 0 };
  /// False for daemons that know shard 0 only and keep shares of the reserve
  /// without end.
  bool m_knowsShards{ true };
};

/// \brief Last known state of the operators' configuration in the store.
struct StoredConfig
{
  Version m_version{};
  /// Revision of its key; comparable only within the same m_era.
  Revision m_revision{ 0 };
  std::uint64_t m_era{ 0 };
};

/// \brief Answer to a QuotaQuery, or an announcement with sequence 0.
struct QuotaReport
{
  std::uint64_t m_sequence{ 0 };
  /// Slot of the shard's coordinator as known to the sender; empty: unknown or
  /// none.
  std::string m_coordinator{};
  /// Revision of the shard's key; 0: unknown.
  Revision m_term{ 0 };
  /// False while a new coordinator waits for its predecessor's lease.
  bool m_isGranting{ false };
  /// Age of the sender's freshness proof at receipt of the query.
  std::optional<std::chrono::milliseconds> m_proofAge{};
  /// Configuration that the proof applies to.
  StoredConfig m_config{};
  std::vector<QuotaGrant> m_grants{};
  std::uint32_t m_shard{ 0 };
  /// From the coordinator of shard 0: number of shards; 0: unknown.
  std::uint32_t m_shards{ 0 };
  /// Term of the shard that the sender has ended; 0: none.
  Revision m_endedTerm{ 0 };
  /// Announcement of a shard above 0: coordinator of shard 0, for daemons that
  /// know no other shard.
  std::string m_firstCoordinator{};
};

}
