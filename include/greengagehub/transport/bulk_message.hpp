#pragma once

#include "greengagehub/config/decision.hpp"
#include "greengagehub/membership/gossip_message.hpp"
#include "greengagehub/membership/member_table.hpp"

#include <string>
#include <vector>

namespace greengagehub {

/// \brief Asks a peer for what this daemon misses.
struct PullRequest
{
  std::string m_slot;
  Version m_have;
  bool m_wantMembers{ false };
  MemberDigests m_members{};
};

struct PullAnswer
{
  std::vector<VersionEntry> m_entries{};
  /// Compressed canonical JSON of the content at m_snapshotHead; empty when
  /// the entries reach back far enough.
  std::string m_snapshot{};
  VersionEntry m_snapshotHead{};
  std::vector<MemberRecord> m_members{};
  /// Highest version that the asker's slot was ever seen to run.
  Version m_floor{};
  VersionDigest m_head{};
  std::vector<RolloutRecord> m_rollouts{};
};

}
