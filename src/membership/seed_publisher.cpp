#include "greengagehub/membership/seed_publisher.hpp"

#include "greengagehub/membership/watch_lease.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace greengagehub {

namespace {

using Status = StoreReply::Status;

constexpr auto kRetryInterval = std::chrono::milliseconds{ 1000 };
/// Interval between checks that the published address is unchanged.
constexpr auto kVerifyInterval = std::chrono::milliseconds{ 60'000 };
/// Upper bound of the random delay before a daemon publishes the first seed.
constexpr auto kMaxFirstWriteDelay = std::chrono::milliseconds{ 800 };

/// The cube root favours long delays: few daemons write early, and the rest
/// read those seeds before their own delay has passed. Of 60 daemons the first
/// writes after some 0.2 s and three more within the next 0.1 s.
std::chrono::milliseconds
FirstWriteDelay(Random& aRandom)
{
  std::uniform_real_distribution<double> uniform{ 0.0, 1.0 };
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    kMaxFirstWriteDelay * std::cbrt(uniform(aRandom)));
}

}

SeedPublisher::SeedPublisher(MemberRecord aSelf, std::uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_random(aSeed)
{
}

StoreRequest
SeedPublisher::Write()
{
  m_isRequestPending = true;
  return MakePut(SeedKey(m_self.m_domain, static_cast<std::uint32_t>(m_place)),
                 SeedToJson(m_self.m_address),
                 m_revision);
}

void
SeedPublisher::SetPlace(TimePoint aNow, std::size_t aPlace)
{
  m_place = aPlace;
  m_revision = 0;
  m_isWritten = false;
  // Earlier than the verification of the former place, but limited, as ranks
  // change often while a fleet starts.
  m_nextAttempt =
    std::min(m_nextAttempt, aNow + Jittered(m_random, kRetryInterval));
}

std::optional<StoreRequest>
SeedPublisher::OnTick(TimePoint aNow, std::optional<std::size_t> aRank)
{
  if (m_isRequestPending) {
    return std::nullopt;
  }
  if (aRank && *aRank < kSeedsPerDomain && *aRank != m_place) {
    SetPlace(aNow, *aRank);
  }
  if (aNow < m_nextAttempt) {
    return std::nullopt;
  }
  if (!aRank) {
    const bool isDue =
      m_firstWriteAt && aNow >= *m_firstWriteAt && !m_isWritten;
    if (!isDue) {
      return std::nullopt;
    }
    m_place = 0;
    return Write();
  }
  if (*aRank >= kSeedsPerDomain) {
    m_isWritten = false;
    return std::nullopt;
  }
  if (!m_isWritten) {
    return Write();
  }
  m_isRequestPending = true;
  return MakeCheck(
    SeedKey(m_self.m_domain, static_cast<std::uint32_t>(m_place)), m_revision);
}

void
SeedPublisher::OnSeeds(TimePoint aNow, bool aHasOthers)
{
  if (aHasOthers) {
    m_firstWriteAt.reset();
  } else if (!m_firstWriteAt) {
    m_firstWriteAt = aNow + FirstWriteDelay(m_random);
  }
}

void
SeedPublisher::OnStoreRestored() noexcept
{
  m_isWritten = false;
  m_revision = 0;
  m_nextAttempt = TimePoint{};
}

void
SeedPublisher::OnReply(TimePoint aNow, const StoreReply& aReply)
{
  m_isRequestPending = false;
  if (aReply.m_status == Status::Conflict) {
    m_revision = aReply.m_revision;
    m_isWritten = aReply.m_value == SeedToJson(m_self.m_address);
    // The next attempt overwrites the address of another daemon.
    m_nextAttempt =
      aNow + Jittered(m_random, m_isWritten ? kVerifyInterval : kRetryInterval);
    return;
  }
  if (aReply.m_status != Status::Ok) {
    m_nextAttempt = aNow + Jittered(m_random, kRetryInterval);
    return;
  }
  if (!m_isWritten) {
    m_revision = aReply.m_revision;
    m_isWritten = true;
  }
  m_nextAttempt = aNow + Jittered(m_random, kVerifyInterval);
}

}
