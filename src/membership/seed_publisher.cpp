#include "greengagehub/membership/seed_publisher.hpp"

#include "greengagehub/membership/watch_lease.hpp"

#include <cmath>
#include <random>

namespace greengagehub {

namespace {

using Status = StoreReply::Status;

/// Interval between attempts while the store is unavailable.
constexpr auto kRetryInterval = std::chrono::milliseconds{ 1000 };
/// Interval between checks that the published address is unchanged.
constexpr auto kVerifyInterval = std::chrono::milliseconds{ 60'000 };
/// Upper bound of the random delay before a daemon that finds no seed publishes
/// its own address.
constexpr auto kMaxFirstWriteDelay = std::chrono::milliseconds{ 800 };

/// The cube root of a uniform value favours long delays: few of many daemons
/// write early, and the rest read their seeds before their own delay ends.
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
  m_requestPending = true;
  return MakePut(SeedKey(m_self.m_domain, static_cast<std::uint32_t>(m_place)),
                 SeedToJson(m_self.m_address),
                 m_revision);
}

std::optional<StoreRequest>
SeedPublisher::OnTick(TimePoint aNow, std::optional<std::size_t> aRank)
{
  if (m_requestPending || aNow < m_next) {
    return std::nullopt;
  }
  if (!aRank) {
    const bool isDue = m_firstWriteAt && aNow >= *m_firstWriteAt && !m_written;
    if (!isDue) {
      return std::nullopt;
    }
    m_place = 0;
    return Write();
  }
  if (*aRank >= kPlacesPerDomain) {
    m_written = false;
    return std::nullopt;
  }
  if (*aRank != m_place) {
    m_place = *aRank;
    m_revision = 0;
    m_written = false;
  }
  if (!m_written) {
    return Write();
  }
  m_requestPending = true;
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
  m_written = false;
  m_revision = 0;
  m_next = TimePoint{};
}

void
SeedPublisher::OnReply(TimePoint aNow, const StoreReply& aReply)
{
  m_requestPending = false;
  if (aReply.m_status == Status::Conflict) {
    m_revision = aReply.m_revision;
    m_written = aReply.m_value == SeedToJson(m_self.m_address);
    // The next attempt overwrites the address of another daemon if this one
    // still has the rank.
    m_next =
      aNow + Jittered(m_random, m_written ? kVerifyInterval : kRetryInterval);
    return;
  }
  if (aReply.m_status != Status::Ok) {
    m_next = aNow + Jittered(m_random, kRetryInterval);
    return;
  }
  if (!m_written) {
    m_revision = aReply.m_revision;
    m_written = true;
  }
  m_next = aNow + Jittered(m_random, kVerifyInterval);
}

}
