#pragma once

#include "greengagehub/core/random.hpp"
#include "greengagehub/membership/gossip_message.hpp"
#include "greengagehub/membership/member_table.hpp"

#include <array>
#include <chrono>
#include <optional>
#include <set>
#include <vector>

namespace greengagehub {

/// \brief Times and sizes of failure detection.
struct MembershipSettings
{
  /// One member is probed each period.
  std::chrono::milliseconds m_period{ 1000 };
  /// How long a direct probe may take before others are asked to probe.
  std::chrono::milliseconds m_ackTimeout{ 300 };
  /// Members asked to probe for us.
  std::uint32_t m_indirect{ 3 };
  /// A suspicion lasts this many periods times log10 of the fleet's size.
  std::uint32_t m_suspicionFactor{ 4 };
  /// A change is passed on this many times log2 of the fleet's size by each
  /// that hears it. All but one in e^6 of 58 hear it so, and the comparison of
  /// members heals the rest; three times as often, probes were full for 80 s
  /// after a start and made up most of the bytes between domains on a quiet
  /// day.
  std::uint32_t m_transmitFactor{ 1 };
  /// Records passed on in one datagram.
  std::uint32_t m_maxUpdates{ 6 };
  /// Lost members are tried again once in this many periods.
  std::uint32_t m_lostEvery{ 5 };
  /// How long a lost member is remembered and tried.
  std::chrono::milliseconds m_forgetAfter{ std::chrono::hours{ 24 } };
};

/// \brief What a step asks the daemon to do.
struct MembershipActions
{
  std::vector<GossipSend> m_sends;
  std::vector<MemberEvent> m_events;
};

/// \brief Who is there: probes, suspicion, refutation, leaving, rejoining.
///
/// Each period one member of the own failure domain is probed (in a shuffled
/// round, so that each is probed once a round) and passes on the news; no
/// answer, then through others; no answer, then it
/// is suspected, and dead after a time that grows with the log of the fleet,
/// unless it refutes with a higher incarnation. Cost for each daemon does not
/// grow with the fleet.
///
/// Between failure domains, where bytes are dear, only the speakers of each
/// probe, and what they pass on is their own domain's news. What crosses grows
/// with the number of domains and not with that of the daemons: with a probe of
/// any member each second, 295 daemons in five domains sent 240 probes a second
/// across; ten speakers send ten. After Das, Gupta and Motivala, "SWIM" (DSN
/// 2002), with a local health score after Dadgar et al., "Lifeguard" (DSN
/// 2018).
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
  /// \returns Up to `aCount` different present members, chosen at random.
  [[nodiscard]] std::vector<MemberPeer> Sample(std::size_t aCount);
  /// \returns The same, all of the own failure domain.
  [[nodiscard]] std::vector<MemberPeer> SampleNear(std::size_t aCount);
  /// \returns The same, of the own failure domain as far as it has so many.
  [[nodiscard]] std::vector<MemberPeer> SampleNearFirst(std::size_t aCount);
  /// \returns One present member of each other failure domain, at random.
  [[nodiscard]] std::vector<MemberPeer> SampleEachDomain();
  /// \returns Failure domains of which a member is present, the own included.
  [[nodiscard]] std::set<std::string, std::less<>> DomainsPresent() const;
  /// \returns Whether this member speaks for its failure domain: it probes
  /// beyond it, compares members with others and pushes versions to them. The
  /// first kSpeakers by RankInDomain() do, so that a speaker that is suspected
  /// is followed by the next one within a period.
  [[nodiscard]] bool SpeaksForDomain() const noexcept { return m_speaks; }
  /// Two, as one may be lost with news on its way.
  static constexpr std::size_t kSpeakers = 2;
  /// \returns Place of this daemon among the present ones of its failure
  /// domain, by a hash of the slot; who watches the store follows from it.
  [[nodiscard]] std::size_t RankInDomain() const;
  /// \returns Whether it is the first of all domains by the same order.
  [[nodiscard]] bool IsFirstOfAll() const;
  /// \returns Where to reach that one; nothing if it is this member.
  [[nodiscard]] std::optional<MemberPeer> FirstOfAll() const;
  /// \returns Where to reach the member, seen from here.
  [[nodiscard]] MemberPeer PeerOf(const MemberRecord& aRecord) const;
  [[nodiscard]] Version FloorOf(std::string_view aSlot) const;
  /// \returns Digests of all present members, this one included.
  [[nodiscard]] MemberDigests Digests() const;
  /// \returns Records of the buckets in which the other's digests differ, from
  /// a bucket at random on, at most about kMaxSyncRecords of them: after the
  /// loss of a failure domain every bucket differs, and whole tables exchanged
  /// by everyone would take far more than the budget of bytes. One that knows
  /// nobody gets all.
  [[nodiscard]] std::vector<MemberRecord> RecordsFor(
    const MemberDigests& aTheirs);
  static constexpr std::size_t kMaxSyncRecords = 512;

