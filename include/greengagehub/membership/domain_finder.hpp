#pragma once

#include "greengagehub/membership/membership.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief How the speakers of a failure domain find the other domains: by the
/// addresses that stand in the store for each, while they know no member of it.
///
/// Answers the load pattern of all losing power at once: each daemon joins
/// those of its own domain, by addresses of its own domain, and nobody
/// remembers any other. Without this the domains never meet again: a domain
/// that has no worker of a service answered "no worker" from then on.
class DomainFinder
{
public:
  struct Seed
  {
    std::string m_domain;
    MemberPeer m_peer;
  };

  /// \brief The store was read.
  /// \param aSeeds addresses of other failure domains.
  void OnSeeds(std::vector<Seed> aSeeds) { m_seeds = std::move(aSeeds); }

  /// \returns Whom to ask now: those of domains of which no member is known.
  [[nodiscard]] std::vector<MemberPeer> ToAsk(TimePoint aNow,
                                              const Membership& aMembership);
  /// \returns Whether to read the store again; asked by speakers only.
  [[nodiscard]] bool ReadIsDue(TimePoint aNow);

private:
  /// Between two reads of the addresses: while a domain is missing they may be
  /// about to be written; later, one may have come that nobody here has heard
  /// of.
  static constexpr std::chrono::milliseconds kFirstRead{ 1000 };
  static constexpr std::chrono::milliseconds kLastRead{ 30'000 };

  std::vector<Seed> m_seeds;
  TimePoint m_nextAsk{};
  TimePoint m_nextRead{};
  /// Until the next read; grows while they bring nothing, as where there is one
  /// domain only.
  std::chrono::milliseconds m_readAfter{ kFirstRead };
};

}
