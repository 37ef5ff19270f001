#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/membership/member.hpp"

#include <optional>
#include <string>

namespace greengagehub {

/// \brief Keeps the addresses of a few daemons in the store, for daemons that
/// start and know nobody.
///
/// The first two of each failure domain write theirs, without a lease: a key
/// that lapses with its holder is missing just when all start again, and each
/// then takes seconds to find another. An address that is out of date costs its
/// reader one lost datagram.
class SeedKeeper
{
public:
  /// Places of a failure domain.
  static constexpr std::size_t kPlaces = 2;

  SeedKeeper(MemberRecord aSelf, std::uint64_t aSeed);

  /// \param aRank place among the present members of the own domain; a daemon
  /// that knows nobody yet has none.
  /// \returns The next call to the store, or nothing. One at a time.
  [[nodiscard]] std::optional<StoreRequest> OnTick(
    TimePoint aNow,
    std::optional<std::size_t> aRank);
  /// \brief The places were read.
  /// \param aOthers whether any address but the own stands there.
  void OnSeeds(TimePoint aNow, bool aOthers);
  /// \brief The store came back from an older copy, in which the own address
  /// may be missing: written again at the next tick.
  void OnStoreRestored() noexcept;
  /// \brief The store answered what OnTick asked for.
  void OnReply(TimePoint aNow, const StoreReply& aReply);

private:
  [[nodiscard]] StoreRequest Write();

  MemberRecord m_self;
  Random m_random;
  std::size_t m_place{ 0 };
  /// Of the own place, as far as known.
  Revision m_revision{ 0 };
  bool m_written{ false };
  bool m_busy{ false };
  TimePoint m_next{};
  /// Since when the store was seen to hold no other's address.
  std::optional<TimePoint> m_noneSince{};
};

}
