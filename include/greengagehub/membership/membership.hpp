#pragma once

#include "greengagehub/core/random.hpp"
#include "greengagehub/membership/gossip_message.hpp"
#include "greengagehub/membership/member_table.hpp"
#include "greengagehub/membership/watch_schedule.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <set>
#include <vector>

namespace greengagehub {

struct MembershipSettings
{
  /// Interval between probes.
  std::chrono::milliseconds m_period{ 1000 };
  /// Timeout of a direct probe, after which indirect probes are requested.
  std::chrono::milliseconds m_ackTimeout{ 300 };
  /// Number of members asked for an indirect probe.
  std::uint32_t m_indirectProbeCount{ 3 };
  /// Suspicion timeout in periods, multiplied by log10 of the number of
  /// members.
  std::uint32_t m_suspicionFactor{ 4 };
  /// Number of times each member sends an update, multiplied by log2 of the
  /// number of members. MemberSync delivers the updates that gossip misses,
  /// about one in e^6 with 58 members. With three times as many transmissions,
  /// probes were full for 80 s after a start.
  std::uint32_t m_transmitFactor{ 1 };
  /// Per datagram.
  std::uint32_t m_maxUpdates{ 6 };
  /// Interval in periods between probes of lost members, dead or left.
  std::uint32_t m_lostProbePeriods{ 5 };
  /// Lost members are kept and probed for this time.
  std::chrono::milliseconds m_forgetAfter{ std::chrono::hours{ 24 } };
};

struct MembershipActions
{
  std::vector<GossipSend> m_sends;
  std::vector<MemberEvent> m_events;
};

/// \brief SWIM group membership with failure detection and gossip.
///
/// Each period one member of the own failure domain is probed, in shuffled
/// rounds. Without an ack it is probed indirectly, then suspected, and declared
/// dead after a timeout that grows with the log of the number of members,
/// unless it refutes the suspicion with a higher incarnation.
///
/// Only the relays of a failure domain probe other domains. Updates sent there
/// concern the own domain or a suspicion raised by this daemon, so that traffic
/// between domains grows with the number of domains and not of members.
///
/// Das, Gupta, Motivala: "SWIM" (DSN 2002); local health score: Dadgar et al.,
/// "Lifeguard" (DSN 2018).
class Membership
{
public:
  Membership(MemberRecord aSelf,
             MembershipSettings aSettings,
             std::uint64_t aSeed);

  [[nodiscard]] const MemberRecord& Self() const noexcept { return m_self; }
  [[nodiscard]] const MemberTable& Members() const noexcept
  {
    return m_members;
  }
  /// \returns Up to `aCount` distinct present members, drawn at random.
  [[nodiscard]] std::vector<MemberPeer> Sample(std::size_t aCount);
  /// \returns Up to `aCount` present members of the own failure domain.
  [[nodiscard]] std::vector<MemberPeer> SampleOwnDomain(std::size_t aCount);
  /// \returns Members of the own failure domain, then of all domains if the own
  /// has too few; members may be repeated.
  [[nodiscard]] std::vector<MemberPeer> SampleOwnDomainFirst(
    std::size_t aCount);
  /// \returns One present member of each other failure domain, drawn at random.
  [[nodiscard]] std::vector<MemberPeer> SampleOtherDomains();
  /// \returns Failure domains with a present member, including the own.
  [[nodiscard]] std::set<std::string, std::less<>> DomainsPresent() const;
  /// \returns Whether this member is among the first kRelaysPerDomain by
  /// RankInDomain(). Relays exchange probes, members and versions with other
  /// domains; a suspected relay is replaced within a period.
  [[nodiscard]] bool IsDomainRelay() const noexcept { return m_isDomainRelay; }
  /// Two, so that updates survive the loss of one.
  static constexpr std::size_t kRelaysPerDomain = 2;
  /// \returns The rank, from 0, among the live members of the own failure
  /// domain, by link rate and then by hash of the slot.
  [[nodiscard]] std::size_t RankInDomain() const;
  /// \returns The position of this daemon among the first kRelaysPerDomain of
  /// each domain, which all live members compute alike; the last position of
  /// its domain for a daemon that is not among them.
  [[nodiscard]] ReaderPosition PositionAmongReaders() const;
  /// \returns Whether this daemon ranks first among the live members of all
  /// domains.
  [[nodiscard]] bool IsHighestRanked() const;
  /// \returns Number of live members that come before this daemon in an order
  /// by hash, which is another one for each quota shard.
  [[nodiscard]] std::size_t RankForShard(std::uint32_t aShard) const;
  /// \returns Nothing if this daemon ranks first.
  [[nodiscard]] std::optional<MemberPeer> HighestRanked() const;
  [[nodiscard]] MemberPeer PeerOf(const MemberRecord& aRecord) const;
  [[nodiscard]] Version MinimumVersionOf(std::string_view aSlot) const;
  /// \returns Worker of the process before that of `aRecord` at its slot;
  /// without an ID tag: not known.
  [[nodiscard]] WorkerDescription PreviousWorkerOf(
    const MemberRecord& aRecord) const;
  /// \returns Digests of all present members, including this one.
  [[nodiscard]] MemberDigests Digests() const;
  /// \returns Records of differing buckets, from a random bucket on; about
  /// kMaxSyncRecords at most, or all records for a joining daemon.
  [[nodiscard]] std::vector<MemberRecord> DifferingRecords(
    const MemberDigests& aTheirs);
  static constexpr std::size_t kMaxSyncRecords = 512;

