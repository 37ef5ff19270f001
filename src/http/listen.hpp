#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace greengagehub {

/// \brief Binds and listens, even if the port has connections in TIME_WAIT.
/// \returns The error, if any.
[[nodiscard]] asio::error_code
Listen(asio::ip::tcp::acceptor& aAcceptor,
       const std::string& aHost,
       std::uint16_t aPort);

}