  /// \brief Probes an address of which only that is known, to join.
  [[nodiscard]] MembershipActions Contact(const MemberPeer& aPeer);
  [[nodiscard]] MembershipActions OnTick(TimePoint aNow);
  [[nodiscard]] MembershipActions OnMessage(TimePoint aNow,
                                            const MemberAddress& aFrom,
                                            const GossipMessage& aMessage);
  /// \brief Takes in records from a peer's whole table.
  [[nodiscard]] MembershipActions OnRecords(
    TimePoint aNow,
    const std::vector<MemberRecord>& aRecords);
  /// \brief Announces Leaving or Left to many at once.
  [[nodiscard]] MembershipActions Announce(MemberState aState);
  /// \brief As above, with what the worker can do now; the record gets a
  /// higher incarnation, so that it overrides every earlier one.
  [[nodiscard]] MembershipActions Announce(MemberState aState,
                                           WorkerFigures aWorker);
  /// \brief Highest version seen in force at a slot.
  void NoteVersion(std::string_view aSlot, Version aVersion);

private:
  /// A probe under way.
  struct Probe
  {
    MemberTable::Index m_target{ 0 };
    std::string m_slot;
    std::uint64_t m_sequence{ 0 };
    TimePoint m_sent;
    TimePoint m_ends;
    bool m_active{ false };
    bool m_indirect{ false };
  };
  /// A probe made on behalf of another member.
  struct Relay
  {
    std::uint64_t m_sequence{ 0 };
    std::uint64_t m_theirs{ 0 };
    MemberPeer m_origin;
    std::string m_target;
    TimePoint m_expires;
  };

  /// News that is passed on in the own failure domain, or beyond it.
  enum class Reach : std::uint8_t
  {
    Near,
    Far,
  };
  static constexpr std::size_t kReaches = 2;

  [[nodiscard]] GossipMessage Make(GossipMessage::Kind aKind, Reach aReach);
  [[nodiscard]] std::vector<MemberRecord> TakeUpdates(Reach aReach);
  [[nodiscard]] Reach ReachOf(const MemberRecord& aRecord) const;
  [[nodiscard]] static Reach ReachOf(const MemberPeer& aPeer);
  [[nodiscard]] std::uint32_t TransmitLimit() const;
  [[nodiscard]] Duration SuspicionTime() const;
  void SendTo(MembershipActions& aOut,
              const MemberPeer& aTo,
              GossipMessage aMessage);
  void Adopt(TimePoint aNow,
             MembershipActions& aOut,
             const MemberRecord& aRecord,
             bool aPassOn);
  void AdoptSelf(const MemberRecord& aRecord);
  void MarkPending(MemberTable::Index aIndex, Reach aReach);
  /// \brief To be told near, and far if it is this domain's own.
  void MarkPending(MemberTable::Index aIndex);
  void Suspect(TimePoint aNow,
               MembershipActions& aOut,
               MemberTable::Index aIndex);
  void ExpireSuspects(TimePoint aNow, MembershipActions& aOut);
  void ForgetLost(TimePoint aNow);
  void ContinueProbe(TimePoint aNow, MembershipActions& aOut, Probe& aProbe);
  /// \brief Begins a period.
  void StartProbes(TimePoint aNow, MembershipActions& aOut);
  void StartProbe(TimePoint aNow, MembershipActions& aOut, Reach aReach);
  void ProbeLost(MembershipActions& aOut);
  void OnPing(MembershipActions& aOut,
              const MemberAddress& aFrom,
              const GossipMessage& aMessage);
  void OnAck(MembershipActions& aOut, const GossipMessage& aMessage);
  void OnPingRequest(TimePoint aNow,
                     MembershipActions& aOut,
                     const GossipMessage& aMessage);
  void OnProcessResumed(TimePoint aNow);
  [[nodiscard]] std::optional<MemberTable::Index> NextTarget(Reach aReach);
  [[nodiscard]] std::vector<MemberTable::Index>& RoundOf(
    const MemberRecord& aRecord);

  MemberRecord m_self;
  MembershipSettings m_settings;
  Random m_random;
  MemberTable m_members;
  /// Whom to probe next, and whose records to pass on, near and far.
  std::array<std::vector<MemberTable::Index>, kReaches> m_rounds;
  std::array<std::vector<MemberTable::Index>, kReaches> m_pending;
  std::vector<MemberTable::Index> m_suspects;
  std::vector<MemberTable::Index> m_lost;
  std::vector<Relay> m_relays;
  std::array<Probe, kReaches> m_probes;
  bool m_speaks{ false };
  TimePoint m_nextProbe{};
  TimePoint m_lastTick{};
  std::uint64_t m_sequence{ 0 };
  std::uint32_t m_periods{ 0 };
  /// Own probes that failed lately: a slow process suspects later.
  std::uint32_t m_slowness{ 0 };
};

}
