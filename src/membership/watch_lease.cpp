#include "greengagehub/membership/watch_lease.hpp"

#include "greengagehub/config/store_layout.hpp"
#include "greengagehub/core/field_reader.hpp"
#include "greengagehub/core/parse_json.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace greengagehub {

namespace {

using Status = StoreReply::Status;

constexpr int kRenewalsPerLease = 3;
/// More than one, so that a lost watcher is replaced before it is declared
/// dead.
constexpr std::size_t kCandidatesPerPlace = 2;

/// \returns Whether the host is an IP address; names are not resolved.
bool
IsNumeric(const std::string& aHost)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, aHost.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, aHost.c_str(), bytes.data()) == 1;
}

}

WatchLease::WatchLease(WatchLeaseSettings aSettings,
                       MemberRecord aSelf,
                       std::uint64_t aSeed)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_random(aSeed)
  , m_backoff(aSettings.m_retry)
{
}

void
WatchLease::BackOff(TimePoint aNow)
{
  m_state = State::Idle;
  m_hasLease = false;
  m_nextTry = aNow + Jittered(m_random, m_backoff);
  m_backoff = std::min(2 * m_backoff, m_settings.m_maxRetry);
}

StoreRequest
WatchLease::WriteSeed()
{
  StoreRequest request =
    MakePut(SeedKey(m_self.m_domain, m_place), SeedToJson(m_self.m_address), 0);
  request.m_lease = m_lease;
  m_state = State::WritingSeed;
  return request;
}

void
WatchLease::OnAllPlacesTaken(TimePoint aNow)
{
  if (m_state == State::Idle && !m_hasLease) {
    m_nextTry = aNow + Jittered(m_random, m_settings.m_maxRetry);
  }
}

bool
WatchLease::NeedsRank(TimePoint aNow) const noexcept
{
  return m_state == State::Idle && !Holds(aNow) && aNow >= m_nextTry &&
         m_nextTry != TimePoint{};
}

std::optional<StoreRequest>
WatchLease::OnTick(TimePoint aNow, std::size_t aRank)
{
  if (m_nextTry == TimePoint{}) {
    m_nextTry = aNow + Jittered(m_random, m_settings.m_retry);
  }
  if (m_hasLease && aNow >= m_expires) {
    // The process was paused or disconnected for longer than the lease.
    m_hasLease = false;
  }
  if (m_state != State::Idle || aNow < m_nextTry) {
    return std::nullopt;
  }
  if (m_hasLease) {
    m_state = State::RenewingLease;
    m_requestedAt = aNow;
    return StoreRequest{ .m_kind = StoreRequest::Kind::LeaseKeep,
                         .m_lease = m_lease };
  }
  if (aRank >= kCandidatesPerPlace * m_settings.m_watchers) {
    m_nextTry = aNow + Jittered(m_random, m_settings.m_retry);
    return std::nullopt;
  }
  m_state = State::ListingPlaces;
  return MakeList(SeedPrefix(m_self.m_domain));
}

std::optional<StoreRequest>
WatchLease::OnPlacesListed(TimePoint aNow, const StoreReply& aReply)
{
  std::vector<std::uint32_t> free;
  for (std::uint32_t place = 0; place < m_settings.m_watchers; ++place) {
    const std::string key = SeedKey(m_self.m_domain, place);
    const bool taken =
      std::any_of(aReply.m_items.begin(),
                  aReply.m_items.end(),
                  [&](const auto& aItem) { return aItem.m_key == key; });
    if (!taken) {
      free.push_back(place);
    }
  }
  if (free.empty()) {
    m_state = State::Idle;
    OnAllPlacesTaken(aNow);
    return std::nullopt;
  }
  m_state = State::RequestingLease;
  m_requestedAt = aNow;
  m_placesTried = 0;
  m_place = free[Below(m_random, free.size())];
  return StoreRequest{ .m_kind = StoreRequest::Kind::LeaseGrant,
                       .m_wait = m_settings.m_leaseTime };
}

std::optional<StoreRequest>
WatchLease::OnReply(TimePoint aNow, const StoreReply& aReply)
{
  const bool ok = aReply.m_status == Status::Ok;
  if (m_state == State::ListingPlaces && ok) {
    return OnPlacesListed(aNow, aReply);
  }
  if (m_state == State::RequestingLease && ok) {
    m_lease = aReply.m_lease;
    return WriteSeed();
  }
  if (m_state == State::WritingSeed && aReply.m_status == Status::Conflict &&
      ++m_placesTried < m_settings.m_watchers) {
    m_place = (m_place + 1) % m_settings.m_watchers;
    return WriteSeed();
  }
  if (!ok || m_state == State::Idle) {
    BackOff(aNow);
    return std::nullopt;
  }
  m_state = State::Idle;
  m_hasLease = true;
  m_backoff = m_settings.m_retry;
  // Counted from the request, since the store grants the lease after it.
  m_expires = m_requestedAt + m_settings.m_leaseTime;
  m_nextTry = aNow + m_settings.m_leaseTime / kRenewalsPerLease;
  return std::nullopt;
}

std::string
SeedToJson(const MemberAddress& aAddress)
{
  return nlohmann::json{
    { "host", aAddress.m_host },
    { "gossip_port", aAddress.m_gossipPort },
    { "bulk_port", aAddress.m_bulkPort },
    { "link_port", aAddress.m_linkPort }
  }.dump();
}

std::optional<MemberAddress>
ParseSeed(std::string_view aText)
{
  const auto json = ParseJson(aText);
  FieldReader fields{ json };
  const auto port = [&fields](const char* aName) {
    return static_cast<std::uint16_t>(fields.Unsigned(aName, UINT16_MAX));
  };
  const MemberAddress address{ fields.Name("host"),
                               port("gossip_port"),
                               port("bulk_port"),
                               port("link_port") };
  const bool isValid = fields.FirstError().empty() &&
                       address.m_gossipPort > 0 && IsNumeric(address.m_host);
  return isValid ? std::optional{ address } : std::nullopt;
}

std::string
DomainOfSeed(std::string_view aKey)
{
  if (!aKey.starts_with(kSeedPrefix)) {
    return {};
  }
  aKey.remove_prefix(kSeedPrefix.size());
  return std::string{ aKey.substr(0, aKey.find('/')) };
}

std::string
SeedPrefix(std::string_view aDomain)
{
  return fmt::format("{}{}/", kSeedPrefix, aDomain);
}

std::string
SeedKey(std::string_view aDomain, std::uint32_t aPlace)
{
  return fmt::format("{}{}", SeedPrefix(aDomain), aPlace);
}

}
