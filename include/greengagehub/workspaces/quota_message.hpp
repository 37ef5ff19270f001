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

/// \brief What a daemon asks for one workspace.
struct QuotaDemand
{
  WorkspaceId m_workspace{ 0 };
  /// Tokens, one for each request.
  std::uint32_t m_wanted{ 0 };
  /// Requests a second that came lately, in thousandths.
  std::uint32_t m_milliRate{ 0 };
};

/// \brief What a daemon is granted for one workspace.
struct QuotaGrant
{
  WorkspaceId m_workspace{ 0 };
  std::uint32_t m_tokens{ 0 };
  /// After a grant of less than was wanted: when to ask again.
  std::chrono::milliseconds m_retryAfter{ 0 };
  /// Requests in thousandths that the daemon may admit in each quota window
  /// while the coordinator is silent.
  std::uint32_t m_milliReserve{ 0 };
};

/// \brief Asks for a proof of freshness and for tokens. The answer counts from
/// the moment of the question.
struct QuotaQuery
{
  std::uint64_t m_sequence{ 0 };
  std::vector<QuotaDemand> m_demands{};
};

/// \brief What is known of the operators' configuration in the store.
struct StoreConfig
{
  Version m_version{};
  /// Of the key that holds it, in m_era.
  Revision m_revision{ 0 };
  std::uint64_t m_era{ 0 };
};

/// \brief The answer to a QuotaQuery.
struct QuotaReport
{
  std::uint64_t m_sequence{ 0 };
  /// The slot that grants tokens, as far as the sender knows; may be empty.
  std::string m_coordinator{};
  /// Of kCoordinatorKey, under which that slot is the coordinator; 0: unknown.
  Revision m_term{ 0 };
  /// Whether the sender grants tokens. A coordinator that has just claimed the
  /// place does not yet.
  bool m_isGranting{ false };
  /// Age of the sender's proof when the question came; nothing: it has none.
  std::optional<std::chrono::milliseconds> m_proofAge{};
  /// What the proof is of.
  StoreConfig m_config{};
  std::vector<QuotaGrant> m_grants{};
};

}
