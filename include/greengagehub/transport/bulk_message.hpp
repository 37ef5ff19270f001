#pragma once

#include "greengagehub/config/decision.hpp"
#include "greengagehub/membership/gossip_message.hpp"
#include "greengagehub/membership/member_table.hpp"

#include <string>
#include <vector>

namespace greengagehub {

/// \brief Asks a peer for version entries and, optionally, member records.
struct PullRequest
{
  std::string m_slot;
  /// The answer starts after this version.
  Version m_knownVersion;
  bool m_includeMembers{ false };
  /// Digests of the sender's member table; sent only with m_includeMembers.
  MemberDigests m_members{};
  /// Asks for the whole content even if entries would do.
  bool m_wantsSnapshot{ false };
};

struct PullAnswer
{
  std::vector<VersionEntry> m_entries{};
  /// Compressed canonical JSON of the content at m_snapshotHead; empty if
  /// m_entries starts right after the requested version.
  std::string m_snapshot{};
  VersionEntry m_snapshotHead{};
  /// Records that differ from the request's digests; empty unless the request
  /// has m_includeMembers.
  std::vector<MemberRecord> m_members{};
  /// Highest version that the requester's slot is known to have run.
  Version m_minimumVersion{};
  /// Active version of the answering daemon.
  VersionDigest m_head{};
  /// Sent with m_members.
  std::vector<RolloutRecord> m_rollouts{};
};

}
