#pragma once

#include "greengagehub/http/http_server.hpp"

#include <cstdint>
#include <string>

namespace greengagehub::standin {

/// \brief Options of the stand-in for a backend server on the platform.
struct WorkerOptions
{
  HttpServerSettings m_http;
  std::string m_service;
  std::string m_domain;
  std::string m_version{ "v1" };
  /// Begins the instance ID; empty: named after the port.
  std::string m_name;
  std::uint32_t m_slots{ 20 };
  std::uint32_t m_queue{ 40 };
  std::uint32_t m_serviceMs{ 2 };
  std::uint32_t m_heartbeatMs{ 200 };
};

}
