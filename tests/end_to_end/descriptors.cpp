#include "platform_fleet.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <fcntl.h>
#include <vector>

using namespace greengagehub;
using namespace greengagehub::testkit;
using asio::ip::tcp;

namespace {

constexpr std::uint32_t kMaxDescriptors = 200;

/// A configuration that is too large to be sent in a datagram.
Json
LargeDocument(const char* aVersion)
{
  constexpr int kRoutes = 600;
  Json rules = kRules;
  for (int i = 0; i < kRoutes; ++i) {
    const std::string name = "r" + std::to_string(i);
    rules.push_back(Rule(name.c_str(), "safe", ("/" + name + "/").c_str()));
  }
  return Document(aVersion, rules);
}

/// Connections of clients that send nothing.
class IdleConnections
{
public:
  void Open(const Fleet& aFleet, const std::string& aSlot)
  {
    const std::string url = aFleet.CallsUrl(aSlot);
    const auto port =
      static_cast<std::uint16_t>(std::stoi(url.substr(url.rfind(':') + 1)));
    for (std::uint32_t i = 0; i < kMaxDescriptors * 6 / 5; ++i) {
      tcp::socket& socket = m_sockets.emplace_back(m_loop);
      socket.connect({ asio::ip::address_v4::loopback(), port });
      // Daemons that start later would inherit it.
      ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
    }
  }

private:
  asio::io_context m_loop;
  std::vector<tcp::socket> m_sockets;
};

}

TEST_CASE("daemons run on and serve while callers use up their descriptors")
{
  // Guards against idle connections that end a daemon or keep others out.
  Fleet fleet;
  for (const char* each : { "lockers-1", "lockers-2", "lockers-3" }) {
    fleet.Add({ .m_slot = each,
                .m_service = "lockers",
                .m_onPlatform = true,
                .m_maxDescriptors = kMaxDescriptors });
  }
  fleet.PutPlatformConfig(Document("0000000c", kRules));
  WaitForLockers(fleet);
  IdleConnections idle;
  for (const std::string& each : fleet.Slots()) {
    idle.Open(fleet, each);
  }
  fleet.Restart("lockers-3");
  fleet.PutPlatformConfig(LargeDocument("0000000d"));
  for (const std::string& each : fleet.Slots()) {
    CAPTURE(each);
    CHECK(WaitUntil([&] {
      return SendRequest(fleet, each, "GET", "/r599/1", each + "-new")
               .Status() == 200;
    }));
    CHECK(fleet.Daemon(each).IsRunning());
  }
}
