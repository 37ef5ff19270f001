#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/membership/member.hpp"

#include <optional>
#include <string>

namespace greengagehub {

/// \brief Publishes this daemon's address in the store as a seed, through which
/// starting daemons join.
///
/// The first daemons of each failure domain by rank publish theirs. The keys
/// have no lease, so that seeds are available after all daemons have stopped;
/// a stale address costs its reader one lost datagram.
class SeedPublisher
{
public:
  /// Number of seeds of a failure domain.
  static constexpr std::size_t kPlacesPerDomain = 2;

  SeedPublisher(MemberRecord aSelf, std::uint64_t aSeed);

  /// \param aRank RankInDomain(); nothing before this daemon has joined.
  /// \returns The next request to the store, if any; at most one is pending.
  [[nodiscard]] std::optional<StoreRequest> OnTick(
    TimePoint aNow,
    std::optional<std::size_t> aRank);
  /// \brief The seeds were read from the store.
  /// \param aHasOthers whether they contain the address of another daemon.
  void OnSeeds(TimePoint aNow, bool aHasOthers);
  /// \brief The store was restored from a backup; the address is written again
  /// at the next tick.
  void OnStoreRestored() noexcept;
  /// \brief The store answered the request returned by OnTick().
  void OnReply(TimePoint aNow, const StoreReply& aReply);

private:
  [[nodiscard]] StoreRequest Write();

  MemberRecord m_self;
  Random m_random;
  std::size_t m_place{ 0 };
  /// Last known revision of the seed key.
  Revision m_revision{ 0 };
  bool m_written{ false };
  bool m_requestPending{ false };
  TimePoint m_next{};
  /// When to write the first seed if the store holds no other address.
  std::optional<TimePoint> m_firstWriteAt{};
};

}
