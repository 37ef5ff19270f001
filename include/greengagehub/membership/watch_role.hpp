#pragma once

#include "greengagehub/core/clock.hpp"
#include "greengagehub/core/random.hpp"
#include "greengagehub/core/store_message.hpp"
#include "greengagehub/membership/member.hpp"

#include <optional>
#include <string>
#include <vector>

namespace greengagehub {

/// \brief How many daemons of a failure domain watch the store, and how they
/// hold their place.
struct WatchRoleSettings
{
  std::uint32_t m_watchers{ 2 };
  std::chrono::milliseconds m_leaseTime{ std::chrono::seconds{ 6 } };
  /// Between tries to take a place, jittered; grows while the store is away.
  std::chrono::milliseconds m_retry{ std::chrono::seconds{ 2 } };
  /// Also the time between looks at places that are all taken, which bounds
  /// how long a lost watcher is missed.
  std::chrono::milliseconds m_maxRetry{ std::chrono::seconds{ 5 } };
};

/// \brief Holds one of a domain's few seed keys under a lease, and with it the
/// right to watch the store.
///
/// No safety rests on the lease: a holder that was paused and still believes
/// in it reads the log once more than needed, that is all. The keys bound how
/// many watch at once, and give joining daemons addresses to start from.
class WatchRole
{
public:
  WatchRole(WatchRoleSettings aSettings,
            MemberRecord aSelf,
            std::uint64_t aSeed);

  [[nodiscard]] bool Holds(TimePoint aNow) const noexcept
  {
    return m_held && aNow < m_expires;
  }

  /// \brief All places of the domain were seen taken: leave the store alone
  /// for a while.
  void NoteAllTaken(TimePoint aNow);
  /// \returns Whether the next tick needs this daemon's rank, which costs a
  /// pass over all members.
  [[nodiscard]] bool NeedsRank(TimePoint aNow) const noexcept;
  /// \param aRank place among the present members of the own domain.
  /// \returns The next call to the store, or nothing. One at a time.
  [[nodiscard]] std::optional<StoreRequest> OnTick(TimePoint aNow,
                                                   std::size_t aRank);
  [[nodiscard]] std::optional<StoreRequest> OnReply(TimePoint aNow,
                                                    const StoreReply& aReply);

private:
  enum class State : std::uint8_t
  {
    Idle,
    /// Reads which places are taken: a read is cheaper than writes that
    /// conflict.
    Looking,
    Granting,
    Writing,
    Keeping,
  };

  void BackOff(TimePoint aNow);
  [[nodiscard]] StoreRequest WriteSeed();
  [[nodiscard]] std::optional<StoreRequest> OnPlaces(TimePoint aNow,
                                                     const StoreReply& aReply);

  WatchRoleSettings m_settings;
  MemberRecord m_self;
  Random m_random;
  State m_state{ State::Idle };
  std::uint64_t m_lease{ 0 };
  std::uint32_t m_place{ 0 };
  std::uint32_t m_placesTried{ 0 };
  bool m_held{ false };
  TimePoint m_asked{};
  TimePoint m_expires{};
  TimePoint m_nextTry{};
  std::chrono::milliseconds m_backoff;
};

/// \returns The value of a seed key: the address to join by.
[[nodiscard]] std::string
SeedToJson(const MemberAddress& aAddress);
/// \returns The address, or nothing for a value that makes no sense.
/// \returns The failure domain of a seed's key; empty for another key.
[[nodiscard]] std::string
DomainOfSeed(std::string_view aKey);
[[nodiscard]] std::optional<MemberAddress>
ParseSeed(std::string_view aText);
/// \returns What the keys of all places of a domain begin with.
[[nodiscard]] std::string
SeedPrefix(std::string_view aDomain);
[[nodiscard]] std::string
SeedKey(std::string_view aDomain, std::uint32_t aPlace);

}
