#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/membership/member.hpp"

#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief Limits the daemons of a failure domain that watch the store.
struct WatchLeaseSettings
{
  std::uint32_t m_watchers{ 2 };
  std::chrono::milliseconds m_leaseTime{ std::chrono::seconds{ 6 } };
  /// Initial interval between attempts to acquire one of the m_watchers seed
  /// keys, jittered; doubles with each failure.
  std::chrono::milliseconds m_retry{ std::chrono::seconds{ 2 } };
  /// Upper bound of the interval; also used while all keys are taken.
  std::chrono::milliseconds m_maxRetry{ std::chrono::seconds{ 5 } };
};

/// \brief Acquires and renews a lease on one of the seed keys of a failure
/// domain; its holder watches the store.
///
/// A daemon that resumes with an expired lease causes one superfluous read and
/// no inconsistency. Joining daemons use the addresses in the keys. Used only
/// without a platform; with one, SeedPublisher writes the keys, without a
/// lease.
class WatchLease
{
public:
  WatchLease(WatchLeaseSettings aSettings,
             MemberRecord aSelf,
             std::uint64_t aSeed);

  [[nodiscard]] bool Holds(TimePoint aNow) const noexcept
  {
    return m_hasLease && aNow < m_expires;
  }

  void OnAllPlacesTaken(TimePoint aNow);
  /// \returns Whether the next OnTick() uses the rank, which is expensive to
  /// compute.
  [[nodiscard]] bool NeedsRank(TimePoint aNow) const noexcept;
  /// \param aRank Membership::RankInDomain().
  /// \returns The next request to the store, if any; at most one is pending.
  [[nodiscard]] std::optional<StoreRequest> OnTick(TimePoint aNow,
                                                   std::size_t aRank);
  [[nodiscard]] std::optional<StoreRequest> OnReply(TimePoint aNow,
                                                    const StoreReply& aReply);

private:
  enum class State : std::uint8_t
  {
    Idle,
    ListingPlaces,
    RequestingLease,
    WritingSeed,
    RenewingLease,
  };

  void BackOff(TimePoint aNow);
  [[nodiscard]] StoreRequest WriteSeed();
  [[nodiscard]] std::optional<StoreRequest> OnPlacesListed(
    TimePoint aNow,
    const StoreReply& aReply);

  WatchLeaseSettings m_settings;
  MemberRecord m_self;
  Random m_random;
  State m_state{ State::Idle };
  std::uint64_t m_lease{ 0 };
  std::uint32_t m_place{ 0 };
  std::uint32_t m_placesTried{ 0 };
  bool m_hasLease{ false };
  TimePoint m_requestedAt{};
  TimePoint m_expires{};
  TimePoint m_nextTry{};
  std::chrono::milliseconds m_backoff;
};

/// \returns The value of a seed key: an address as JSON.
[[nodiscard]] std::string
SeedToJson(const MemberAddress& aAddress);
/// \returns The failure domain of a seed key; empty for any other key.
[[nodiscard]] std::string
DomainOfSeed(std::string_view aKey);
/// \returns Nothing if the value is malformed.
[[nodiscard]] std::optional<MemberAddress>
ParseSeed(std::string_view aText);
[[nodiscard]] std::string
SeedPrefix(std::string_view aDomain);
[[nodiscard]] std::string
SeedKey(std::string_view aDomain, std::uint32_t aPlace);

}
