#pragma once

#include "greengagehub/membership/membership.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief Discovers failure domains of which no member is known, through the
/// seed addresses in the store. Runs on the relays of a domain.
///
/// Needed when all daemons restart at once: each joins through the seeds of its
/// own domain, so without discovery the domains would stay separate groups.
class DomainDiscovery
{
public:
  struct Seed
  {
    std::string m_domain;
    MemberPeer m_peer;
  };

  /// \param aSeeds all seeds of other failure domains, read from the store.
  void OnSeeds(std::vector<Seed> aSeeds) { m_seeds = std::move(aSeeds); }

  /// \returns Seeds to contact now, of domains with no known member; empty
  /// between two contact intervals.
  [[nodiscard]] std::vector<MemberPeer> PeersToContact(
    TimePoint aNow,
    const Membership& aMembership);
  /// \returns Whether to read the seeds now; if so, schedules the next read.
  [[nodiscard]] bool IsReadDue(TimePoint aNow);

private:
  static constexpr std::chrono::milliseconds kMinReadInterval{ 1000 };
  static constexpr std::chrono::milliseconds kMaxReadInterval{ 30'000 };

  std::vector<Seed> m_seeds;
  TimePoint m_nextContact{};
  TimePoint m_nextRead{};
  /// Doubles with each read, reset while a domain is missing.
  std::chrono::milliseconds m_readInterval{ kMinReadInterval };
};

}
