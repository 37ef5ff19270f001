#include "greengagehub/net/socket_queues.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace greengagehub {

namespace {

std::size_t
QueuedBytes(int aSocket, unsigned long aRequest) noexcept
{
  int bytes = 0;
  const bool isKnown = ::ioctl(aSocket, aRequest, &bytes) == 0 && bytes > 0;
  return isKnown ? static_cast<std::size_t>(bytes) : 0;
}

}

SocketQueues
QueuesOf(asio::ip::tcp::socket& aSocket) noexcept
{
  if (!aSocket.is_open()) {
    return {};
  }
  const int socket = aSocket.native_handle();
  return { QueuedBytes(socket, SIOCINQ), QueuedBytes(socket, SIOCOUTQ) };
}

}
