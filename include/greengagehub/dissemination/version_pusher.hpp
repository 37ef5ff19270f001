#pragma once

#include "greengagehub/dissemination/disseminator.hpp"
#include "greengagehub/membership/membership.hpp"

#include <map>

namespace greengagehub {

/// \brief Sends new versions to other daemons until enough of them have
/// confirmed. Does no I/O.
///
/// A receiver confirms a push with its own version. Where it does not, the push
/// is repeated, and further members are tried, four times as many each round:
/// - the successor of this daemon in the domain's order by hash, so that each
///   member that answers has a predecessor that looks for it,
/// - members of the domain drawn at random, so that a version spreads in
///   logarithmic time,
/// - by relays, one member of each other domain.
class VersionPusher
{
public:
  VersionPusher(DisseminationSettings aSettings, std::uint64_t aSeed)
    : m_settings(aSettings)
    , m_random(aSeed)
  {
  }

  /// \returns Datagrams to send after the holder has advanced from `aBefore`.
  [[nodiscard]] std::vector<GossipSend> OnAdvanced(
    TimePoint aNow,
    const ConfigHolder& aHolder,
    const Membership& aMembership,
    Version aBefore);
  /// \brief Handles a datagram after its entries were staged.
  /// \returns The confirmation that it requests, and entries that the sender
  /// lacks if it is the answer to a push.
  [[nodiscard]] std::vector<GossipSend> OnMessage(
    const ConfigHolder& aHolder,
    const Membership& aMembership,
    const GossipMessage& aMessage);
  /// \returns Datagrams to repeat, and to further members.
  [[nodiscard]] std::vector<GossipSend> OnTick(TimePoint aNow,
                                               const ConfigHolder& aHolder,
                                               const Membership& aMembership);

private:
  struct Target
  {
    std::string m_slot;
    MemberPeer m_peer;
    TimePoint m_lastSent{};
    int m_sendCount{ 0 };
    bool m_isConfirmed{ false };
  };
  /// Pushes of one version to some of the targets, which are tried in order.
  struct Delivery
  {
    std::vector<Target> m_targets{};
    std::size_t m_tried{ 0 };
    std::size_t m_wanted{ 1 };
    std::size_t m_confirmed{ 0 };
    /// Candidates of the next round, beside those known not to answer.
    std::size_t m_width{ 1 };
    TimePoint m_nextRound{};
    /// Whether all members up to the first that confirms must get the version.
    bool m_coversSkipped{ false };

    [[nodiscard]] bool IsSatisfied() const noexcept
    {
      return m_confirmed >= m_wanted;
    }
  };
  struct Unanswered
  {
    TimePoint m_first;
    TimePoint m_last;
  };

  [[nodiscard]] Delivery ToSuccessor(const Membership& aMembership) const;
  /// \returns A delivery to one of the members, tried in random order.
  [[nodiscard]] Delivery ToAnyOf(const Membership& aMembership,
                                 std::vector<const MemberRow*> aRows);
  [[nodiscard]] Delivery ToRandomMembers(const Membership& aMembership);
  [[nodiscard]] std::vector<Delivery> ToOtherDomains(
    const Membership& aMembership);
  [[nodiscard]] bool IsUnresponsive(TimePoint aNow,
                                    const std::string& aSlot) const;
  [[nodiscard]] std::vector<VersionEntry> EntriesFor(
    const ConfigHolder& aHolder,
    const Membership& aMembership,
    const std::string& aSlot) const;
  [[nodiscard]] GossipSend MakePush(const ConfigHolder& aHolder,
                                    const Membership& aMembership,
                                    const Target& aTarget) const;
  void RepeatUnconfirmed(TimePoint aNow,
                         const ConfigHolder& aHolder,
                         const Membership& aMembership,
                         Delivery& aDelivery,
                         std::vector<GossipSend>& aOut);
  /// Sends to further candidates.
  void StartRoundIfDue(TimePoint aNow,
                       const ConfigHolder& aHolder,
                       const Membership& aMembership,
                       Delivery& aDelivery,
                       std::vector<GossipSend>& aOut);
  void SendTo(TimePoint aNow,
              const ConfigHolder& aHolder,
              const Membership& aMembership,
              Target& aTarget,
              std::vector<GossipSend>& aOut);
  void Confirm(const std::string& aSlot);

  DisseminationSettings m_settings;
  Random m_random;
  /// Version that is being pushed, and the one in force here before it.
  Version m_version;
  Version m_before;
  std::vector<Delivery> m_deliveries;
  /// Members that have sent nothing since a push, across versions.
  std::map<std::string, Unanswered, std::less<>> m_unanswered;
};

}
