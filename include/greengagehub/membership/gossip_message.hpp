#pragma once

#include "greengagehub/config/decision.hpp"
#include "greengagehub/membership/member.hpp"
#include "greengagehub/quarantine/quarantine_update.hpp"
#include "greengagehub/rollout/rollout_record.hpp"
#include "greengagehub/rollout/run_counts.hpp"
#include "greengagehub/workspaces/quota_message.hpp"

#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief Configuration version that a daemon runs, sent with every probe.
struct VersionDigest
{
  Version m_version;
  Digest m_chain;
};

/// \brief Payload of one gossip datagram.
struct GossipMessage
{
  enum class Kind : std::uint8_t
  {
    Ping,
    Ack,
    /// Asks the receiver to probe m_target for the sender.
    PingRequest,
    /// Carries updates without requesting an answer.
    Push,
    /// Carries m_quotaQuery or m_quotaReport only.
    Quota,
  };

  Kind m_kind{ Kind::Ping };
  MemberRecord m_sender{};
  std::uint64_t m_sequence{ 0 };
  std::string m_target{};
  VersionDigest m_head{};
  std::vector<MemberRecord> m_updates{};
  std::vector<VersionEntry> m_entries{};
  /// Of a Push: the receiver is to answer with its version.
  bool m_requestsHead{ false };
  /// Answers a Push that requested the version.
  bool m_reportsHead{ false };
  /// Of a Push with verdicts: the receiver is to confirm this number; 0: none.
  std::uint64_t m_pushNumber{ 0 };
  /// Number of the receiver's Push that this message confirms; 0: none.
  std::uint64_t m_confirmedPush{ 0 };
  /// The receiver must not run a version older than this.
  Version m_minimumVersion{};
  /// Worker of an earlier process of the receiver; without an ID tag: none.
  WorkerDescription m_previousWorker{};
  bool m_watching{ false };
  /// MemberDigests::Summary() of the sender's view, itself included.
  std::uint64_t m_members{ 0 };
  QuarantineUpdate m_quarantine{};
  /// Quarantine::Summary() at the sender.
  std::uint64_t m_verdicts{ 0 };
  std::vector<RolloutRecord> m_rollouts{};
  /// RolloutTable::Summary() at the sender.
  std::uint64_t m_rolloutsDigest{ 0 };
  /// For the leader of the roll-out of the sender's service.
  std::optional<WorkerCounts> m_counts{};
  std::optional<QuotaQuery> m_quotaQuery{};
  std::optional<QuotaReport> m_quotaReport{};
};

struct GossipSend
{
  MemberPeer m_to;
  GossipMessage m_message;
};

}
