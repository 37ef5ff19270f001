#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <chrono>
#include <functional>

namespace greengagehub {

enum class ListenStatus : std::uint8_t
{
  Yes,
  /// The connection was refused.
  No,
  /// The attempt timed out or failed with another error.
  Unknown,
};

/// \brief Checks whether a process listens by connecting to the address.
/// \param aDone called once, from the loop, after `aTimeout` at the latest.
void
CheckListening(asio::io_context& aLoop,
               const asio::ip::tcp::endpoint& aAddress,
               std::chrono::milliseconds aTimeout,
               std::function<void(ListenStatus)> aDone);

}
