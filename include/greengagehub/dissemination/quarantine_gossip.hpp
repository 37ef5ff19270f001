#pragma once

#include "greengagehub/membership/membership.hpp"
#include "greengagehub/quarantine/quarantine.hpp"

#include <chrono>

namespace greengagehub {

/// \brief Exchanges quarantine updates with other daemons. Does no I/O.
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

  /// \returns Datagrams to send after the quarantine has changed.
  [[nodiscard]] std::vector<GossipSend> OnChanged(
    Membership& aMembership,
    const QuarantineUpdate& aUpdate,
    Scope aScope) const;
  /// \brief Handles a datagram after its updates were applied.
  /// \returns This daemon's verdicts if those of the sender differ.
  [[nodiscard]] std::vector<GossipSend> OnMessage(
    TimePoint aNow,
    const Membership& aMembership,
    const Quarantine& aQuarantine,
    const GossipMessage& aMessage);

private:
  TimePoint m_nextSync{};
};

}
