#pragma once

#include "greengagehub/core/outcome.hpp"

#include <asio/io_context.hpp>
#include <cstdio>
#include <fmt/format.h>

namespace greengagehub::standin {

/// \brief Opens a stand-in, logs its port as a "listening" event in JSON, and
/// serves until the process ends.
template<class Server>
int
Serve(Server& aServer, asio::io_context& aLoop)
{
  const Outcome<std::uint16_t> port = aServer.Open();
  if (!port) {
    fmt::print(stderr, "{}\n", port.error().m_message);
    return 1;
  }
  fmt::print(stderr, "{{\"event\":\"listening\",\"port\":{}}}\n", port.value());
  aLoop.run();
  return 0;
}

}
