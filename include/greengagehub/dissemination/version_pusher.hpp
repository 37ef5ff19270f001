#pragma once

#include "greengagehub/dissemination/confirmed_deliveries.hpp"
#include "greengagehub/dissemination/disseminator.hpp"
#include "greengagehub/membership/membership.hpp"

namespace greengagehub {

/// \brief Sends new versions to other daemons until enough of them have
/// confirmed. Does no I/O.
///
/// A receiver confirms a push with its own version. A version goes to:
/// - the successor of this daemon in the domain's order by hash,
/// - members of the domain drawn at random, so that it spreads in logarithmic
///   time,
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
  [[nodiscard]] std::vector<Delivery> MakeDeliveries(
    const Membership& aMembership);
  [[nodiscard]] std::vector<VersionEntry> EntriesFor(
    const ConfigHolder& aHolder,
    const Membership& aMembership,
    const std::string& aSlot) const;

  DisseminationSettings m_settings;
  Random m_random;
  /// Version that is being pushed, and the one in force here before it.
  Version m_version;
  Version m_before;
  ConfirmedDeliveries m_deliveries;
};

}
