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
/// a stale address costs its reader one lost datagram. Used only with a
/// platform; without one, WatchLease writes the keys, with a lease.
class SeedPublisher
{
public:
  static constexpr std::size_t kSeedsPerDomain = 2;

  SeedPublisher(MemberRecord aSelf, std::uint64_t aSeed);

  /// \param aRank RankInDomain(); empty before this daemon has joined.
  /// \returns The next request to the store, if any; at most one is pending.
  [[nodiscard]] std::optional<StoreRequest> OnTick(
    TimePoint aNow,
    std::optional<std::size_t> aRank);
  /// \param aHasOthers whether the store holds the address of another daemon.
  void OnSeeds(TimePoint aNow, bool aHasOthers);
  /// \brief Causes the address to be written again at the next tick.
  void OnStoreRestored() noexcept;
  void OnReply(TimePoint aNow, const StoreReply& aReply);

private:
  [[nodiscard]] StoreRequest Write();
  /// \brief Moves to another seed key, which is to be written soon.
  void SetPlace(TimePoint aNow, std::size_t aPlace);

  MemberRecord m_self;
  Random m_random;
  std::size_t m_place{ 0 };
  /// Last known revision of the seed key; 0 if unknown.
  Revision m_revision{ 0 };
  bool m_isWritten{ false };
  bool m_isRequestPending{ false };
  TimePoint m_nextAttempt{};
  /// When to write the first seed if the store holds no other address.
  std::optional<TimePoint> m_firstWriteAt{};
};

}
