#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

namespace greengagehub {

/// \brief What a read from a socket would return now.
enum class PendingInput : std::uint8_t
{
  None,
  Bytes,
  /// The peer has closed or reset the connection, and everything before that
  /// is read.
  End,
};

/// \returns PendingInput::End for a socket that is not open.
[[nodiscard]] PendingInput
PendingInputOf(asio::ip::tcp::socket& aSocket) noexcept;

/// \returns Time since the system received the latest bytes from the peer, read
/// or not; nothing if it is unknown.
[[nodiscard]] std::optional<std::chrono::milliseconds>
TimeSinceLastInput(asio::ip::tcp::socket& aSocket) noexcept;

}