  /// \brief Probes an address to join the group.
  [[nodiscard]] MembershipActions Contact(const MemberPeer& aPeer);
  [[nodiscard]] MembershipActions OnTick(TimePoint aNow);
  [[nodiscard]] MembershipActions OnMessage(TimePoint aNow,
                                            const MemberAddress& aFrom,
                                            const GossipMessage& aMessage);
  /// \brief Applies records from a peer's table without gossiping them further.
  [[nodiscard]] MembershipActions OnRecords(
    TimePoint aNow,
    const std::vector<MemberRecord>& aRecords);
  /// \brief Sets the own state and sends it to several members at once.
  [[nodiscard]] MembershipActions Announce(MemberState aState);
  /// \brief Announces new properties of the worker with a new incarnation.
  [[nodiscard]] MembershipActions Announce(MemberState aState,
                                           WorkerDescription aWorker);
  void RecordVersion(std::string_view aSlot, Version aVersion);

private:
  struct Probe
  {
    MemberTable::Index m_target{ 0 };
    std::string m_slot;
    std::uint64_t m_sequence{ 0 };
    TimePoint m_sent;
    TimePoint m_deadline;
    bool m_active{ false };
    bool m_isIndirect{ false };
  };
  /// A probe on behalf of another member.
  struct IndirectProbe
  {
    std::uint64_t m_sequence{ 0 };
    std::uint64_t m_originSequence{ 0 };
    MemberPeer m_origin;
    std::string m_target;
    TimePoint m_expires;
  };

  enum class DomainScope : std::uint8_t
  {
    OwnDomain,
    OtherDomain,
  };
  static constexpr std::size_t kDomainScopes = 2;

  [[nodiscard]] GossipMessage MakeMessage(GossipMessage::Kind aKind,
                                          DomainScope aScope);
  [[nodiscard]] std::vector<MemberRecord> SelectUpdates(DomainScope aScope);
  [[nodiscard]] DomainScope ScopeOf(const MemberRecord& aRecord) const;
  [[nodiscard]] static DomainScope ScopeOf(const MemberPeer& aPeer);
  [[nodiscard]] std::uint32_t TransmitLimit() const;
  [[nodiscard]] Duration SuspicionTime() const;
  void SendTo(MembershipActions& aOut,
              const MemberPeer& aTo,
              GossipMessage aMessage);
  void ApplyRecord(TimePoint aNow,
                   MembershipActions& aOut,
                   const MemberRecord& aRecord,
                   bool aEnqueue);
  void ApplyRecordOfSelf(const MemberRecord& aRecord);
  void MarkPending(MemberTable::Index aIndex, DomainScope aScope);
  /// \brief Queues the record for the own domain and, if it is a member of the
  /// own domain, for other domains.
  void MarkPending(MemberTable::Index aIndex);
  void Suspect(TimePoint aNow,
               MembershipActions& aOut,
               MemberTable::Index aIndex);
  void ExpireSuspects(TimePoint aNow, MembershipActions& aOut);
  void ForgetLostMembers(TimePoint aNow);
  void ContinueProbe(TimePoint aNow, MembershipActions& aOut, Probe& aProbe);
  void StartProbes(TimePoint aNow, MembershipActions& aOut);
  void StartProbe(TimePoint aNow, MembershipActions& aOut, DomainScope aScope);
  void ProbeLostMember(MembershipActions& aOut);
  void OnPing(MembershipActions& aOut,
              const MemberAddress& aFrom,
              const GossipMessage& aMessage);
  void OnAck(MembershipActions& aOut, const GossipMessage& aMessage);
  void OnPingRequest(TimePoint aNow,
                     MembershipActions& aOut,
                     const GossipMessage& aMessage);
  void OnProcessResumed(TimePoint aNow);
  [[nodiscard]] std::optional<MemberTable::Index> NextTarget(
    DomainScope aScope);
  [[nodiscard]] std::vector<MemberTable::Index>& ProbeRoundOf(
    const MemberRecord& aRecord);

  MemberRecord m_self;
  MembershipSettings m_settings;
  Random m_random;
  MemberTable m_members;
  /// Remaining targets of the current round.
  std::array<std::vector<MemberTable::Index>, kDomainScopes> m_probeRounds;
  std::array<std::vector<MemberTable::Index>, kDomainScopes> m_pendingUpdates;
  std::vector<MemberTable::Index> m_suspects;
  std::vector<MemberTable::Index> m_lostMembers;
  std::vector<IndirectProbe> m_indirectProbes;
  std::array<Probe, kDomainScopes> m_probes;
  bool m_isDomainRelay{ false };
  TimePoint m_nextProbe{};
  TimePoint m_lastTick{};
  std::uint64_t m_sequence{ 0 };
  std::uint32_t m_periods{ 0 };
  /// Failed probes less acked ones, at least 0; extends the timeouts, since
  /// this process may be slow.
  std::uint32_t m_localHealthScore{ 0 };
};

}
