#pragma once

#include <asio/ip/tcp.hpp>
#include <cstddef>

namespace greengagehub {

/// \brief Bytes that the system holds for a socket.
///
/// A close with unread bytes resets the connection: the peer may then lose the
/// unsent ones.
struct SocketQueues
{
  /// Received and not yet read.
  std::size_t m_unreadBytes{ 0 };
  /// Written and not yet acknowledged by the peer.
  std::size_t m_unsentBytes{ 0 };

  SocketQueues& operator+=(const SocketQueues& aOther) noexcept
  {
    m_unreadBytes += aOther.m_unreadBytes;
    m_unsentBytes += aOther.m_unsentBytes;
    return *this;
  }
};

/// \returns Zeros for a socket that is not open.
[[nodiscard]] SocketQueues
QueuesOf(asio::ip::tcp::socket& aSocket) noexcept;

}
