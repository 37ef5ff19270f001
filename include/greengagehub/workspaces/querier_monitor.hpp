#pragma once

#include "greengagehub/core/clock.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace greengagehub {

/// \brief Detects that a coordinator is out of the reach of most of its peers,
/// from the queries that arrive.
class QuerierMonitor
{
public:
  /// \brief This daemon has begun to grant tokens.
  void Start(TimePoint aNow);
  /// \param aDaemon short hash of the slot of the daemon that sent the query.
  void OnQuery(TimePoint aNow, std::uint64_t aDaemon)
  {
    m_lastQueries[aDaemon] = aNow;
  }
  /// \param aPeers other members that are present.
  /// \returns Whether too few of them have sent queries for kTooFewFor.
  [[nodiscard]] bool IsOutOfReach(TimePoint aNow, std::size_t aPeers);
  /// \returns Daemons that sent a query recently.
  [[nodiscard]] std::size_t Queriers() const noexcept
  {
    return m_lastQueries.size();
  }

  static constexpr std::chrono::milliseconds kTooFewFor{ 2000 };
  /// Every daemon sends a query in this time.
  static constexpr std::chrono::milliseconds kRecent{ 1500 };
  /// In smaller fleets the silence of one peer says nothing.
  static constexpr std::size_t kMinPeers = 2;
  /// Fewer than one of this many peers are too few.
  static constexpr std::size_t kPeersPerQuerier = 4;

private:
  std::unordered_map<std::uint64_t, TimePoint> m_lastQueries;
  TimePoint m_lastEnough{};
};

}
