#pragma once

#include "greengagehub/dissemination/confirmed_deliveries.hpp"
#include "greengagehub/membership/membership.hpp"
#include "greengagehub/quarantine/quarantine.hpp"

#include <deque>

namespace greengagehub {

/// \brief Exchanges quarantine updates with other daemons. Does no I/O.
///
/// Each update is forwarded to some members at random. Verdicts are sent until
/// confirmed as well: to the successor in the domain, and by relays and the
/// daemon where a verdict originates to one member of each other domain.
class QuarantineGossip
{
public:
  enum class Scope : std::uint8_t
  {
    /// Local changes go to all failure domains.
    AllDomains,
    /// Received changes are forwarded within this daemon's domain.
    OwnDomain,
  };

  explicit QuarantineGossip(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  /// \param aQuarantine the state after the update.
  /// \returns Datagrams to send after the quarantine has changed.
  [[nodiscard]] std::vector<GossipSend> OnChanged(
    TimePoint aNow,
    Membership& aMembership,
    const Quarantine& aQuarantine,
    const QuarantineUpdate& aUpdate,
    Scope aScope);
  /// \returns Datagrams to repeat, and to further members.
  [[nodiscard]] std::vector<GossipSend> OnTick(TimePoint aNow,
                                               const Membership& aMembership,
                                               const Quarantine& aQuarantine);
  /// \brief Handles a datagram after its updates were applied.
  /// \returns The confirmation that it requests, and this daemon's verdicts if
  /// those of the sender differ.
  [[nodiscard]] std::vector<GossipSend> OnMessage(
    TimePoint aNow,
    const Membership& aMembership,
    const Quarantine& aQuarantine,
    const GossipMessage& aMessage);

private:
  struct RecentVerdict
  {
    Fingerprint m_fingerprint;
    TimePoint m_changedAt;
    bool m_isLocal;
  };

  void AddRecent(TimePoint aNow,
                 const std::vector<QuarantineVerdict>& aVerdicts,
                 Scope aScope);
  [[nodiscard]] std::vector<Delivery> MakeDeliveries(
    const Membership& aMembership);
  /// \returns The recent verdicts with their current ages.
  [[nodiscard]] std::vector<QuarantineVerdict> RecentVerdicts(
    TimePoint aNow,
    const Quarantine& aQuarantine) const;

  Random m_random;
  TimePoint m_nextSync{};
  /// Verdicts that are being delivered, oldest first.
  std::deque<RecentVerdict> m_recent;
  ConfirmedDeliveries m_deliveries;
  /// Number of the deliveries, which receivers confirm.
  std::uint64_t m_pushNumber{ 0 };
};

}
