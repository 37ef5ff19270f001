#include "platform_fleet.hpp"
#include "testkit/tcp_proxy.hpp"

#include <array>
#include <fmt/format.h>

using namespace greengagehub;
using namespace greengagehub::testkit;

namespace {

constexpr std::array kDomains{ "bole", "kality", "sululta" };
constexpr int kDaemonsPerDomain = 3;
constexpr std::size_t kReaders = 2 * kDomains.size();
constexpr std::uint64_t kFirstVersion = 12;
constexpr std::uint64_t kLastVersion = 15;
/// No silent watch ends within the test.
constexpr std::uint32_t kWatchMs = 120'000;

void
PutVersion(const Fleet& aFleet, std::uint64_t aVersion)
{
  aFleet.PutPlatformConfig(
    Document(fmt::format("{:08x}", aVersion).c_str(), kRules));
}

}

TEST_CASE("versions come into force while the store's connections that were "
          "open have gone silent")
{
  // Guards against a configuration that waits for the end of watches that
  // nobody serves any more, where TCP still acknowledges.
  Fleet fleet;
  TcpProxy proxy{ fleet.StorePort() };
  fleet.UseStoreAt(proxy.Port());
  for (const char* domain : kDomains) {
    for (int i = 1; i <= kDaemonsPerDomain; ++i) {
      fleet.Add({ .m_slot = fmt::format("{}-{}", domain, i),
                  .m_service = "lockers",
                  .m_domain = domain,
                  .m_watchMs = kWatchMs,
                  .m_onPlatform = true });
    }
  }
  PutVersion(fleet, kFirstVersion);
  WaitForLockers(fleet);
  for (auto version = kFirstVersion + 1; version <= kLastVersion; ++version) {
    REQUIRE(WaitUntil([&] {
      return fleet.StoreStats().value("watching", std::size_t{ 0 }) >= kReaders;
    }));
    proxy.SilenceOpenConnections();
    PutVersion(fleet, version);
    CAPTURE(version);
    CHECK(fleet.WaitForVersion(version));
  }
}
