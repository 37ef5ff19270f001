#pragma once

#include "greengagehub/dissemination/disseminator.hpp"
#include "greengagehub/membership/membership.hpp"

namespace greengagehub {

/// \brief Sends new versions to other daemons. Does no I/O.
class VersionPusher
{
public:
  enum class Scope : std::uint8_t
  {
    /// Members of any failure domain.
    AnyDomain,
    /// Members of the own domain, and relays also to each other domain.
    OwnDomain,
  };

  explicit VersionPusher(Scope aScope) noexcept
    : m_scope(aScope)
  {
  }

  /// \returns Datagrams to send after the holder has advanced from `aBefore`.
  [[nodiscard]] std::vector<GossipSend> OnAdvanced(
    const Disseminator& aDisseminator,
    const ConfigHolder& aHolder,
    Membership& aMembership,
    Version aBefore) const;

private:
  [[nodiscard]] std::vector<MemberPeer> Targets(Membership& aMembership,
                                                std::uint32_t aFanout) const;

  Scope m_scope;
};

}
