#include "greengagehub/membership/seed_keeper.hpp"

#include "greengagehub/membership/watch_role.hpp"

#include <cmath>
#include <random>

namespace greengagehub {

namespace {

using Status = StoreReply::Status;

/// Between two tries while the store is away.
constexpr auto kRetry = std::chrono::milliseconds{ 1000 };
/// Between two looks at whether the own address still stands.
constexpr auto kVerify = std::chrono::milliseconds{ 60'000 };
/// A daemon that finds no address waits up to this long before it writes its
/// own: where all start for the first time, one of them is enough.
constexpr auto kFirstAfter = std::chrono::milliseconds{ 800 };

/// \returns How long this daemon waits. By the cube root of an even draw few of
/// many are early, and the others see their address before their own time
/// comes: of 60 the first writes after some 0.2 s, and three more within the
/// next 0.1 s; of three the first after half a second.
std::chrono::milliseconds
WaitBeforeFirst(Random& aRandom)
{
  std::uniform_real_distribution<double> even{ 0.0, 1.0 };
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    kFirstAfter * std::cbrt(even(aRandom)));
}

}

SeedKeeper::SeedKeeper(MemberRecord aSelf, std::uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_random(aSeed)
{
}

StoreRequest
SeedKeeper::Write()
{
  m_busy = true;
  return MakePut(SeedKey(m_self.m_domain, static_cast<std::uint32_t>(m_place)),
                 SeedToJson(m_self.m_address),
                 m_revision);
}

std::optional<StoreRequest>
SeedKeeper::OnTick(TimePoint aNow, std::optional<std::size_t> aRank)
{
  if (m_busy || aNow < m_next) {
    return std::nullopt;
  }
  if (!aRank) {
    const bool first = m_noneSince && aNow >= *m_noneSince && !m_written;
    if (!first) {
      return std::nullopt;
    }
    m_place = 0;
    return Write();
  }
  if (*aRank >= kPlaces) {
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
  m_busy = true;
  return MakeCheck(
    SeedKey(m_self.m_domain, static_cast<std::uint32_t>(m_place)), m_revision);
}

void
SeedKeeper::OnSeeds(TimePoint aNow, bool aOthers)
{
  if (aOthers) {
    m_noneSince.reset();
  } else if (!m_noneSince) {
    m_noneSince = aNow + WaitBeforeFirst(m_random);
  }
}

void
SeedKeeper::OnStoreRestored() noexcept
{
  m_written = false;
  m_revision = 0;
  m_next = TimePoint{};
}

void
SeedKeeper::OnReply(TimePoint aNow, const StoreReply& aReply)
{
  m_busy = false;
  if (aReply.m_status == Status::Conflict) {
    m_revision = aReply.m_revision;
    m_written = aReply.m_value == SeedToJson(m_self.m_address);
    // Another's address is written over by the next try, if the place is still
    // this daemon's then.
    m_next = aNow + Jittered(m_random, m_written ? kVerify : kRetry);
    return;
  }
  if (aReply.m_status != Status::Ok) {
    m_next = aNow + Jittered(m_random, kRetry);
    return;
  }
  if (!m_written) {
    m_revision = aReply.m_revision;
    m_written = true;
  }
  m_next = aNow + Jittered(m_random, kVerify);
}

}
