#include "greengagehub/net/pending_input.hpp"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace greengagehub {

PendingInput
PendingInputOf(asio::ip::tcp::socket& aSocket) noexcept
{
  if (!aSocket.is_open()) {
    return PendingInput::End;
  }
  char byte = 0;
  const ssize_t size =
    ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) {
    return PendingInput::Bytes;
  }
  const bool isEmpty = size < 0 && (errno == EAGAIN || errno == EINTR);
  return isEmpty ? PendingInput::None : PendingInput::End;
}

std::optional<std::chrono::milliseconds>
TimeSinceLastInput(asio::ip::tcp::socket& aSocket) noexcept
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool isKnown =
    aSocket.is_open() &&
    ::getsockopt(
      aSocket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
  if (!isKnown) {
    return std::nullopt;
  }
  return std::chrono::milliseconds{ info.tcpi_last_data_recv };
}

}
