#pragma once

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

namespace greengagehub {

/// \brief Binds and listens, also where a process before left connections that
/// are not forgotten yet.
/// \returns What went wrong, if anything.
[[nodiscard]] asio::error_code
Listen(asio::ip::tcp::acceptor& aAcceptor,
       const std::string& aHost,
       std::uint16_t aPort);

}
